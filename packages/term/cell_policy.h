// How waiting work is ordered and placed: plain settings that the decisions take, each with the load that it answers.
// test/performance/measure_policies replays these loads with and without each of them.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sesamespar {

/// In which order waiting steps get room.
enum class work_order {
    DeadlineForecast, ///< What can still be in time or is urgent, then by priority, then by the time that is left.
    Arrival, ///< First in, first out.
};

/// In which order the workers with room are tried.
enum class worker_order {
    LeastFreeCapacity, ///< The fullest one that fits, so that wide room stays together.
    Name, ///< The first one that fits.
};

/// The settings. The defaults are those of a cell.
struct cell_policy {
    /// Answers a burst of more work than there is room for: what is late anyway must not make the rest late too.
    work_order order = work_order::DeadlineForecast;
    /// Answers gangs several times as wide as a worker among many small tasks.
    worker_order workers = worker_order::LeastFreeCapacity;
    /// Gangs that cannot start yet and for which freed room is kept together, counted in the order of placement.
    /// Answers a full cell, in which small tasks would take each freed room before a gang finds enough of it.
    std::size_t maxReservingGangs = 2;
    /// Weight of the caller's estimate of a duration against the mean of the queue's tasks. Answers estimates that are
    /// off by up to nine tenths; the durations of a queue's tasks spread by about half of their mean, so both tell
    /// about the same.
    double estimateWeight = 0.5;
    /// A task that has failed is placed on another worker first. Answers workers that fail all that they start.
    bool failedTasksElsewhere = true;
    /// Runs on workers that stand still or are slow are moved. Answers workers that turn several times slower.
    bool movesSlowRuns = true;
};

} // namespace sesamespar
