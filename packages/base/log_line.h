// Reads the lines that base/log.h writes, for tools that look into the logs of several daemons.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesamespar {

/// One line.
struct log_line {
    std::string source; ///< Last word before the line's own fields, such as a name that a collector puts there.
    std::int64_t timeMs = 0; ///< Wall-clock time in milliseconds since 1970; 0 if the line has none.
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< All others in their order, unescaped.
};

/// Reads a line; nothing if it names no event.
std::optional<log_line> parseLogLine(std::string_view text);

/// Passes on each line of a file that names an event. A line without a source gets the file's name, without folder and
/// extension, as its source. False if the file cannot be read.
bool readLogFile(const std::string &path, const std::function<void(log_line)> &visit);

/// Value of a field, or an empty text.
std::string fieldOf(const log_line &line, std::string_view key);

} // namespace sesamespar
