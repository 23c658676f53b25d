// The scheduler of a leader decides which jobs are admitted, which wait, and which task runs on which worker. Its state
// is the capacity of the fleet, the queues and the placed tasks; it uses no messages, clocks or threads.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "version/configuration.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sesamespar {

/// Properties of a worker that scheduling depends on.
struct worker_offer {
    worker_id name;
    rack_id rack;
    resources capacity; ///< Of the whole VM, before the fleet's limits are applied.
    bool placeable = false; ///< May get new tasks: its control lease is held, and it is not leaving or draining.
};

/// Properties of a job that scheduling depends on.
struct job_offer {
    job_id id;
    work_id work;
    work_kind kind = work_kind::Batch;
    resources need; ///< Of one task, as declared.
    milliseconds runTime{0};
    bool repeatable = false;
    std::uint32_t tasks = 0; ///< Number of all tasks of the job.
    std::uint32_t preemptions = 0; ///< Number of preemptions so far.
};

/// Identifies a task within the scheduler.
struct task_key {
    job_id job;
    task_index index;

    auto operator<=>(const task_key &) const = default;
};

/// Whether a job is admitted. A refused job is not recorded.
struct admission_verdict {
    bool admitted = false;
    std::string reason; ///< Reason of a refusal, in one sentence for the caller.
    milliseconds retryAfter{0}; ///< Delay before the caller may retry; 0 if the refusal is permanent.
};

/// A decision to run a task on a worker. The capacity is already reserved.
struct placement {
    task_key task;
    worker_id worker;
};

/// A decision to checkpoint a running task for work of higher priority.
struct preemption {
    task_key task;
    worker_id worker;
};

/// Decisions of one scheduling pass.
struct schedule_result {
    std::vector<placement> placements;
    std::vector<preemption> preemptions;
};

/// Measured use of a task. Workers report it with a delay.
struct usage_sample {
    task_key task;
    resources used;
};

/// Action against a task that uses more than is reserved for it.
struct overuse_action {
    enum class kind {
        Throttle,
        Checkpoint,
        Stop,
    };
    task_key task;
    worker_id worker;
    kind action = kind::Throttle;
    millicores limit; ///< Processor limit; for Throttle only.
};

/// Use of the fleet, for the dump, the nodes page and the benchmarks.
struct scheduler_summary {
    std::size_t workers = 0;
    std::size_t placeableWorkers = 0;
    std::size_t quarantinedWorkers = 0;
    std::size_t waitingTasks = 0;
    std::size_t placedTasks = 0;
    resources capacity; ///< Of placeable workers, after the fleet's limits.
    resources reserved; ///< On all workers.
};

/// State of the scheduler, defined in scheduler_state.h. Not thread-safe: one thread creates and uses it.
struct scheduler;

struct scheduler_deleter {
    void operator()(scheduler *state) const;
};
using scheduler_ptr = std::unique_ptr<scheduler, scheduler_deleter>;

/// Creates a scheduler without workers or jobs. `settings` must not be null.
scheduler_ptr makeScheduler(configuration_ptr settings);

/// Replaces the configuration, which must not be null. Placed and waiting tasks are kept.
void applyConfiguration(scheduler &state, configuration_ptr settings);

/// Adds a worker or updates its properties. Reservations of tasks placed on it are kept.
void putWorker(scheduler &state, const worker_offer &offer);

/// Removes a worker, if it exists. All tasks placed on it must have been released.
void removeWorker(scheduler &state, const worker_id &name);

/// Decides whether a new job may enter: its tasks must fit on empty workers, within the quota of its team and the cap
/// of its kind, and the queue must be below its limits. Does not change the state.
admission_verdict admit(const scheduler &state, const job_offer &job);

/// Adds the tasks of a job that are listed in `waiting` to the queue. Tasks that already wait or are placed are
/// skipped.
void enqueue(scheduler &state, const job_offer &job, const std::vector<task_index> &waiting, time_point now);

/// Removes all waiting tasks of a job; placed tasks are kept. The cost does not depend on the length of the queue.
void dequeue(scheduler &state, const job_id &job);

/// Runs one scheduling pass: places waiting tasks until nothing more fits or `limit` tasks are placed. A gang is not
/// split, so that it may exceed the limit if it is placed first.
schedule_result schedule(scheduler &state, time_point now, std::size_t limit);

/// Reserves capacity for a task that already runs on a worker. The worker must exist.
void adoptTask(scheduler &state, const job_offer &job, task_index index, const worker_id &worker);

/// Releases the capacity of a placed task. A task that is not placed is ignored.
void releaseTask(scheduler &state, const task_key &task);

/// Reports how a task ended. Workers on which tasks fail repeatedly are quarantined; failures of work that fails on
/// several workers are attributed to the work. Returns true if the quarantine of a worker began or ended.
bool reportOutcome(scheduler &state, const work_id &work, const worker_id &worker, bool succeeded, time_point now);

/// Reports measured use. Returns the actions against tasks whose use exceeds their reservation.
std::vector<overuse_action> reportUsage(scheduler &state, const std::vector<usage_sample> &samples);

/// Reason why a job waits, in one sentence, for example "no worker has 4 free accelerators"; empty if it does not wait.
std::string explainWait(const scheduler &state, const job_id &job);

/// Summary of capacity and queues.
scheduler_summary summarize(const scheduler &state);

} // namespace sesamespar
