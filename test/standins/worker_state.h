// State of one worker as the scheduler's worker interface assumes it: control lease, tasks with leases,
// events, records. All times are readings of the worker's own clock. Nothing here checks whether tasks fit:
// the witness reports what the scheduler did wrong.
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

/// A task that the worker knows.
struct known_task {
    start_command command;
    task_directive directive;
    worker_clock started;
    worker_clock leaseUntil;
    std::optional<worker_clock> finishes; ///< Absent: it runs until it is stopped.
    worker_clock usageDue; ///< When its use is reported next.
    std::optional<millicores> throttle;
    bool ended = false;
    task_event_kind last = task_event_kind::Started;
    std::string result;
};

/// Time that earlier attempts at a task ran until they were checkpointed. Shared by all workers.
using saved_progress = std::map<std::pair<job_id, task_index>, milliseconds>;

/// A copy of a task that began or ended to run, for the witness.
struct task_change {
    task_id task;
    resources need;
    bool began = false; ///< False if it ended.
    std::string outcome; ///< How it ended.
};

/// Changes in the order in which they happened.
using task_changes = std::vector<task_change>;

/// One worker. Everything but the name, the capacity and the fault settings goes when it restarts.
struct worker_state {
    worker_id name;
    resources capacity;
    bool failsEveryTask = false;
    milliseconds usageLag{2000}; ///< Time until the use of a task is reported, and between reports.

    incarnation_id instance;
    control_token current;
    worker_clock leaseUntil;
    config_version version;
    roster_revision roster;
    bool draining = false;
    std::map<task_id, known_task> tasks;
    std::set<task_id> barred; ///< Stopped before they were started.
    std::map<job_id, job_record> records;
    std::deque<task_event> events;
    event_sequence lastEvent;
    event_sequence snapshotEvent; ///< Last event when the first page of a snapshot was read.
};

/// True if the token is the current one and its lease has not lapsed.
bool holdsControl(const worker_state &worker, const control_token &token, worker_clock now);

/// Takes, renews or releases the control lease as far as the call may.
void applyControl(worker_state &worker, const control_request &request, worker_clock now);

/// Answer to a control call that was applied, at once or after its wait.
control_reply answerControl(worker_state &worker, const control_request &request, worker_clock now);

/// True if a control call need not wait any longer: there are events, or its lease is gone.
bool isReplyReady(const worker_state &worker, const control_request &request, worker_clock now);

/// Reads one page of tasks and records.
snapshot_reply takeSnapshot(worker_state &worker, const snapshot_request &request, worker_clock now);

/// Stores and removes records.
write_records_reply writeRecords(worker_state &worker, const write_records_request &request, worker_clock now);

/// Carries out commands.
commands_reply runCommands(worker_state &worker,
                           const commands_request &request,
                           worker_clock now,
                           saved_progress &progress,
                           task_changes &changes);

/// Ends the tasks that are finished, and those whose lease has lapsed.
void advanceWorker(worker_state &worker, worker_clock now, task_changes &changes);

/// Time at which advanceWorker has something to do, if any task runs.
std::optional<worker_clock> nextDue(const worker_state &worker);

/// Loses all state and goes on as a new instance.
void restartWorker(worker_state &worker, incarnation_id instance, task_changes &changes);

} // namespace sesamespar::standins
