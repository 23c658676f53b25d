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

/// Order of waiting steps of the same rank and priority.
enum class tie_order {
    LatestStart, ///< The least time left until the latest start that meets the objective.
    LeastWork, ///< The least remaining work of the job.
};

/// Expectation of the duration of a task.
enum class duration_source {
    EstimateAndMean, ///< The caller's estimate and the mean of the queue's tasks, weighted by `estimateWeight`.
    Learned, ///< What the queue's finished runs have shown; see run_time_model.h.
};

/// Order in which workers with free capacity are tried.
enum class worker_order {
    LeastFreeCapacity, ///< Best fit: the fullest worker that fits, to keep large blocks of capacity free.
    Name, ///< First fit by name.
};

/// The settings. A cell uses the defaults unless selectPolicy chooses others.
struct cell_policy {
    /// Addresses bursts of more work than the cell has capacity for: jobs that are late anyway must not delay the
    /// others.
    work_order order = work_order::DeadlineForecast;
    /// Addresses load above the capacity for longer than the objectives allow: the order of latest starts then works on
    /// jobs that are about to be late, while the least remaining work completes the most jobs in time.
    tie_order ties = tie_order::LatestStart;
    /// Share of the cell's processors that overdue and surplus jobs leave free. Addresses bursts after which a backlog
    /// of overdue work fills the capacity that later jobs need to be in time.
    double reservedShare = 0;
    /// Addresses gangs several times as large as a worker among many small tasks.
    worker_order workers = worker_order::LeastFreeCapacity;
    /// Largest total need of the gangs, in the order of placement, for which freed capacity is reserved until they can
    /// start, as a share of the cell's processors. Addresses a full cell, in which small tasks would use all freed
    /// capacity before there is enough for a gang.
    double gatheringShare = 0.15;
    /// Number of gangs for which freed capacity is reserved even if they need more than that share.
    std::size_t minGatheringGangs = 2;
    /// Addresses estimates whose errors differ between queues, durations with a tail, and overload, under which the
    /// order of the work depends on its size.
    duration_source durations = duration_source::EstimateAndMean;
    /// Addresses uneven workers; see sustained_speed.h.
    bool matchesSpeeds = false;
    /// Weight of the caller's estimate of a duration against the mean of the queue's tasks. Addresses estimates that
    /// are off by up to nine tenths. The durations of a queue's tasks spread by about half of their mean, so the mean
    /// is about as accurate as an estimate.
    double estimateWeight = 0.5;
    /// Places a failed task on another worker if possible. Addresses workers on which every run fails.
    bool failedTasksElsewhere = true;
    /// Moves runs away from hung or slow workers. Addresses workers that become several times slower.
    bool movesSlowRuns = true;
    /// Moves runs that progress slowly as well, not only those without progress. Off for uneven workers, where a task
    /// of the tail of the durations, or one on a slow worker, is often the only run that is reported and looks like a
    /// slow worker; it would take as long elsewhere.
    bool movesProgressingRuns = true;

    bool operator==(const cell_policy &) const = default;
};

} // namespace sesamespar
