// Reads the lines that base/log.h writes, for tools that look into the logs of several daemons.
#pragma once

#include <cstdint>
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

/// Value of a field, or an empty text.
std::string fieldOf(const log_line &line, std::string_view key);

} // namespace sesamespar
