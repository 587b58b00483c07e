#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>

namespace cicadalb::testing {

/// @brief Largest resident memory that a process has had since its start, in bytes; nothing if it has ended.
inline std::optional<std::size_t> peakMemory(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string word; file >> word;) {
        std::size_t kibibytes = 0;
        if (word == "VmHWM:" && file >> kibibytes)
            return kibibytes << 10U;
    }
    return std::nullopt;
}

/// @brief Waits until a process has taken no more memory for a while, so that it has read what was sent to it. @return its peak memory as above
inline std::optional<std::size_t> settledMemory(pid_t process)
{
    constexpr std::chrono::milliseconds quietTime { 500 };
    auto peak = peakMemory(process);
    for (std::optional<std::size_t> previous; peak && previous != peak;) {
        previous = peak;
        std::this_thread::sleep_for(quietTime);
        peak = peakMemory(process);
    }
    return peak;
}

/// @brief Number of descriptors that a process has open; 0 if it has ended.
inline std::size_t openDescriptors(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace cicadalb::testing
