// Shared by all verbs that call a daemon: creates the client, reads files and secrets, and prints responses.
#pragma once

#include "command_line.h"
#include "connection/caller_client.h"

#include <optional>
#include <string>

namespace sesamespar {

/// Creates the client from the options and the environment. Prints an error and returns null on failure.
caller_client_ptr openClient(const command_options &options);

/// Reads a file, or stdin for "-". Reads at most `limit` + 1 bytes, so that the caller can detect a text above
/// the limit. Prints an error and returns nullopt on failure.
std::optional<std::string> readInput(const std::string &file, std::size_t limit);

/// Prints the response of a daemon as JSON or as a table, according to the options, or the error.
exit_status printAnswer(const command_options &options, const result<std::string> &answer);

/// Writes text to stdout and appends a newline if the text does not end with one.
void printText(const std::string &text);

} // namespace sesamespar
