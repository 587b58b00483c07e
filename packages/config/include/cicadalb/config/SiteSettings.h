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
};

struct SiteAddressSettings {
    /// The platform's key-value store.
    SocketAddress store;
    /// Callers; needed if the process serves them.
    SocketAddress callers;
    /// Readiness; needed if the process serves callers.
    SocketAddress ready;
    /// Metrics and state.
    SocketAddress admin;
    /// Where this process passes the store's records on to others; empty: it does not.
    SocketAddress mirror;
    /// Processes that pass the store's records on to this one; they may be down, or not theirs any more.
    std::vector<SocketAddress> mirrors;
};

/// @brief Which parts of the product run in the process.
struct SitePartSettings {
    /// Takes callers' requests.
    bool serving = false;
    /// Is a candidate for the coordination of submissions and weights.
    bool coordinating = false;
};

struct SiteWorkSettings {
    /// Time to live of the coordinator's lease.
    std::chrono::milliseconds lease { 1600 };
    /// Time without weight orders between two coordinators.
    std::chrono::milliseconds orderQuiet { 3000 };
    /// How long after its submission results are kept.
    std::chrono::seconds resultsKept { 120 };
    /// Weight loads at the same time; more of them slow each other down. 0: one for every five engines, two at least.
    unsigned loadsAtOnce = 0;
    /// How long a target goes on serving after it said that it leaves.
    std::chrono::milliseconds leavingTime { 2000 };
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
