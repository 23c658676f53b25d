// Parser for the lines that base/log.h writes, for tools that read the logs of several daemons.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesamespar {

/// One parsed log line.
struct log_line {
    std::string source; ///< Last word before the first field, such as a name that a log collector adds.
    std::int64_t timeMs = 0; ///< Wall-clock time in milliseconds since 1970; 0 if the line has none.
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< All other fields in their order, unescaped.
};

/// Parses a line. Returns nothing if it has no event field.
std::optional<log_line> parseLogLine(std::string_view text);

/// Calls `visit` with each line of a file that has an event field. The source of a line without one is the file's
/// name without directory and extension. Returns false if the file cannot be opened.
bool readLogFile(const std::string &path, const std::function<void(log_line)> &visit);

/// Value of a field, or an empty string if the line does not have it.
std::string fieldOf(const log_line &line, std::string_view key);

} // namespace sesamespar
