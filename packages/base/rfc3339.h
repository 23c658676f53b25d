// Wall-clock times as text in the form of RFC 3339.
#pragma once

#include "base/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesamespar {

/// Reads 2026-12-04T10:00:00Z, with up to nine digits of a fraction, of which three count, or an offset such as
/// +02:00 in place of Z. Years 1970 to 9999; nothing if the text has another form or names no such day.
std::optional<utc_time> parseRfc3339(std::string_view text);

/// Writes a time as 2026-12-04T10:00:00.000Z.
std::string formatRfc3339(utc_time time);

} // namespace sesamespar
