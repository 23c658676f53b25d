// The decisions of a leader: which job may enter, which waits, and which task goes to which worker.
// It knows the fleet's capacity, the queues and what runs, but no messages, clocks or threads.
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

/// What the scheduler knows of a worker.
struct worker_offer {
    worker_id name;
    rack_id rack;
    resources capacity; ///< Of the whole VM, before the limits of the fleet apply.
    bool placeable = false; ///< May get new tasks: lease held, not leaving, drained or set aside.
};

/// What the scheduler knows of a job.
struct job_offer {
    job_id id;
    work_id work;
    work_kind kind = work_kind::Batch;
    resources need; ///< Of one task, as declared.
    milliseconds runTime{0};
    bool repeatable = false;
    std::uint32_t tasks = 0; ///< All tasks of the job.
    std::uint32_t preemptions = 0; ///< So far.
};

/// Names a task within the scheduler.
struct task_key {
    job_id job;
    task_index index;

    auto operator<=>(const task_key &) const = default;
};

/// Whether a job may enter. If not, it was not recorded anywhere.
struct admission_verdict {
    bool admitted = false;
    std::string reason; ///< Why not, in one sentence for the caller.
    milliseconds retryAfter{0}; ///< 0 if a retry makes no sense.
};

/// A decision to run a task on a worker. The capacity is reserved already.
struct placement {
    task_key task;
    worker_id worker;
};

/// A decision to checkpoint a running task for work of higher priority.
struct preemption {
    task_key task;
    worker_id worker;
};

/// Decisions of one pass.
struct schedule_result {
    std::vector<placement> placements;
    std::vector<preemption> preemptions;
};

/// What a task used, from the workers' lagging reports.
struct usage_sample {
    task_key task;
    resources used;
};

/// What should be done about a task that uses more than it declared.
struct overuse_action {
    enum class kind {
        Throttle,
        Checkpoint,
        Stop,
    };
    task_key task;
    worker_id worker;
    kind action = kind::Throttle;
    millicores limit; ///< For Throttle.
};

/// Share of the fleet that is in use, for the dump, the nodes page and the measurements.
struct scheduler_summary {
    std::size_t workers = 0;
    std::size_t placeableWorkers = 0;
    std::size_t setAsideWorkers = 0;
    std::size_t waitingTasks = 0;
    std::size_t placedTasks = 0;
    resources capacity; ///< Of placeable workers, with the limits of the fleet applied.
    resources reserved;
};

/// State of the scheduler. Opaque, so that its indexes can change; made and used by one thread.
struct scheduler;

/// Frees a scheduler.
struct scheduler_deleter {
    void operator()(scheduler *state) const;
};
using scheduler_ptr = std::unique_ptr<scheduler, scheduler_deleter>;

/// Makes a scheduler without workers or jobs.
scheduler_ptr makeScheduler(configuration_ptr settings);

/// Puts another configuration in force. Tasks that run or wait stay.
void applyConfiguration(scheduler &state, configuration_ptr settings);

/// Adds a worker or replaces what is known of it. Tasks placed on it stay reserved.
void putWorker(scheduler &state, const worker_offer &offer);

/// Removes a worker. Tasks placed on it must have been released before.
void removeWorker(scheduler &state, const worker_id &name);

/// Decides whether a new job may enter: its need fits some worker, even when it is empty, its team's quota
/// could hold it, and the queues have room. Does not change the state.
admission_verdict admit(const scheduler &state, const job_offer &job);

/// Adds tasks of a job to the queue: those listed in `waiting`. A task that waits already is left alone.
void enqueue(scheduler &state, const job_offer &job, const std::vector<task_index> &waiting, time_point now);

/// Removes all waiting tasks of a job; placed ones stay. Cost does not grow with the queue's length.
void dequeue(scheduler &state, const job_id &job);

/// Places waiting tasks until nothing more fits or `limit` tasks are placed.
schedule_result schedule(scheduler &state, time_point now, std::size_t limit);

/// Reserves capacity for a task that was found on a worker, without a decision.
void adoptTask(scheduler &state, const job_offer &job, task_index index, const worker_id &worker);

/// Gives back the capacity of a placed task. An unknown task is ignored.
void releaseTask(scheduler &state, const task_key &task);

/// Notes how a task ended, to set aside workers that fail every task and to blame jobs that fail everywhere.
/// Returns true if the worker became or ceased to be set aside.
bool noteOutcome(scheduler &state, const work_id &work, const worker_id &worker, bool succeeded, time_point now);

/// Notes measured use. Returns what to do about tasks that use more than they declared.
std::vector<overuse_action> noteUsage(scheduler &state, const std::vector<usage_sample> &samples);

/// Why a job waits, in one sentence, for example "no worker has 4 free accelerators"; empty if it does not wait.
std::string explainWait(const scheduler &state, const job_id &job);

/// Summary of capacity and queues.
scheduler_summary summarize(const scheduler &state);

} // namespace sesamespar
