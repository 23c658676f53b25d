// Parses and formats numbers with units, as used in files and on the command line.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sesamespar {

/// Parses a whole number without a unit. Error messages complete a sentence about the value, for example
/// "is negative".
result<std::int64_t> parseWholeNumber(std::string_view text);

/// Parses processors such as 2, 0.5 or 500m.
result<millicores> parseProcessors(std::string_view text);

/// Parses memory such as 512MiB, 4GiB or 1TiB.
result<mebibytes> parseMemory(std::string_view text);

/// Parses a duration such as 500ms, 90s, 10m or 24h.
result<milliseconds> parseDuration(std::string_view text);

/// Parses a percentage such as 25%.
result<std::int64_t> parsePercent(std::string_view text);

/// Formats an amount so that the matching parser accepts it. Uses the largest unit that needs no fraction.
std::string formatProcessors(millicores amount);
std::string formatMemory(mebibytes amount);
std::string formatDuration(milliseconds amount);

} // namespace sesamespar
