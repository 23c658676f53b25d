// What all verbs that call a daemon share: the client, the secret and the outcome of plain reads.
#pragma once

#include "command_line.h"
#include "connection/caller_client.h"

#include <optional>
#include <string>

namespace sesamespar {

/// Makes the client from the options and the environment; null after an error was printed.
caller_client_ptr openClient(const command_options &options);

/// Reads a whole file, or stdin for "-"; nothing after an error was printed. Larger texts are cut one byte after
/// `limit`, so that they are still seen to be too large.
std::optional<std::string> readInput(const std::string &file, std::size_t limit);

/// Prints what a daemon answered, as it is or laid out for people, or the error.
exit_status printAnswer(const command_options &options, const result<std::string> &answer);

/// Writes text to stdout and ends it with a newline if it has none.
void printText(const std::string &text);

} // namespace sesamespar
