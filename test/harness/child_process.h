// Processes that a test starts, signals by their ids and always reaps.
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

/// A started process. The destructor kills and reaps it if it still runs.
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

    /// Id of the process; 0 if none runs or it was reaped.
    pid_t pid() const;

    /// Sends a signal to the process if it was not reaped.
    void signal(int number) const;

    /// Exit status once the process has ended, negative signal number if one ended it; reaps it then.
    std::optional<int> poll();

    /// Waits for the end; nothing if the limit passes before.
    std::optional<int> wait(milliseconds limit);

    /// Sends SIGKILL and reaps.
    void kill();

    /// Reads stdout until its end or until a line begins with the prefix, and returns that line; nothing if
    /// the limit passes.
    std::optional<std::string> readLine(const std::string &prefix, milliseconds limit) const;

    /// Reads stdout until its end.
    std::string readAll(milliseconds limit) const;

private:
    std::atomic<pid_t> m_pid = 0; ///< Other threads of a test may ask whether the process runs.
    int m_output = -1;
};

/// Path of a program of the build, which lies beside the running one.
std::string programPath(const std::string &name);

/// Starts a program of the build; stderr goes to the file. Errors: NotFound if it cannot be started.
result<child_process>
startProgram(const std::string &name, const std::vector<std::string> &arguments, const std::string &errorFile);

/// Starts a program and reads the address that it prints when it is ready. Errors: Unknown if it ends or
/// says nothing within 30 s; the message names the file with its log.
result<std::pair<child_process, address>>
startServer(const std::string &name, const std::vector<std::string> &arguments, const std::string &errorFile);

} // namespace sesamespar::harness
