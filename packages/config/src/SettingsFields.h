#pragma once

#include "TomlReader.h"

#include "cicadalb/config/Settings.h"

/// @file
/// Sections that the settings of every edition share.

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
    inline constexpr double maximumMilliseconds = 86400000.0;

    inline Problem problemOf(const Error& error)
    {
        return error.message;
    }

} // namespace detail

inline const auto& enumTable(LogFormat) { return detail::logFormatNames; }
inline const auto& enumTable(Level) { return detail::levelNames; }

/// A text "IP:PORT".
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

    /// A section that says where to listen. Port 0 asks the system for a free one.
    inline const Fields<SocketAddress>& listenFields()
    {
        static const Fields<SocketAddress> fields {
            { "address", &SocketAddress::address, Presence::Optional, detail::checkIpNumber },
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
            { "unready-ms", &ShutdownSettings::unready, Presence::Optional, Between { 0, maximumMilliseconds } },
            { "grace-ms", &ShutdownSettings::grace, Presence::Optional, Between { 0, maximumMilliseconds } },
        };
        return fields;
    }

    /// Reads one section; a missing one is read as empty, so that its required keys are reported.
    template <typename Section>
    void readSection(TomlReader& reader, const toml::table& root, std::string_view name, const Fields<Section>& fields, Section& section, const std::vector<std::string_view>& alsoKnown = {})
    {
        static const toml::table absent;
        const auto* node = root.get(name);
        const auto* table = node ? node->as_table() : &absent;
        if (!table)
            return reader.report(ErrorCode::ValueInvalid, std::string(name) + " must be a table", *node);
        readFields(reader, *table, name, fields, section, alsoKnown);
    }

} // namespace detail

} // namespace cicadalb
