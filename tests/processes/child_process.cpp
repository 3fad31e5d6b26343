#include "processes/child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <chrono>
#include <csignal>
#include <stdexcept>
#include <thread>

extern char **environ;

namespace yuccascale::processes {

namespace {

constexpr kernel::milliseconds pollInterval{5};
constexpr int signalExitBase = 128;

} // namespace

child_process::child_process(const std::vector<std::string> &command, const std::string &outputFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int problem
            = ::posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (problem != 0)
        throw std::runtime_error("cannot start " + command[0] + ": error " + std::to_string(problem)
                                 + "; build it first");
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void child_process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    storeExitStatus(status);
}

bool child_process::waitForExit(kernel::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (m_pid > 0) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid)
            storeExitStatus(status);
        else if (std::chrono::steady_clock::now() >= until)
            return false;
        else
            std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void child_process::storeExitStatus(int status) noexcept
{
    m_pid = -1;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
}

} // namespace yuccascale::processes
