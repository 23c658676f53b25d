// State machine of one stand-in worker, according to the worker interface of the scheduler: control lease, tasks with
// leases, events and records. All times are readings of the worker's own clock. The worker does not check whether tasks
// fit its capacity; the execution recorder reports violations.
#pragma once

#include "connection/worker_api.h"
#include "standins/task_directive.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sesamespar::standins {

/// A task that is running or has ended on the worker.
struct local_task {
    start_command command;
    task_directive directive;
    worker_clock started;
    worker_clock leaseUntil;
    std::optional<worker_clock> finishes; ///< Absent: the task runs until it is stopped.
    worker_clock usageDue; ///< Time of the next report of its resource use.
    std::optional<millicores> throttle;
    bool ended = false;
    task_event_kind last = task_event_kind::Started;
    std::string result;
};

/// Total run time of the checkpointed attempts of each task. Shared by all workers.
using saved_progress = std::map<std::pair<job_id, task_index>, milliseconds>;

/// Start or end of a copy of a task, for the execution recorder.
struct task_change {
    task_id task;
    resources need;
    bool began = false; ///< True for a start, false for an end.
    std::string outcome; ///< Outcome of an end.
};

/// Changes in the order of occurrence.
using task_changes = std::vector<task_change>;

/// One worker. A restart resets everything but the name, the capacity and the fault settings.
struct worker_state {
    worker_id name;
    resources capacity;
    bool failsEveryTask = false;
    milliseconds usageLag{2000}; ///< Time until the first report of a task's resource use, and between reports.

    incarnation_id instance;
    control_token current;
    worker_clock leaseUntil;
    config_version version;
    roster_revision roster;
    bool draining = false;
    std::map<task_id, local_task> tasks;
    std::set<task_id> stoppedBeforeStart; ///< A later start of these tasks is rejected.
    std::map<job_id, job_record> records;
    std::deque<task_event> events;
    event_sequence lastEvent;
    event_sequence snapshotEvent; ///< Value of lastEvent when the first page of the snapshot was read.
};

/// True if the token holds control and its lease has not expired.
bool holdsControl(const worker_state &worker, const control_token &token, worker_clock now);

/// Acquires, renews or releases the control lease if the request is entitled to it.
void applyControl(worker_state &worker, const control_request &request, worker_clock now);

/// Reply to a control call after applyControl, immediately or at the end of its wait.
control_reply answerControl(worker_state &worker, const control_request &request, worker_clock now);

/// True if a control call can be answered before its wait expires: there are new events, or it does not hold control.
bool isReplyReady(const worker_state &worker, const control_request &request, worker_clock now);

/// Reads one page of tasks and records, if the token holds control.
snapshot_reply takeSnapshot(worker_state &worker, const snapshot_request &request, worker_clock now);

/// Stores and removes records, if the token holds control.
write_records_reply writeRecords(worker_state &worker, const write_records_request &request, worker_clock now);

/// Executes commands, if the token holds control and the commands are still valid.
commands_reply runCommands(worker_state &worker,
                           const commands_request &request,
                           worker_clock now,
                           saved_progress &progress,
                           task_changes &changes);

/// Ends the tasks that have finished, and those whose lease has expired.
void advanceWorker(worker_state &worker, worker_clock now, task_changes &changes);

/// Earliest time at which advanceWorker ends a task; nothing if no task runs.
std::optional<worker_clock> nextDue(const worker_state &worker);

/// Resets the state and continues as a new instance.
void restartWorker(worker_state &worker, incarnation_id instance, task_changes &changes);

} // namespace sesamespar::standins
