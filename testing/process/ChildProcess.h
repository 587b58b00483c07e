#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace cicadalb::testing {

/// @brief A program of the build folder that runs as a child process. The destructor kills it.
class ChildProcess {
public:
    /// @brief Where the program's standard output goes: to readLine(), or to the log file, to which its standard error always goes.
    enum class Output : std::uint8_t { Lines,
        LogFile };

    /// @param program path relative to the build folder
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile, Output = Output::Lines);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// @brief The next line of the program's standard output; empty at the end of the output.
    std::string readLine();
    /// @brief Sends a signal to the program, unless wait() has returned.
    void signal(int number) const;
    /// @brief Waits until the program ends. @return its exit code, or -1 if a signal ended it or it was already waited for
    int wait();
    /// @brief Id of the process, or -1 after wait().
    pid_t id() const noexcept { return m_pid; }

private:
    pid_t m_pid = -1;
    int m_output = -1;
};

/// @brief The number after @p word in a line of the form "WORD NUMBER WORD NUMBER".
std::uint16_t numberAfter(std::string_view line, std::string_view word);

} // namespace cicadalb::testing
