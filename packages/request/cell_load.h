// Load of a cell's queues, which the leader publishes to the other daemons.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

#include <map>
#include <vector>

namespace sesamespar {

/// Load of one queue.
struct queue_load {
    std::uint64_t pending = 0; ///< Accepted jobs without a started task.
    bool refusing = false; ///< New jobs may be refused, depending on their size and the backlog of their pool.
    milliseconds retryAfter{0}; ///< Time to complete the backlog ahead of the queue's largest jobs, if `refusing`.
    /// Ratio of the durations of the queue's tasks to the callers' estimates, in percent; 0 if unknown or if no job can
    /// be refused.
    std::uint32_t durationPercent = 0;
};

/// Waiting work of one priority whose jobs are of one size class, in core-milliseconds. Overdue and surplus jobs are
/// not counted, since they are placed after all others.
struct backlog_row {
    int priority = 0;
    unsigned sizeClass = 0; ///< See sizeClassOf.
    std::int64_t inTime = 0; ///< Of jobs that can still meet their objective, and of late urgent ones.
    std::int64_t late = 0; ///< Of other jobs that can still be completed within three times their objective.
};

/// Backlog of the pool of workers of one service. Published only while the pool is full.
struct pool_backlog {
    millicores processors; ///< Of all workers that accept runs.
    std::vector<backlog_row> rows; ///< At most one for each priority and size class.
};

/// Load of every queue that has jobs, and backlog of every pool whose jobs may be refused.
struct cell_load {
    std::map<queue_id, queue_load> queues;
    std::map<service_id, pool_backlog> pools;
};

/// Number of size classes. The largest begins at 2^39 core-milliseconds, a day of 6,000 cores.
constexpr unsigned sizeClasses = 40;

/// Size class of a job with that remaining work in core-milliseconds: the binary logarithm, rounded down.
unsigned sizeClassOf(double work);

} // namespace sesamespar
