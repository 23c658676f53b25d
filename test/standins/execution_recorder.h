// Records the executions of tasks on all workers of a process. Detects two violations by the scheduler: two concurrent
// copies of a task, and a worker whose tasks exceed its capacity. Keeps every start, so that tests can compare the
// starts with the answers that callers received.
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
    std::string outcome; ///< Empty while the task runs.
    bool draining = false; ///< The worker had received a drain command before the start.
};

/// A worker whose running tasks exceeded its capacity.
struct capacity_violation {
    worker_id worker;
    task_id task; ///< The task whose start exceeded the capacity.
    resources need; ///< Total requirement of the running tasks, including this one.
    resources capacity;
    utc_time at;
};

/// Two copies of a task that ran concurrently.
struct duplicate_execution {
    job_id job;
    task_index index;
    worker_id first;
    worker_id second;
    utc_time at;
};

/// Running tasks of one worker.
struct recorded_worker {
    resources capacity;
    std::map<task_id, resources> running;
    std::size_t peakTasks = 0;
    std::uint64_t starts = 0;
};

/// All recorded executions and violations.
struct execution_recorder {
    std::map<worker_id, recorded_worker> workers;
    std::map<std::pair<job_id, task_index>, std::vector<worker_id>> running; ///< Workers that run a copy of the task.
    std::map<job_id, std::vector<task_start>> starts;
    std::vector<capacity_violation> capacityViolations;
    std::vector<duplicate_execution> duplicateExecutions;
};

/// Adds a worker. Must be called before the worker starts a task.
void trackWorker(execution_recorder &recorder, const worker_id &name, const resources &capacity);

/// Records starts and ends of tasks on a worker.
void recordChanges(execution_recorder &recorder, const worker_state &worker, const task_changes &changes, utc_time now);

/// Report of all recorded executions as JSON.
std::string encodeExecutionReport(const execution_recorder &recorder, utc_time now);

} // namespace sesamespar::standins
