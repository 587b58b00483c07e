#pragma once

#include "cicadalb/base/Event.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/config/Outcome.h"
#include "cicadalb/config/Secret.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Settings of one host process.

namespace cicadalb {

/// @brief An IP number and a port.
struct SocketAddress {
    std::string address;
    std::uint16_t port = 0;
    bool operator==(const SocketAddress&) const = default;
};

/// @brief Text as in settings: "10.0.0.1:8080" or "[::1]:8080".
std::string toText(const SocketAddress&);
/// @brief Reads "IP:PORT" or "[IP]:PORT". Errors: ValueInvalid.
Result<SocketAddress> socketAddressFromText(std::string_view text);

struct HostSettings {
    HostId id;
    FailureDomain failureDomain;
    /// Relative size of the host.
    double weight = 1.0;
    /// 0: one for each processor.
    unsigned threads = 0;
};

/// @brief Another host's membership address, to find the others at the start.
struct MembershipSeed {
    HostId id;
    SocketAddress address;
    bool operator==(const MembershipSeed&) const = default;
};

struct PeerSettings {
    SocketAddress listen;
    std::string secretFile;
    std::vector<MembershipSeed> seeds;
};

struct PlatformSettings {
    SocketAddress keyValue;
    SocketAddress hostList;
    SocketAddress weightStore;
};

/// @brief Limits for callers' connections and requests.
struct LimitSettings {
    std::uint32_t headerBytes = 16U << 10U;
    std::uint64_t bodyBytes = std::uint64_t { 8 } << 20U;
    std::chrono::milliseconds headerTimeout { 10000 };
    std::chrono::milliseconds bodyTimeout { 30000 };
    unsigned connections = 8192;
    unsigned inFlight = 4096;
};

struct LogSettings {
    LogFormat format = LogFormat::Json;
    Level level = Level::Info;
};

struct ShutdownSettings {
    /// How long the host reports itself unready before it refuses new work.
    std::chrono::milliseconds unready { 2000 };
    /// How long running requests may take to end after that.
    std::chrono::milliseconds grace { 600000 };
};

/// @brief Settings of one host process, each with its section's defaults.
struct Settings {
    HostSettings host;
    /// Callers and trainers.
    SocketAddress listen { "0.0.0.0", 8080 };
    /// Metrics, health, state and operators.
    SocketAddress admin { "127.0.0.1", 8081 };
    PeerSettings peers { { "0.0.0.0", 8082 }, {}, {} };
    /// UDP.
    SocketAddress membership { "0.0.0.0", 8083 };
    PlatformSettings platform;
    LimitSettings limits;
    LogSettings log;
    ShutdownSettings shutdown;
    /// Shared by all hosts and operators; the text of the peers' secret file.
    Secret secret;
};

/// @brief Reads and checks settings, and the secret from its file (relative to @p folder).
/// @param fileName name of the file in messages
CheckedResult<Settings> parseSettings(std::string_view text, const std::string& fileName, const std::string& folder);

/// @brief Reads a settings file. @return the settings, or every problem found with file, line and key
CheckedResult<Settings> loadSettings(const std::string& path);

/// @brief Text of a small file without its trailing line break. Errors: FileUnreadable.
Result<std::string> readTextFile(const std::string& path);

/// @brief A shared secret from its file. Errors: FileUnreadable, ValueInvalid if it is too short.
Result<Secret> readSecretFile(const std::string& path);

} // namespace cicadalb
