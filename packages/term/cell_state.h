// State of one term of the leader of a cell: jobs, workers and the runs placed on them. It is rebuilt from the
// platform's store and from the workers at the start of each term. Only the control thread uses it.
#pragma once

#include "connection/advice_port.h"
#include "connection/discovery_port.h"
#include "connection/worker_port.h"
#include "request/accepted_job.h"
#include "request/job_progress.h"
#include "term/cell_policy.h"
#include "term/run_time_model.h"
#include "term/step_advice.h"

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

/// Links a job into the list of jobs that may have waiting tasks.
using waiting_hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Stage of a run that is placed on a worker.
enum class run_state {
    Recording, ///< The placement is being written to the store; the worker has received nothing.
    Starting, ///< The start was sent; the reply is outstanding or lost.
    Running,
    Stopping, ///< The run must end; a stop was sent or will be sent.
};

/// A run placed on a worker. Its resources stay reserved until the run has provably ended.
struct placed_run : boost::intrusive::list_base_hook<> {
    cell_job *job = nullptr;
    task_position position;
    run_number run;
    cell_worker *worker = nullptr;
    resources need;
    run_state state = run_state::Recording;
    std::uint64_t recordedIn = 0; ///< Number of the change of the job that records this placement.
    bool sent = false; ///< A start was sent, by this term or an earlier one.
    bool startUnknown = false; ///< A start got no reply and may still take effect.
    bool begun = false; ///< A reply or a report has shown that the worker has begun the run.
    std::optional<time_point>
        begunAt; ///< When the leader learned of it, in uptime; empty for a run of an earlier term.
    /// Started from a checkpoint or in an earlier term, so its duration in this term is not that of the whole task.
    bool partial = true;
    unsigned openOrders = 0; ///< Calls about this run that are in progress.
    bool stopAccepted = false; ///< The worker has accepted a stop, so the run can no longer begin.
    /// A report of the worker's current incarnation has listed the run. Otherwise the run may belong to a later
    /// incarnation that the leader does not know yet.
    bool reported = false;
    time_point placedAt; ///< In uptime.
    time_point orderedAt; ///< When the latest reply to a call about this run arrived, in uptime.
    std::string checkpoint; ///< The latest that the worker reported.
    int percent = 0; ///< Completed share of the work at the latest report.
    std::optional<time_point> percentAt; ///< In uptime; empty before the first report.
    double speed = 1; ///< Ratio of completed to expected work between two reports; 0 if the run makes no progress.
};

using run_list = boost::intrusive::list<placed_run, boost::intrusive::constant_time_size<true>>;

/// Factor by which the clocks of workers may be slow.
constexpr double slowestClock = 1.02;

/// Outcomes of the runs on a worker, to distinguish workers on which every run fails from tasks that fail on every
/// worker.
struct worker_record {
    unsigned failuresInRow = 0; ///< Failed runs since the last successful one.
    job_key lastFailedJob;
    time_point avoidedUntil; ///< In uptime; before, the worker gets only one run at a time.
};

/// One worker: its latest listing and the state that the leader keeps of it. `incarnation` belongs to the listing and
/// may differ from that of the reports, since the list and the polls show a restart at different times.
struct cell_worker : worker_listing {
    worker_slot slot;
    bool listed = false; ///< The worker is in the platform's list.
    /// Incarnation of the latest report; before the first report of this term, that of the listing. Incarnations are
    /// compared for equality only: after the worker's time of day was set back, a later one has a smaller number.
    worker_incarnation current;
    time_point currentSince; ///< When the leader learned of the current incarnation, in uptime.
    bool seen = false; ///< The current incarnation has answered a poll of this term.
    unsigned missedPolls = 0; ///< In a row.

    resources reserved; ///< By all runs in `runs`.
    run_list runs;
    worker_record record;
    double speed = 1; ///< Moving mean of the speeds of its runs; see worker_speed.h.
    double logSpeed = 0; ///< Logarithm of its sustained speed relative to the cell's mean; see sustained_speed.h.
    double speedSamples = 0; ///< Number of runs that were measured.

    unsigned orphanRuns = 0; ///< Reported runs that this term did not place on the worker.
    std::optional<milliseconds> clock; ///< The last reading of its clock.
    time_point clockAt; ///< When that reading was received, in uptime.
    /// In uptime; without contact, all leases of the current incarnation have expired afterwards.
    time_point leasesEndBy;
    /// In uptime; no call that extends leases arrives later. A call reaches whatever incarnation there is when it
    /// arrives. For a later one than that whose clock it was made for, its lease lasts longer.
    time_point grantsArriveBy;
    end_number seenEnds; ///< All ends up to this one are stored, so the worker may discard them.
    end_number oldestEnd; ///< The first end in the latest report of the current incarnation; 0 if it had none.
    connection_number listedOn; ///< The connection that carried the latest report of the current incarnation.
};

/// A step of a job in progress.
struct cell_step {
    std::uint32_t first = 0; ///< Position of its first task.
    std::uint32_t count = 0;
    std::uint32_t done = 0;
    std::uint32_t placed = 0; ///< Tasks with a run that has not provably ended.
    step_advice advice; ///< What the advisor has said about the workers for this step.
    run_number failedRun; ///< Latest run of a gang that was counted as a failure.
    step_durations durations; ///< Of its tasks that have ended.
    bool limited = false; ///< No task could start in the latest pass because of the limit of the organisation.
    /// When the wait for the limit began, in uptime. For a gang, it ends with its placement, or when no capacity is
    /// kept for the gang although it is within the limit. Empty if there is none.
    std::optional<time_point> limitedSince;
};

/// A job that is not final, or that still has runs or unstored changes.
struct cell_job : boost::intrusive_ref_counter<cell_job, boost::thread_unsafe_counter> {
    accepted_job accepted;
    job_progress progress;
    std::vector<cell_step> steps;
    std::vector<placed_run *> runs; ///< By position; null if nothing is placed.
    struct queue_history *history = nullptr; ///< Of the job's queue.
    struct organisation_usage *organisation = nullptr; ///< Null if the job belongs to none.
    bool surplus = false; ///< Submitted beyond the weight of its organisation.
    waiting_hook waitingHook;
    bool cancelled = false; ///< The caller has cancelled the job.
    bool begun = false; ///< A worker has begun one of its tasks; see markBegun.

    store_revision jobRevision; ///< Of the accepted job in the store; 0 after its removal.
    store_revision progressRevision; ///< Of the progress in the store; 0 if none was written.
    std::uint64_t changes = 0; ///< Number of changes of the progress.
    std::uint64_t storedChanges = 0; ///< Number of the latest stored change.
    bool writing = false; ///< Part of a transaction in progress.
    bool queuedForWrite = false;
    bool awaitsRecord = false; ///< Some placed run is not stored yet.
};

using cell_job_ptr = boost::intrusive_ptr<cell_job>;

/// Jobs that may have waiting tasks.
using waiting_list =
    boost::intrusive::list<cell_job,
                           boost::intrusive::member_hook<cell_job, waiting_hook, &cell_job::waitingHook>,
                           boost::intrusive::constant_time_size<false>>;

/// What was learned from the earlier jobs of a queue.
struct queue_history {
    double meanMs = 0; ///< Moving mean of the durations of tasks; 0 before the first sample.
    run_time_model runTimes;
    double suitableShare = 0.5; ///< Moving mean of the share of workers that may run a step.
};

/// Use of a cell by one organisation, its limit and its share.
struct organisation_usage {
    bool declared = false; ///< In the newest configuration. Otherwise its weight is 0 and it has no limit.
    double weight = 0; ///< See organisation_declaration.
    resources limit; ///< 0 in a component: no limit.
    resources reserved; ///< By all runs of its jobs that have not provably ended.
    /// Need of runs of an earlier term whose jobs were final already. It counts until `unendedUntil`, in uptime, when
    /// the leases of these runs have expired.
    resources unended;
    time_point unendedUntil;
    std::map<std::int64_t, std::uint32_t> submitted; ///< Jobs within the weight, by second of acceptance.
    /// Part of the limit that the pass in progress keeps for gangs that cannot start at present.
    resources kept;
    /// Step that has waited too long for the limit. Nothing else of the organisation starts in the part of the limit
    /// that it needs, whatever the order of the steps. Null if there is none; valid during a pass only.
    const cell_step *favoured = nullptr;
    resources favouredNeed;
    bool active = false; ///< It has waiting jobs or runs in the pass in progress.
    bool aboveShare = false; ///< It uses more of the cell than its weight entitles it to.
};

/// End of a run that the worker may discard after the change of the job is stored.
struct unstored_end {
    end_number number;
    cell_job_ptr job; ///< Null if there is nothing to store.
    std::uint64_t change = 0;
};

/// All state that scheduling decisions are based on.
struct cell_state {
    cell_policy policy;
    std::map<worker_id, std::unique_ptr<cell_worker>> workers;
    std::vector<cell_worker *> slots; ///< The workers by their slot; null for a free slot.
    worker_slot nextAdvised; ///< Slot after the last worker that a request to the advisor named.
    std::unordered_map<job_key, cell_job_ptr> jobs; ///< Non-final jobs, and final ones with runs or unstored changes.
    std::map<worker_id, std::map<end_number, unstored_end>> ends;
    std::map<queue_id, queue_history> history;
    std::map<organisation_id, organisation_usage> organisations;
    waiting_list waiting; ///< Contains every job with waiting tasks, and others until the next placement pass.
    double meanLogSpeed = 0; ///< Moving mean of the logarithms of all measured speeds; see sustained_speed.h.
    double speedSamples = 0; ///< Number of runs that were measured.
    bool unevenWorkers = false; ///< The sustained speeds of the workers differ by a factor of two or more.
    double meanSpeed = 1; ///< Moving mean over all workers; corrects estimates that are off in one direction.
    double startDelayMs = 0; ///< Moving mean of the time from the placement of a run to its start.
    bool stopsRequested = false; ///< Some run may need a stop that has not been sent.
    std::vector<cell_job_ptr> changed; ///< Jobs whose progress must be written, without duplicates.
    std::vector<time_point::duration> waits; ///< From acceptance to the first begun task; not in the metrics yet.

    cell_state() = default;
    cell_state(const cell_state &) = delete;
    cell_state &operator=(const cell_state &) = delete;
    ~cell_state();
};

/// Step that contains the task at the position.
std::uint32_t stepOf(const cell_job &job, task_position position);

/// Identity of a task in calls to workers.
run_task taskName(const cell_job &job, task_position position);

/// Position of the task of a step, or empty if the job has no such task.
std::optional<task_position> positionOf(const cell_job &job, std::uint32_t step, std::uint32_t index);

/// Adds a job that is not in the state yet. `progress` may lack trailing tasks without runs.
cell_job_ptr addJob(cell_state &state, accepted_job accepted, job_progress progress);

/// Adds a worker that is not in the state yet and gives it a slot.
cell_worker &addWorker(cell_state &state, const worker_id &id);

/// Removes a worker without runs, with all that the steps know of it.
void removeWorker(cell_state &state, const worker_id &id);

/// Discards what the steps know of a worker, for example because it has restarted.
void forgetAdvice(cell_state &state, const cell_worker &worker);

/// Adds a job to those that the next placement pass considers.
void considerWaiting(cell_state &state, cell_job &job);

/// Counts a change of the job's progress and queues the progress for writing.
void markChanged(cell_state &state, cell_job &job);

/// Marks that the worker has begun a run. The first call for a job records the job's wait.
void markBegun(cell_state &state, placed_run &run, const clock_reading &now);

/// Updates the mean time from the placement of a run to its start.
void recordStartDelay(cell_state &state, const placed_run &run, const clock_reading &now);

/// Capacity of a worker that is not reserved.
resources freeCapacity(const cell_worker &worker);

/// True if the worker may get new runs.
bool acceptsRuns(const cell_worker &worker, time_point uptime);

} // namespace sesamespar
