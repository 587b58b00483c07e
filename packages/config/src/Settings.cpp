#include "cicadalb/config/Settings.h"

#include "SettingsFields.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace cicadalb {

namespace {

    using detail::Between;
    using detail::Fields;
    using detail::listenFields;
    using detail::logFields;
    using detail::maximumDurationMilliseconds;
    using detail::maximumPort;
    using detail::Presence;
    using detail::Problem;
    using detail::problemOf;
    using detail::readSection;
    using detail::shutdownFields;
    using detail::TomlReader;

    constexpr std::size_t minimumSecretLength = 16;
    constexpr std::uintmax_t maximumFileBytes = 1U << 20U;
    constexpr double minimumWeight = 0.001;
    constexpr double maximumWeight = 1000.0;
    constexpr double maximumThreads = 1024.0;
    constexpr double minimumHeaderBytes = 1024.0;
    constexpr double maximumHeaderBytes = 1048576.0;
    constexpr double maximumBodyBytes = 1073741824.0;
    constexpr double maximumConcurrency = 1000000.0;
    constexpr double maximumMemoryMebibytes = 1048576.0;

} // namespace

/// Decodes a text "ID@IP:PORT".
static Problem decode(const toml::node& node, MembershipSeed& value)
{
    std::string text;
    if (auto problem = detail::decode(node, text); !problem.empty())
        return problem;
    const auto at = text.find('@');
    if (at == std::string::npos)
        return "is '" + text + "' but must be ID@IP:PORT";
    auto address = socketAddressFromText(std::string_view(text).substr(at + 1));
    if (!address)
        return problemOf(address.error());
    value = { HostId(text.substr(0, at)), std::move(address.value()) };
    return detail::checkName(value.id.value());
}

namespace {

    const Fields<HostSettings>& hostFields()
    {
        static const Fields<HostSettings> fields {
            { "id", &HostSettings::id, Presence::Required, detail::checkIdentifier<HostTag> },
            { "failure-domain", &HostSettings::failureDomain, Presence::Required, detail::checkIdentifier<FailureDomainTag> },
            { "weight", &HostSettings::weight, Presence::Optional, Between { minimumWeight, maximumWeight } },
            { "threads", &HostSettings::threads, Presence::Optional, Between { 0, maximumThreads } },
        };
        return fields;
    }

    const Fields<PeerSettings>& peerFields()
    {
        static const Fields<PeerSettings> fields {
            { "secret-file", &PeerSettings::secretFile, Presence::Required, detail::checkNotEmpty },
            { "seeds", &PeerSettings::seeds, Presence::Optional },
        };
        return fields;
    }

    const Fields<PlatformSettings>& platformFields()
    {
        static const Fields<PlatformSettings> fields {
            { "key-value", &PlatformSettings::keyValue, Presence::Required },
            { "host-list", &PlatformSettings::hostList, Presence::Required },
            { "weight-store", &PlatformSettings::weightStore, Presence::Required },
        };
        return fields;
    }

    const Fields<LimitSettings>& limitFields()
    {
        static const Fields<LimitSettings> fields {
            { "header-bytes", &LimitSettings::headerBytes, Presence::Optional, Between { minimumHeaderBytes, maximumHeaderBytes } },
            { "body-bytes", &LimitSettings::bodyBytes, Presence::Optional, Between { 0, maximumBodyBytes } },
            { "header-timeout-ms", &LimitSettings::headerTimeout, Presence::Optional, Between { 1, maximumDurationMilliseconds } },
            { "body-timeout-ms", &LimitSettings::bodyTimeout, Presence::Optional, Between { 1, maximumDurationMilliseconds } },
            { "connections", &LimitSettings::connections, Presence::Optional, Between { 1, maximumConcurrency } },
            { "memory-mb", &LimitSettings::memoryMebibytes, Presence::Optional, Between { 0, maximumMemoryMebibytes } },
            { "in-flight", &LimitSettings::inFlight, Presence::Optional, Between { 1, maximumConcurrency } },
        };
        return fields;
    }

    const std::vector<std::string_view>& sectionNames()
    {
        static const std::vector<std::string_view> names { "host", "listen", "admin", "peers", "membership", "platform", "limits", "log", "shutdown" };
        return names;
    }

    void readPeerListenKeys(TomlReader& reader, const toml::table& root, SocketAddress& listen)
    {
        readSection(reader, root, "peers", listenFields(), listen, { "secret-file", "seeds" });
    }

    void readSections(TomlReader& reader, const toml::table& root, Settings& settings)
    {
        readSection(reader, root, "host", hostFields(), settings.host);
        readSection(reader, root, "listen", listenFields(), settings.listen);
        readSection(reader, root, "admin", listenFields(), settings.admin);
        readPeerListenKeys(reader, root, settings.peers.listen);
        readSection(reader, root, "peers", peerFields(), settings.peers, { "address", "port" });
        readSection(reader, root, "membership", listenFields(), settings.membership);
        readSection(reader, root, "platform", platformFields(), settings.platform);
        readSection(reader, root, "limits", limitFields(), settings.limits);
        readSection(reader, root, "log", logFields(), settings.log);
        readSection(reader, root, "shutdown", shutdownFields(), settings.shutdown);
        detail::reportUnknownKeys(reader, root, "settings", sectionNames());
    }

    void readSecret(TomlReader& reader, const toml::table& root, const std::string& folder, Settings& settings)
    {
        if (settings.peers.secretFile.empty())
            return;
        const auto path = std::filesystem::path(folder) / settings.peers.secretFile;
        auto secret = readSecretFile(path.string());
        if (secret)
            settings.secret = std::move(secret.value());
        else
            reader.report(secret.error().code, "peers.secret-file: " + secret.error().message, *root["peers"]["secret-file"].node());
    }

} // namespace

std::string toText(const SocketAddress& socketAddress)
{
    const bool isIpv6 = socketAddress.address.find(':') != std::string::npos;
    const auto host = isIpv6 ? "[" + socketAddress.address + "]" : socketAddress.address;
    return host + ":" + std::to_string(socketAddress.port);
}

Result<SocketAddress> socketAddressFromText(std::string_view text)
{
    const auto problem = "is '" + std::string(text) + "' but must be IP:PORT";
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure(ErrorCode::ValueInvalid, problem);
    auto host = text.substr(0, colon);
    const auto portText = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    SocketAddress result { std::string(host), 0 };
    const auto* end = portText.data() + portText.size();
    const auto parsed = std::from_chars(portText.data(), end, result.port);
    const bool isPort = !portText.empty() && parsed.ec == std::errc() && parsed.ptr == end;
    if (!isPort || !detail::checkIpAddress(result.address).empty())
        return failure(ErrorCode::ValueInvalid, problem);
    return result;
}

Result<std::string> readTextFile(const std::string& path)
{
    std::error_code error;
    const auto size = std::filesystem::file_size(path, error);
    std::ifstream file(path, std::ios::binary);
    if (error || !file)
        return failure(ErrorCode::FileUnreadable, "cannot be read", path);
    if (size > maximumFileBytes)
        return failure(ErrorCode::FileUnreadable, "is larger than 1 MiB", path);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

Result<Secret> readSecretFile(const std::string& path)
{
    auto text = readTextFile(path);
    if (!text)
        return failure(ErrorCode::FileUnreadable, "the secret file " + path + " " + text.error().message, path);
    auto& secret = text.value();
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    if (secret.size() < minimumSecretLength)
        return failure(ErrorCode::ValueInvalid, "the secret must have at least " + std::to_string(minimumSecretLength) + " characters", path);
    return Secret(std::move(secret));
}

CheckedResult<Settings> parseSettings(std::string_view text, const std::string& fileName, const std::string& folder)
{
    TomlReader reader { fileName };
    const auto root = reader.parse(text);
    Settings settings;
    if (reader.errors().empty()) {
        readSections(reader, root, settings);
        readSecret(reader, root, folder, settings);
    }
    if (!reader.errors().empty())
        return std::move(reader.errors());
    return settings;
}

CheckedResult<Settings> loadSettings(const std::string& path)
{
    const auto text = readTextFile(path);
    if (!text)
        return Errors { text.error() };
    const auto folder = std::filesystem::path(path).parent_path().string();
    return parseSettings(text.value(), path, folder);
}

} // namespace cicadalb
