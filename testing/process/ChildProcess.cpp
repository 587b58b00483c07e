#include "ChildProcess.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace cicadalb::testing {

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile, Output output)
{
    int pipe[2] = { -1, -1 };
    REQUIRE(::pipe2(pipe, O_CLOEXEC) == 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, output == Output::Lines ? pipe[1] : STDERR_FILENO, STDOUT_FILENO);
    std::vector<std::string> commandLine { CICADALB_BUILD_FOLDER "/" + program };
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    std::vector<char*> argumentPointers;
    argumentPointers.reserve(commandLine.size() + 1);
    for (auto& word : commandLine)
        argumentPointers.push_back(word.data());
    argumentPointers.push_back(nullptr);
    const int error = posix_spawn(&m_pid, commandLine[0].c_str(), &actions, nullptr, argumentPointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipe[1]);
    m_output = pipe[0];
    REQUIRE(error == 0);
}

ChildProcess::~ChildProcess()
{
    signal(SIGKILL);
    wait();
    ::close(m_output);
}

std::string ChildProcess::readLine()
{
    std::string line;
    char character = 0;
    while (::read(m_output, &character, 1) == 1 && character != '\n')
        line += character;
    return line;
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

int ChildProcess::wait()
{
    if (m_pid <= 0)
        return -1;
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::uint16_t numberAfter(std::string_view line, std::string_view word)
{
    const auto position = line.find(word);
    REQUIRE(position != std::string_view::npos);
    return static_cast<std::uint16_t>(std::strtoul(std::string(line.substr(position + word.size() + 1)).c_str(), nullptr, 10));
}

} // namespace cicadalb::testing
