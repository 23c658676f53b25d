// Wall-clock times as text in the form of RFC 3339.
#pragma once

#include "base/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesamespar {

/// Parses a time such as 2026-12-04T10:00:00Z. A fraction of the second may have up to nine digits, of which three are
/// used. An offset such as +02:00 may replace the Z. Returns nothing if the text has another form, the date does not
/// exist, or the year is not from 1970 to 9999.
std::optional<utc_time> parseRfc3339(std::string_view text);

/// Writes a time as 2026-12-04T10:00:00.000Z.
std::string formatRfc3339(utc_time time);

} // namespace sesamespar
