// Counts the calls to the store and refuses those beyond its rates.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <vector>

namespace sesamespar::standins {

/// Kind of a call. A watch counts once, however long it waits.
enum class call_kind {
    Get,
    Put,
    Watch,
    List,
    VmList,
};

/// Calls of one second of the process.
struct second_count {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

/// Counters since the start.
struct call_meter {
    time_point start;
    std::uint64_t readsPerSecond = 2000; ///< Calls other than puts that one second may have.
    std::uint64_t writesPerSecond = 500; ///< Puts that one second may have.
    std::vector<std::uint64_t> byKind = std::vector<std::uint64_t>(5);
    std::uint64_t refused = 0;
    std::vector<second_count> seconds; ///< By seconds since the start; at most an hour.
};

/// Counts a call; false if it is beyond the rate of this second.
bool countCall(call_meter &meter, call_kind kind, time_point now);

} // namespace sesamespar::standins
