// Policy by which waiting work is ordered and placed. Each setting names the load pattern that it addresses;
// test/performance/measure_policies replays these patterns with and without each setting.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sesamespar {

/// Order in which waiting steps are placed.
enum class work_order {
    DeadlineForecast, ///< Jobs that can still be in time or are urgent first, then by priority, then by the time left.
    Arrival, ///< First in, first out.
};

/// Order in which workers with free capacity are tried.
enum class worker_order {
    LeastFreeCapacity, ///< Best fit: the fullest worker that fits, to keep large blocks of capacity free.
    Name, ///< First fit by name.
};

/// The settings. A cell uses the defaults.
struct cell_policy {
    /// Addresses bursts of more work than the cell has capacity for: jobs that are late anyway must not delay the
    /// others.
    work_order order = work_order::DeadlineForecast;
    /// Addresses gangs several times as large as a worker among many small tasks.
    worker_order workers = worker_order::LeastFreeCapacity;
    /// Largest total need of the gangs, in the order of placement, for which freed capacity is reserved until they can
    /// start, as a share of the cell's processors. Addresses a full cell, in which small tasks would use all freed
    /// capacity before there is enough for a gang.
    double gatheringShare = 0.15;
    /// Number of gangs for which freed capacity is reserved even if they need more than that share.
    std::size_t minGatheringGangs = 2;
    /// Weight of the caller's estimate of a duration against the mean of the queue's tasks. Addresses estimates that
    /// are off by up to nine tenths. The durations of a queue's tasks spread by about half of their mean, so the mean
    /// is about as accurate as an estimate.
    double estimateWeight = 0.5;
    /// Places a failed task on another worker if possible. Addresses workers on which every run fails.
    bool failedTasksElsewhere = true;
    /// Moves runs away from hung or slow workers. Addresses workers that become several times slower.
    bool movesSlowRuns = true;
};

} // namespace sesamespar
