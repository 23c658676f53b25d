// Load of a cell's queues, which the leader publishes to the other daemons.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>

namespace sesamespar {

/// Load of one queue.
struct queue_load {
    std::uint64_t pending = 0; ///< Accepted jobs without a started task.
    bool refusing = false; ///< New jobs are refused because they could not be served in time.
    milliseconds retryAfter{0}; ///< Delay after which callers may retry, if `refusing`.
};

/// Load of every queue that has jobs.
struct cell_load {
    std::map<queue_id, queue_load> queues;
};

} // namespace sesamespar
