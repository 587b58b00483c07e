#pragma once

#include <cstddef>

/// @file
/// How the memory of a process is used.

namespace cicadalb {

/// @brief Bytes that messages and connections of callers, targets and other hosts may take together: half of the process's memory.
/// @param processBytes memory that the process may use; 0: the memory of the machine
std::size_t messageCapacity(std::size_t processBytes);

/// @brief Makes the allocator return the memory of large messages to the operating system as soon as they are released.
void configureAllocator();

} // namespace cicadalb
