#pragma once

#include "PeerClient.h"

#include "cicadalb/transport/ConfigurationWatcher.h"
#include "cicadalb/transport/MembershipPort.h"

#include <atomic>

/// @file
/// Accepted records between hosts: fetched from whoever is heard to hold a higher number.

namespace cicadalb {

class ConfigurationExchange {
public:
    ConfigurationExchange(ConfigurationWatcher&, PeerClient&);

    /// @brief Compares this host's number with what membership has heard, several times a second, until stop().
    Task<void> run(MembershipPort&);
    void stop() noexcept { m_isStopping = true; }

    /// @brief Answers another host that holds the number in @p body.
    Result<nlohmann::json> serveFetch(const nlohmann::json& body) const;

private:
    Task<void> fetch(HostId);

    ConfigurationWatcher& m_watcher;
    PeerClient& m_peers;
    std::atomic<bool> m_isStopping { false };
};

} // namespace cicadalb
