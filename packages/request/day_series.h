// Aggregates the log lines of a cell's daemons into a time series with one entry per second: waiting and running work,
// refusals and incidents.
#pragma once

#include "base/log_line.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sesamespar {

/// Aggregates of one second.
struct day_second {
    std::uint64_t waiting = 0; ///< Jobs without a started task, from the leader's latest `cell_use` line.
    std::uint64_t running = 0; ///< Runs placed on workers, from the leader's latest `cell_use` line.
    double usedShare = 0; ///< Reserved share of the workers' processors, 0 to 1.
    std::uint64_t refused = 0; ///< Requests refused in this second.
    std::uint64_t unknown = 0; ///< Requests whose outcome is unknown.
    std::uint64_t completed = 0; ///< Jobs that completed in this second.
    std::vector<std::string> incidents; ///< Each kind of incident with its count, such as "worker_lost x3".
};

/// One entry per second from the first log line to the last, in order.
struct day_series {
    std::int64_t startMs = 0; ///< Wall-clock time of the first second.
    std::vector<day_second> seconds;
};

/// Builds the series from lines in any order. Ignores lines without a time. Where lines are more than a minute apart,
/// only the longest part without such a gap counts.
day_series summarizeDay(const std::vector<log_line> &lines);

} // namespace sesamespar
