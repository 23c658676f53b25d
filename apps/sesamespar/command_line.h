// Parses the command line: one verb, its options and its arguments.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace sesamespar {

/// Exit status of the process.
enum class exit_status {
    Done = 0, ///< A daemon answered, also if the answer reports a failed or cancelled job.
    Refused = 1, ///< Refused, and nothing was changed.
    Invalid = 2, ///< Wrong usage or an invalid file; nothing was sent, or the daemon found the file invalid.
    Unknown = 3, ///< The outcome is unknown; the message names the command that queries or repeats the request.
};

/// Options and arguments from the command line, with defaults from the environment.
struct command_options {
    std::vector<std::string> arguments; ///< Positional arguments after the verb.
    std::vector<address> daemons;
    std::string secretFile;
    bool json = false;
    milliseconds limit{30000}; ///< Time limit of a call including its retries.
    milliseconds wait{0}; ///< Time to wait for the outcome of a job.
    std::optional<config_version> expected;
    std::string key; ///< Replaces the idempotency key of a submission; empty if not given.
    std::string expires; ///< Replaces the expiry of a submission; empty if not given.
};

/// Groups of options that a verb accepts in addition to --help, --version and --output.
enum class option_group {
    Daemon,
    Expect,
    Wait,
    Submission,
};

/// One verb with its help texts and its implementation.
struct command_verb {
    std::string name;
    std::string arguments; ///< Argument names for the help; a name that ends with "..." may be repeated.
    std::string summary; ///< One sentence for the help.
    std::vector<option_group> groups;
    exit_status (*run)(const command_options &options);
};

/// Runs the verb of the command line. Handles --help and --version, and reports usage errors.
exit_status runCommandLine(int argc, const char **argv, std::span<const command_verb> verbs);

/// Writes `sesamespar: MESSAGE` to stderr.
void printError(const std::string &message);

} // namespace sesamespar
