#pragma once

#include "cicadalb/config/Settings.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Settings of a host process of a site whose targets register themselves.

namespace cicadalb {

struct SiteHostSettings {
    HostId id;
    FailureDomain failureDomain;
    /// Whether the whole site starts for the first time, so that no host of an earlier build runs beside this one.
    bool isFirstStart = false;
};

struct SiteAddressSettings {
    /// Address of the platform's key-value store.
    SocketAddress store;
    /// Address at which callers are served; required if the process serves callers.
    SocketAddress callers;
    /// Address of the readiness check; required if the process serves callers.
    SocketAddress ready;
    /// Address of metrics and state.
    SocketAddress admin;
    /// Address of the platform's interface for duties; empty: the platform has none.
    SocketAddress duties;
    /// Address at which this process mirrors the store's records for other processes; empty: it does not.
    SocketAddress mirrorListen;
    /// Addresses of mirrors from which this process reads the store's records. A mirror may be down, or another process may have its
    /// address by now.
    std::vector<SocketAddress> mirrorSources;
    /// Address at which a process without a mirror answers other hosts while it coordinates as a standby; empty: it does not answer them.
    SocketAddress standbyListen;
};

/// @brief Calls to the platform that one host at a time makes for the whole site.
enum class Duty : std::uint8_t {
    /// Reports each organisation's usage.
    Metering,
    /// Orders the number of engines of a pool.
    Autoscaling,
};

/// @brief Which parts of the product run in the process.
struct SitePartSettings {
    /// True if the process takes callers' requests.
    bool serving = false;
    /// True if the process is a candidate for coordinating submissions and weights. Otherwise it is a standby, which coordinates only while no candidate can.
    bool coordinating = false;
    /// Duties that the coordinator has for the whole site.
    std::vector<Duty> duties;

    bool hasDuty(Duty) const noexcept;
};

/// @brief Times and limits of the work on submissions, weights and targets.
struct SiteWorkSettings {
    /// Time to live of the coordinator's lease.
    std::chrono::milliseconds leaseTimeToLive { 1600 };
    /// Time without weight orders between one coordinator and the next.
    std::chrono::milliseconds orderQuietPeriod { 3000 };
    /// How long results are kept, counted from the time of their submission.
    std::chrono::seconds resultRetention { 120 };
    /// Largest number of concurrent weight loads, since loads slow each other down. 0: one for every five engines, but at least two.
    unsigned maximumConcurrentLoads = 0;
    /// How long a target goes on serving after it announced that it leaves.
    std::chrono::milliseconds targetDrainTime { 2000 };
    /// Memory that the process may use, in MiB. 0: the memory of the machine.
    unsigned memoryMebibytes = 0;
    /// Descriptors that the process may open. 0: the limit that the operating system states.
    unsigned descriptors = 0;
    /// Interval at which a target renews its entry in the registry.
    std::chrono::milliseconds targetReportInterval { 1200 };
    /// Longest time from the end of a submission to the last begin of one of its samples' runs. 0: no limit.
    std::chrono::milliseconds endTime { 0 };
    /// Longest time for which a host may rely on an organisation's key without knowing that it is still valid. 0: no limit.
    std::chrono::milliseconds keyValidity { 0 };
    /// Length of the windows for which usage is reported, and time after a window by which its report is due.
    std::chrono::seconds usageWindow { 5 };
    std::chrono::seconds usageReportTime { 10 };
};

struct SiteSettings {
    SiteHostSettings host;
    SiteAddressSettings addresses;
    SitePartSettings parts;
    SiteWorkSettings work;
    LogSettings log;
    ShutdownSettings shutdown { std::chrono::milliseconds(2500), std::chrono::milliseconds(7000) };
};

/// @brief Reads and checks the settings. @param fileName name of the file in messages
CheckedResult<SiteSettings> parseSiteSettings(std::string_view text, const std::string& fileName);
CheckedResult<SiteSettings> loadSiteSettings(const std::string& path);

} // namespace cicadalb
