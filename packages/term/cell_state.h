// The state that lives as long as one term of the leader of a cell: jobs, workers and the runs placed on them.
// Rebuilt from the platform's store and from the workers at the start of a term. The control thread alone uses it.
#pragma once

#include "connection/advice_port.h"
#include "connection/discovery_port.h"
#include "connection/worker_port.h"
#include "request/accepted_job.h"
#include "request/job_progress.h"
#include "term/cell_policy.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace sesamespar {

struct cell_job;
struct cell_worker;

/// What is known about a run that is placed on a worker.
enum class run_state {
    Recording, ///< Its place is being written to the store; nothing was sent to the worker yet.
    Starting, ///< The start was sent, its answer is outstanding or was lost.
    Running,
    Stopping, ///< It must end; a stop was sent or will be.
};

/// A run placed on a worker. It holds its room until it is proved to be over.
struct placed_run : boost::intrusive::list_base_hook<> {
    cell_job *job = nullptr;
    task_position position;
    run_number run;
    cell_worker *worker = nullptr;
    resources need;
    run_state state = run_state::Recording;
    std::uint64_t recordedIn = 0; ///< Change of the job that holds the place of this run.
    bool sent = false; ///< A start was sent, by this term or an earlier one.
    bool startUnknown = false; ///< The start got no answer, so it may still be carried out.
    unsigned openOrders = 0; ///< Calls about this run that are under way.
    bool stopAccepted = false; ///< The worker has taken a stop, so the run cannot begin any more.
    time_point placedAt; ///< In uptime.
    time_point orderedAt; ///< When the last answered call about this run was answered, in uptime.
    std::string checkpoint; ///< Newest one that the worker has reported.
    int percent = 0; ///< Share of its work that was done at the latest report.
    std::optional<time_point> percentAt; ///< In uptime; nothing before the first report.
    double speed = 1; ///< Work done between two reports over what was expected; 0 if it stands still.
};

using run_list = boost::intrusive::list<placed_run, boost::intrusive::constant_time_size<true>>;

/// Record of how runs on a worker ended, to tell workers that fail everything from tasks that fail everywhere.
struct worker_record {
    unsigned failuresInRow = 0; ///< Failed runs since the last one that was done.
    job_key lastFailedJob;
    time_point avoidedUntil; ///< In uptime; no new runs before, but for one at a time.
};

/// One worker, as it was last listed and as the leader knows it. `birth` tells its lives under the same id apart; a
/// report may bring a later one than the listing.
struct cell_worker : worker_listing {
    bool listed = false; ///< The platform lists it.
    bool seen = false; ///< It has answered a poll of this term in its present life.
    unsigned missedPolls = 0; ///< In a row.

    resources reserved; ///< By all runs in `runs`.
    run_list runs;
    worker_record record;
    double speed = 1; ///< Moving mean of the speeds of the runs on it; see worker_speed.h.

    unsigned orphanRuns = 0; ///< Runs that it reports and that this term did not place there.
    std::optional<milliseconds> clock; ///< Its clock when it last told it.
    time_point clockAt; ///< When that was received, in uptime.
    time_point leasesEndBy; ///< In uptime; without contact nothing runs on it any more after that.
    end_number seenEnds; ///< All ends up to here are stored, so the worker may forget them.
};

/// A ticket for one worker.
struct held_ticket {
    advice_ticket ticket;
    time_point validUntil; ///< In uptime.
};

/// A step of a job under way.
struct cell_step {
    std::uint32_t first = 0; ///< Position of its first task.
    std::uint32_t count = 0;
    std::uint32_t done = 0;
    std::uint32_t placed = 0; ///< Tasks with a run that is not proved to be over.
    bool adviceRequested = false; ///< A question to the advisor is under way.
    time_point nextAdviceAt; ///< In uptime; no question before.
    std::map<worker_id, worker_incarnation>
        assessedWorkers; ///< Workers whose suitability is known, with the life asked about.
    std::map<worker_id, held_ticket> suitable; ///< Workers that may run the step.
    run_number failedRun; ///< Latest run of a gang that was counted as a failure.
};

/// A job that is not final, or whose last runs are not over yet.
struct cell_job : boost::intrusive_ref_counter<cell_job, boost::thread_unsafe_counter> {
    accepted_job accepted;
    job_progress progress;
    std::vector<cell_step> steps;
    std::vector<placed_run *> runs; ///< By position; null if nothing is placed.
    bool cancelled = false; ///< The caller has cancelled it.
    bool begun = false; ///< A worker is known to have begun one of its tasks; see noteBegun.

    store_revision jobRevision; ///< Of the accepted job in the store; 0 once it was removed.
    store_revision progressRevision; ///< Of the progress in the store; 0 if none was written.
    std::uint64_t changes = 0; ///< Counts changes of the progress.
    std::uint64_t storedChanges = 0; ///< Changes that the store has.
    bool writing = false; ///< In the transaction under way.
    bool queuedForWrite = false;
};

using cell_job_ptr = boost::intrusive_ptr<cell_job>;

/// How long the tasks of a queue took, to correct the callers' estimates.
struct queue_history {
    double meanMs = 0; ///< Moving mean; 0 before the first.
};

/// An end of a run that the worker may forget once the job's change is stored.
struct unstored_end {
    end_number number;
    cell_job_ptr job; ///< Null if nothing has to be stored.
    std::uint64_t change = 0;
};

/// Everything the leader decides upon.
struct cell_state {
    cell_policy policy;
    std::map<worker_id, std::unique_ptr<cell_worker>> workers;
    std::unordered_map<job_key, cell_job_ptr> jobs; ///< Not final ones, and final ones with runs or unstored changes.
    std::map<worker_id, std::map<end_number, unstored_end>> ends;
    std::map<queue_id, queue_history> history;
    double meanSpeed = 1; ///< Moving mean over all workers, since estimates may be off in one direction.
    bool stopsRequested = false; ///< Some run is to be stopped and no stop was sent yet.
    std::vector<cell_job_ptr> changed; ///< Jobs whose progress has to be written, each once.
    std::vector<time_point::duration> waits; ///< From acceptance to the first task begun, not measured yet.

    cell_state() = default;
    cell_state(const cell_state &) = delete;
    cell_state &operator=(const cell_state &) = delete;
    ~cell_state();
};

/// Step that a position belongs to.
std::uint32_t stepOf(const cell_job &job, task_position position);

/// Name of a task as the workers know it.
run_task taskName(const cell_job &job, task_position position);

/// Position of a step's task, or nothing if the job has no such task.
std::optional<task_position> positionOf(const cell_job &job, std::uint32_t step, std::uint32_t index);

/// Adds a job that is not known yet. `progress` may lack tasks without runs.
cell_job_ptr addJob(cell_state &state, accepted_job accepted, job_progress progress);

/// Notes that a job's progress has changed and has to be written.
void markChanged(cell_state &state, cell_job &job);

/// Notes that a worker has begun one of the job's tasks.
void markBegun(cell_state &state, cell_job &job, const clock_reading &now);

/// The room that is left on a worker.
resources freeCapacity(const cell_worker &worker);

/// True if the worker takes new runs.
bool acceptsRuns(const cell_worker &worker, time_point uptime);

} // namespace sesamespar
