#pragma once

#include "yuccascale/kernel/clock.hpp"

#include <sys/types.h>

#include <string>
#include <vector>

/// \file
/// \brief A process started by a test, signalled by its process ID.

namespace yuccascale::processes {

/// \brief Runs a program; ends it with SIGKILL when it is destroyed.
class child_process
{
public:
    /// \param outputFile receives standard output and standard error
    child_process(const std::vector<std::string> &command, const std::string &outputFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// \returns the process id; -1 once the end of the process was noticed.
    [[nodiscard]] pid_t id() const noexcept { return m_pid; }

    /// \brief Sends a signal if the process is still running.
    void signal(int number) const;

    /// \brief Sends SIGKILL and waits for the end.
    void kill();

    /// \returns true if the process exits within \a timeout.
    [[nodiscard]] bool waitForExit(kernel::milliseconds timeout);

    /// \returns the exit code; 128 plus the signal number if a signal ended the process; -1 while
    /// it runs.
    [[nodiscard]] int exitCode() const noexcept { return m_exitCode; }

private:
    void storeExitStatus(int status) noexcept;

    pid_t m_pid = -1;
    int m_exitCode = -1;
};

} // namespace yuccascale::processes
