// Rate limiter of the stand-in platform: counts the calls by kind and rejects those above the limit of a second.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <vector>

namespace sesamespar::standins {

/// Kind of a call. A watch counts as one call, however long it waits.
enum class call_kind {
    Get,
    Put,
    Watch,
    List,
    VmList,
};

/// Number of calls in one second.
struct second_count {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

/// Rate limits, and counters since the start of the process.
struct call_meter {
    time_point start;
    std::uint64_t readsPerSecond = 2000; ///< Limit on calls other than puts in one second.
    std::uint64_t writesPerSecond = 500; ///< Limit on puts in one second.
    std::vector<std::uint64_t> byKind = std::vector<std::uint64_t>(5);
    std::uint64_t refused = 0;
    std::vector<second_count> seconds; ///< By seconds since the start; the last entry covers all after an hour.
};

/// Counts a call. Returns false if it exceeds the rate limit of the current second.
bool countCall(call_meter &meter, call_kind kind, time_point now);

} // namespace sesamespar::standins
