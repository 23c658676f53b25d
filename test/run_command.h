// Runs a shell command for tests of the built binaries.
#pragma once

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace sesamespar {

/// Result of a shell command.
struct run_result {
    int status = -1; ///< Exit status, or -1 if the command could not be run or was killed by a signal.
    std::string output; ///< Text that the command wrote to stdout.
};

/// Runs a shell command and waits for its end.
inline run_result runShell(const std::string &command)
{
    run_result run;
    FILE *pipe = popen(command.c_str(), "r");
    if (pipe == nullptr) {
        return run;
    }
    std::array<char, 4096> buffer{};
    std::size_t count = 0;
    while ((count = fread(buffer.data(), 1, buffer.size(), pipe)) > 0) {
        run.output.append(buffer.data(), count);
    }
    const int status = pclose(pipe);
    run.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return run;
}

} // namespace sesamespar
