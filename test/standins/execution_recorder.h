// Watches all workers of a process and records what the scheduler must never do: two running copies of a
// task, and a worker with more work than it holds. It also keeps every start, so that a test can compare
// them with the answers that callers got.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "standins/worker_state.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sesamespar::standins {

/// One start of a task at a worker.
struct task_start {
    task_index index;
    attempt_number attempt;
    worker_id worker;
    utc_time at;
    std::optional<utc_time> ended;
    std::string outcome; ///< Empty while it runs.
    bool draining = false; ///< The worker had been told to drain before.
};

/// A worker that ran more than it holds.
struct overfill {
    worker_id worker;
    task_id task; ///< The start that went beyond the capacity.
    resources need; ///< Sum of all running tasks, this one included.
    resources capacity;
    utc_time at;
};

/// Two copies of a task that ran at the same time.
struct double_run {
    job_id job;
    task_index index;
    worker_id first;
    worker_id second;
    utc_time at;
};

/// What runs on one worker.
struct watched_worker {
    resources capacity;
    std::map<task_id, resources> running;
    std::size_t peakTasks = 0;
    std::uint64_t starts = 0;
};

/// Everything that was seen.
struct execution_recorder {
    std::map<worker_id, watched_worker> workers;
    std::map<std::pair<job_id, task_index>, std::vector<worker_id>> running; ///< Workers that run a copy.
    std::map<job_id, std::vector<task_start>> starts;
    std::vector<overfill> capacityViolations;
    std::vector<double_run> duplicateExecutions;
};

/// Adds a worker before its first task.
void trackWorker(execution_recorder &seen, const worker_id &name, const resources &capacity);

/// Records the changes on a worker.
void recordChanges(execution_recorder &seen, const worker_state &worker, const task_changes &changes, utc_time now);

/// All of it as JSON.
std::string encodeWitnessReport(const execution_recorder &seen, utc_time now);

} // namespace sesamespar::standins
