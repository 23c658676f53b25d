// How many machines may have a long request to the advisor in progress. Each machine has one request at a time, so long
// requests on all of them would delay short ones, whose jobs are urgent.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>

namespace sesamespar {

/// Recent use of the advisor by short requests.
struct short_request_use {
    double peak = 0; ///< Largest number in progress at the same time, decayed until `measuredAt`.
    std::optional<time_point> measuredAt; ///< In uptime; empty before the first measurement.
};

/// Takes the number of short requests in progress at present into account.
void recordShortRequests(short_request_use &use, std::size_t open, time_point uptime);

/// Maximum number of long requests in progress on that many machines, at least 1. It grows within seconds while short
/// requests need few machines, and has its least value before the first measurement.
std::size_t longRequestLimit(std::size_t machines, const short_request_use &use, time_point uptime);

} // namespace sesamespar
