#pragma once

#include "cicadalb/config/Settings.h"

#include <cstdint>
#include <memory>

/// @file
/// A host with all its components.

namespace cicadalb {

/// @brief Ports in use; the assigned ports where the settings say 0.
struct HostPorts {
    std::uint16_t callers = 0;
    std::uint16_t admin = 0;
    std::uint16_t peers = 0;
    std::uint16_t membership = 0;
};

/// @brief Starts, runs and gracefully stops one host.
class HostProcess {
public:
    explicit HostProcess(Settings);
    ~HostProcess();
    HostProcess(const HostProcess&) = delete;
    HostProcess& operator=(const HostProcess&) = delete;

    /// @brief Opens all ports and starts all loops. Errors: Unavailable with the address that cannot be opened; ValueInvalid for the membership address.
    Result<void> start();
    HostPorts ports() const;

    /// @brief Shuts down gracefully: reports unready for the time in the settings, leaves the membership, stops accepting connections and
    /// waits until the open ones are closed, at most for the grace period. Blocks meanwhile. @return true if no request was left in flight
    bool shutDown();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
