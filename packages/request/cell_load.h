// What the leader tells the other daemons about the queues of a cell.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>

namespace sesamespar {

/// One queue.
struct queue_load {
    std::uint64_t pending = 0; ///< Accepted jobs of which no task has started.
    bool refusing = false; ///< New jobs could not be served in time.
    milliseconds retryAfter{0}; ///< When callers may come again, if refusing.
};

/// All queues with jobs.
struct cell_load {
    std::map<queue_id, queue_load> queues;
};

} // namespace sesamespar
