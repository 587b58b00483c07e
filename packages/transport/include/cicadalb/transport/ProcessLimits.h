#pragma once

#include <cstddef>

/// @file
/// How the memory and the descriptors of a process are divided among its listeners.

namespace cicadalb {

/// @brief Bytes that messages and connections of callers, targets and other hosts may take together: half of the process's memory.
/// @param processBytes memory that the process may use; 0: the memory of the machine
std::size_t messageCapacity(std::size_t processBytes);

/// @brief Largest number of connections of each listener. What is left is for connections to targets, the store and other hosts, and for files.
struct ConnectionLimits {
    std::size_t callers = 0;
    /// Of other hosts.
    std::size_t hosts = 0;
    /// Of each listener for operations: readiness, metrics and state.
    std::size_t operations = 0;
};

/// @param descriptors that the process may open; 0: the limit that the operating system states (RLIMIT_NOFILE), which is never exceeded
ConnectionLimits connectionLimits(std::size_t descriptors);

/// @brief Makes the allocator return the memory of blocks of 2 MiB or more to the operating system as soon as they are released, and keep 8 MiB at most.
void configureAllocator();

} // namespace cicadalb
