#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace cicadalb::testing {

/// @brief A program that the test starts; killed at the end of its scope.
class ChildProcess {
public:
    /// @brief Where its standard output goes: to readLine(), or into the log file with its standard error.
    enum class Output : std::uint8_t { Lines,
        LogFile };

    /// @param program file below the build folder
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile, Output = Output::Lines);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// @brief Next line of its standard output; empty at the end.
    std::string readLine();
    void signal(int number) const;
    /// @brief Waits for its end. @return its exit code, or -1 if a signal ended it
    int wait();

private:
    pid_t m_pid = -1;
    int m_output = -1;
};

/// @brief The number after @p word in "word NUMBER word NUMBER".
std::uint16_t numberAfter(std::string_view line, std::string_view word);

} // namespace cicadalb::testing
