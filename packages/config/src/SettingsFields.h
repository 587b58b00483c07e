#pragma once

#include "TomlReader.h"

#include "cicadalb/config/Settings.h"

/// @file
/// Fields of the sections that Settings and SiteSettings have in common.

namespace cicadalb {

namespace detail {

    inline constexpr auto logFormatNames = std::to_array<EnumName<LogFormat>>({
        { LogFormat::Text, "text" },
        { LogFormat::Json, "json" },
    });

    inline constexpr auto levelNames = std::to_array<EnumName<Level>>({
        { Level::Debug, "debug" },
        { Level::Info, "info" },
        { Level::Warning, "warning" },
        { Level::Error, "error" },
    });

    inline constexpr double maximumPort = 65535.0;
    inline constexpr double maximumDurationMilliseconds = 86400000.0;

    inline Problem problemOf(const Error& error)
    {
        return error.message;
    }

} // namespace detail

inline const auto& enumTable(LogFormat) { return detail::logFormatNames; }
inline const auto& enumTable(Level) { return detail::levelNames; }

/// Decodes a text "IP:PORT".
inline detail::Problem decode(const toml::node& node, SocketAddress& value)
{
    std::string text;
    if (auto problem = detail::decode(node, text); !problem.empty())
        return problem;
    auto address = socketAddressFromText(text);
    if (!address)
        return detail::problemOf(address.error());
    value = std::move(address.value());
    return {};
}

namespace detail {

    /// Fields of a section with a listening address. With port 0 the operating system chooses a free port.
    inline const Fields<SocketAddress>& listenFields()
    {
        static const Fields<SocketAddress> fields {
            { "address", &SocketAddress::address, Presence::Optional, detail::checkIpAddress },
            { "port", &SocketAddress::port, Presence::Optional, Between { 0, maximumPort } },
        };
        return fields;
    }

    inline const Fields<LogSettings>& logFields()
    {
        static const Fields<LogSettings> fields {
            { "format", &LogSettings::format, Presence::Optional },
            { "level", &LogSettings::level, Presence::Optional },
        };
        return fields;
    }

    inline const Fields<ShutdownSettings>& shutdownFields()
    {
        static const Fields<ShutdownSettings> fields {
            { "unready-ms", &ShutdownSettings::unreadyPeriod, Presence::Optional, Between { 0, maximumDurationMilliseconds } },
            { "grace-ms", &ShutdownSettings::gracePeriod, Presence::Optional, Between { 0, maximumDurationMilliseconds } },
        };
        return fields;
    }

    /// Reads one section; a missing section is read as an empty one, so that its required keys are reported.
    /// @param otherKnownKeys keys of the section that are read elsewhere
    template <typename Section>
    void readSection(TomlReader& reader, const toml::table& root, std::string_view name, const Fields<Section>& fields, Section& section, const std::vector<std::string_view>& otherKnownKeys = {})
    {
        static const toml::table emptySection;
        const auto* node = root.get(name);
        const auto* table = node ? node->as_table() : &emptySection;
        if (!table)
            return reader.report(ErrorCode::ValueInvalid, std::string(name) + " must be a table", *node);
        readFields(reader, *table, name, fields, section, otherKnownKeys);
    }

} // namespace detail

} // namespace cicadalb
