// Child processes of tests. They are signalled by process id and always reaped.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <sys/types.h>

#include <atomic>
#include <optional>
#include <string>
#include <vector>

namespace sesamespar::harness {

/// A child process. The destructor kills and reaps it if it is still running.
class child_process
{
public:
    child_process() = default;
    child_process(pid_t pid, int output);
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;
    ~child_process();

    /// Process id; 0 if no process was started or it was reaped.
    pid_t pid() const;

    /// Sends a signal to the process unless it was reaped.
    void signal(int number) const;

    /// Exit status of a process that has ended, or the negative number of the signal that ended it. Reaps the process
    /// then. Nothing while it runs or after it was reaped.
    std::optional<int> poll();

    /// Waits for the process to end and returns the same as poll; nothing if the limit passes first.
    std::optional<int> wait(milliseconds limit);

    /// Kills the process with SIGKILL and reaps it.
    void kill();

    /// Reads stdout until a line starts with the prefix, and returns that line; nothing if stdout ends or the limit
    /// passes first.
    std::optional<std::string> readLine(const std::string &prefix, milliseconds limit) const;

    /// Reads stdout until its end or until the limit has passed.
    std::string readAll(milliseconds limit) const;

private:
    std::atomic<pid_t> m_pid = 0; ///< Atomic because other threads of a test check whether the process runs.
    int m_output = -1;
};

/// Path of a program of the build, in the directory of the running program.
std::string programPath(const std::string &name);

/// Starts a program of the build; stderr is appended to the file. Errors: NotFound if the program cannot be started.
result<child_process>
startProgram(const std::string &name, const std::vector<std::string> &arguments, const std::string &errorFile);

/// Starts a program and reads the address that it prints when it is ready. Errors: NotFound if the program cannot be
/// started; Unknown if it ends or prints no address within 30 s, and the message names its log file.
result<std::pair<child_process, address>>
startServer(const std::string &name, const std::vector<std::string> &arguments, const std::string &errorFile);

} // namespace sesamespar::harness
