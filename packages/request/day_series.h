// What the log lines of a cell's daemons tell of a span of time: how much waited, ran and was refused, and which
// troubles came, second by second.
#pragma once

#include "base/log_line.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sesamespar {

/// One second.
struct day_second {
    std::uint64_t waiting = 0; ///< Jobs that no worker has begun, at the last report of the leader.
    std::uint64_t running = 0; ///< Runs placed on workers, at the last report of the leader.
    double usedShare = 0; ///< Of the workers' processors.
    std::uint64_t refused = 0; ///< Requests refused in this second.
    std::uint64_t unknown = 0; ///< Requests whose outcome is unknown.
    std::uint64_t completed = 0; ///< Jobs that became completed.
    std::vector<std::string> incidents; ///< Each event with its number in this second, such as "worker_lost x3".
};

/// The seconds from the first line to the last, in order.
struct day_series {
    std::int64_t startMs = 0; ///< Wall-clock time of the first second.
    std::vector<day_second> seconds;
};

/// Puts the series together, from lines in any order. Lines without a time, or more than a minute apart from all
/// others, are passed over.
day_series summarizeDay(const std::vector<log_line> &lines);

} // namespace sesamespar
