#include "harness/child_process.h"

#include "harness/wait_until.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <utility>

namespace sesamespar::harness {

namespace {

/// Limit on the time until a program is ready, far above the usual time on a loaded machine.
constexpr milliseconds startLimit{30000};

/// Descriptors of a pipe: read end, write end.
using pipe_ends = std::array<int, 2>;

int spawn(const std::string &path,
          const std::vector<std::string> &arguments,
          const std::string &errorFile,
          const pipe_ends &output,
          pid_t &pid)
{
    std::vector<char *> argv{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(
        &actions, STDERR_FILENO, errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    const int code = posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return code;
}

/// Waits for output and appends it to the text; false at the end of the output or when the limit passes.
bool readMore(int output, std::string &text, time_point end)
{
    const auto left = std::chrono::duration_cast<milliseconds>(end - std::chrono::steady_clock::now());
    pollfd descriptor{output, POLLIN, 0};
    if (left.count() <= 0 || ::poll(&descriptor, 1, static_cast<int>(left.count())) <= 0) {
        return false;
    }
    std::array<char, 4096> buffer{};
    const ssize_t count = read(output, buffer.data(), buffer.size());
    if (count <= 0) {
        return false;
    }
    text.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> findLine(const std::string &text, const std::string &prefix)
{
    const std::size_t start = text.starts_with(prefix) ? 0 : text.find("\n" + prefix);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t first = text[start] == '\n' ? start + 1 : start;
    const std::size_t end = text.find('\n', first);
    return end == std::string::npos ? std::nullopt : std::optional(text.substr(first, end - first));
}

} // namespace

child_process::child_process(pid_t pid, int output)
    : m_pid(pid)
    , m_output(output)
{
}

child_process::child_process(child_process &&other) noexcept
    : m_pid(other.m_pid.exchange(0))
    , m_output(std::exchange(other.m_output, -1))
{
}

child_process &child_process::operator=(child_process &&other) noexcept
{
    m_pid = other.m_pid.exchange(m_pid);
    std::swap(m_output, other.m_output);
    return *this;
}

child_process::~child_process()
{
    kill();
    if (m_output >= 0) {
        close(m_output);
    }
}

pid_t child_process::pid() const
{
    return m_pid;
}

void child_process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

std::optional<int> child_process::poll()
{
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::optional<int> child_process::wait(milliseconds limit)
{
    std::optional<int> status;
    waitUntil(limit, [&] {
        status = poll();
        return status.has_value() || m_pid == 0;
    });
    return status;
}

void child_process::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

std::optional<std::string> child_process::readLine(const std::string &prefix, milliseconds limit) const
{
    const time_point end = std::chrono::steady_clock::now() + limit;
    std::string text;
    while (readMore(m_output, text, end)) {
        if (auto line = findLine(text, prefix)) {
            return line;
        }
    }
    return std::nullopt;
}

std::string child_process::readAll(milliseconds limit) const
{
    const time_point end = std::chrono::steady_clock::now() + limit;
    std::string text;
    while (readMore(m_output, text, end)) { }
    return text;
}

std::string programPath(const std::string &name)
{
    std::error_code code;
    const std::filesystem::path own = std::filesystem::read_symlink("/proc/self/exe", code);
    return (own.parent_path() / name).string();
}

result<child_process>
startProgram(const std::string &name, const std::vector<std::string> &arguments, const std::string &errorFile)
{
    pipe_ends output{};
    if (pipe2(output.data(), O_CLOEXEC) != 0) {
        return makeError(error_kind::NotFound, "cannot create a pipe for the output of " + name);
    }
    pid_t pid = 0;
    const int code = spawn(programPath(name), arguments, errorFile, output, pid);
    close(output[1]);
    if (code != 0) {
        close(output[0]);
        return makeError(error_kind::NotFound, "cannot start " + programPath(name));
    }
    return child_process(pid, output[0]);
}

result<std::pair<child_process, address>>
startServer(const std::string &name, const std::vector<std::string> &arguments, const std::string &errorFile)
{
    auto started = startProgram(name, arguments, errorFile);
    if (!started) {
        return started.error();
    }
    const std::string prefix = "ready address=";
    const auto line = started.value().readLine(prefix, startLimit);
    if (!line) {
        return makeError(error_kind::Unknown, name + " did not print its address; see " + errorFile);
    }
    return std::pair<child_process, address>(std::move(started.value()), address(line->substr(prefix.size())));
}

} // namespace sesamespar::harness
