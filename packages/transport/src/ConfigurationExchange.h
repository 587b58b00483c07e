#pragma once

#include "PeerClient.h"

#include "cicadalb/transport/ConfigurationWatcher.h"
#include "cicadalb/transport/UdpMembership.h"

#include <atomic>

/// @file
/// Exchange of accepted configuration records between hosts: a host fetches the record from a host that announces a higher number.

namespace cicadalb {

class ConfigurationExchange {
public:
    ConfigurationExchange(ConfigurationWatcher&, PeerClient&);

    /// @brief Fetches the record whenever membership reports a higher number, and announces this host's number; checks several times a second until stop().
    Task<void> run(UdpMembership&);
    void stop() noexcept { m_isStopping = true; }

    /// @brief Answers a fetch request; @p body holds the requesting host's number. Errors: MessageInvalid if the number is missing.
    Result<nlohmann::json> serveFetch(const nlohmann::json& body) const;

private:
    Task<void> fetch(HostId);

    ConfigurationWatcher& m_watcher;
    PeerClient& m_peerClient;
    std::atomic<bool> m_isStopping { false };
};

} // namespace cicadalb
