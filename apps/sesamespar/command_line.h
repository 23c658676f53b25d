// The command line: one verb, its options and its arguments.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace sesamespar {

/// Exit status of the command.
enum class exit_status {
    Done = 0, ///< Answered. For a job the answer tells how it went.
    Refused = 1, ///< Refused, and nothing was changed.
    Invalid = 2, ///< Wrong usage or an invalid file; nothing was sent, or the daemon found the file invalid.
    Unknown = 3, ///< The outcome is unknown; the message says how to ask again.
};

/// What was given on the command line and in the environment.
struct command_options {
    std::vector<std::string> arguments; ///< After the verb.
    std::vector<address> daemons;
    std::string secretFile;
    bool json = false;
    milliseconds limit{30000}; ///< Longest time for a call with its retries.
    milliseconds wait{0}; ///< For the outcome of a job.
    std::optional<config_version> expected;
    std::string key; ///< Replaces the one of a submission.
    std::string expires; ///< Replaces the one of a submission.
};

/// Groups of options that a verb has besides --help, --version and --output.
enum class option_group {
    Daemon,
    Expect,
    Wait,
    Submission,
};

/// One verb of the command.
struct command_verb {
    std::string name;
    std::string arguments; ///< Names of its arguments in the help; one that ends with "..." may be repeated.
    std::string summary; ///< One sentence.
    std::vector<option_group> groups;
    exit_status (*run)(const command_options &options);
};

/// Runs the verb that the command line names. Prints help, the version or what is wrong with the usage.
exit_status runCommandLine(int argc, const char **argv, std::span<const command_verb> verbs);

/// Writes `sesamespar: MESSAGE` to stderr.
void printError(const std::string &message);

} // namespace sesamespar
