// Points in time and durations. Code that makes decisions receives the time as an argument; only the control loop and
// the traffic threads read a clock.
#pragma once

#include "base/strong_value.h"

#include <chrono>
#include <cstdint>

namespace sesamespar {

/// Duration in milliseconds.
using milliseconds = std::chrono::milliseconds;
/// Monotonic time of this process, used for leases, timers and waits.
using time_point = std::chrono::steady_clock::time_point;
/// Wall-clock time in milliseconds since 1970-01-01 UTC, used only for the expiry of requests.
using utc_time = strong_value<struct utc_time_tag, std::int64_t>;

/// Whole milliseconds from one time to a later one of the same clock; negative if it is not later.
inline milliseconds elapsedBetween(time_point earlier, time_point later)
{
    return std::chrono::duration_cast<milliseconds>(later - earlier);
}

/// All clocks, read once for each event.
struct clock_reading {
    time_point monotonic;
    utc_time utc;
    /// Monotonic time that also advances while the machine is suspended. Leases are measured with it, because
    /// `monotonic` stops during a suspension.
    time_point uptime;
};

/// Reads all clocks.
clock_reading readClocks();

} // namespace sesamespar
