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

/// @brief An IP address and a port.
struct SocketAddress {
    std::string address;
    std::uint16_t port = 0;
    bool operator==(const SocketAddress&) const = default;
};

/// @brief Text form in settings: "10.0.0.1:8080" or "[::1]:8080".
std::string toText(const SocketAddress&);
/// @brief Reads "IP:PORT" or "[IP]:PORT". Errors: ValueInvalid.
Result<SocketAddress> socketAddressFromText(std::string_view text);

struct HostSettings {
    HostId id;
    FailureDomain failureDomain;
    /// Size of the host relative to other hosts.
    double weight = 1.0;
    /// Number of worker threads; 0: one for each processor.
    unsigned threads = 0;
};

/// @brief Membership address of another host, through which a starting host finds all hosts.
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
    /// Memory that the process may use, in MiB. 0: the memory of the machine.
    unsigned memoryMebibytes = 128;
    unsigned inFlight = 4096;
};

struct LogSettings {
    LogFormat format = LogFormat::Json;
    Level level = Level::Info;
};

struct ShutdownSettings {
    /// How long the host reports itself unready before it refuses new work.
    std::chrono::milliseconds unreadyPeriod { 2000 };
    /// How long running requests may take to end after the host began to refuse new work.
    std::chrono::milliseconds gracePeriod { 600000 };
};

/// @brief Settings of one host process with their defaults.
struct Settings {
    HostSettings host;
    /// Address at which callers and trainers are served.
    SocketAddress listen { "0.0.0.0", 8080 };
    /// Address of metrics, health, state and operators' calls.
    SocketAddress admin { "127.0.0.1", 8081 };
    PeerSettings peers { { "0.0.0.0", 8082 }, {}, {} };
    /// UDP address of the membership protocol.
    SocketAddress membership { "0.0.0.0", 8083 };
    PlatformSettings platform;
    LimitSettings limits;
    LogSettings log;
    ShutdownSettings shutdown;
    /// Secret shared by all hosts and operators, read from peers.secretFile.
    Secret secret;
};

/// @brief Reads and checks settings, and reads the secret from its file.
/// @param fileName name of the file in messages
/// @param folder folder to which the path of the secret file is relative
CheckedResult<Settings> parseSettings(std::string_view text, const std::string& fileName, const std::string& folder);

/// @brief Reads a settings file. @return the settings, or every problem found with file, line and key
CheckedResult<Settings> loadSettings(const std::string& path);

/// @brief Text of a file of at most 1 MiB. Errors: FileUnreadable.
Result<std::string> readTextFile(const std::string& path);

/// @brief Reads a shared secret, without line breaks at its end. Errors: FileUnreadable, ValueInvalid if it is too short.
Result<Secret> readSecretFile(const std::string& path);

} // namespace cicadalb
