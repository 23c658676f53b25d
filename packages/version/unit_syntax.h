// Numbers with units as they stand in files and on the command line.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sesamespar {

/// Whole number without a unit. The message of an error says what is wrong, for example "is negative".
result<std::int64_t> parseWholeNumber(std::string_view text);

/// Processors: 2, 0.5 or 500m.
result<millicores> parseProcessors(std::string_view text);

/// Memory: 512MiB, 4GiB or 1TiB.
result<mebibytes> parseMemory(std::string_view text);

/// Duration: 500ms, 90s, 10m or 24h.
result<milliseconds> parseDuration(std::string_view text);

/// Percentage: 25%.
result<std::int64_t> parsePercent(std::string_view text);

/// Writes an amount in the form that the matching parser reads.
std::string formatProcessors(millicores amount);
std::string formatMemory(mebibytes amount);
std::string formatDuration(milliseconds amount);

} // namespace sesamespar
