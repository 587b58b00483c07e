#pragma once

#include "cicadalb/config/Settings.h"

#include <cstdint>
#include <memory>

/// @file
/// One host of the system with all its parts.

namespace cicadalb {

/// @brief Ports in use, also where the settings ask for any free one.
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

    /// @brief Opens all ports and starts all loops. Errors: Unavailable with the address that cannot be had.
    Result<void> start();
    HostPorts ports() const;

    /// @brief Graceful shutdown: reports unready for the settings' time, then accepts nothing, then waits until nothing is in flight.
    /// Blocks until done or until the grace period is over. @return true if every request ended by itself
    bool shutDown();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
