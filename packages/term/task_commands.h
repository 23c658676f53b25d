// Queues commands for tasks and sends them to workers, one call at a time for each worker.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Queues the start of the task's present attempt. Its record must be on both copies.
void queueStart(leader &state, worker &target, job &subject, task_record &task);

/// True if the start of the task's present attempt was certainly not sent.
bool isUnsent(const job &subject, const worker &target, const task_record &task);

/// Takes back a start that was not sent yet. Returns false if it may have been sent.
bool withdrawStart(leader &state, worker &target, job &subject, const task_record &task);

/// Queues the stop of a task, once.
void queueStop(leader &state, worker &target, const task_key &task);

/// Queues the checkpoint of a task, once.
void queueCheckpoint(leader &state, worker &target, const task_key &task);

/// Queues a limit for the task's processors.
void queueThrottle(leader &state, worker &target, const task_key &task, millicores limit);

/// Tells the worker, once no earlier copy of the start can still arrive, that the outcome of an ended task is
/// recorded. A worker that has forgotten a task would start it again.
void forgetLater(leader &state, const worker_id &target, const task_id &task, time_point now);

/// Queues the forgets that are due.
void queueDueForgets(leader &state, time_point now);

/// Marks the worker as draining, here and at the worker.
void queueDrain(leader &state, worker &target);

/// Sends the queued commands of a worker if no commands to it are under way.
void flushCommands(leader &state, worker &target, time_point now, outbox &out);

/// Outcome of a call with commands.
struct commands_outcome {
    bool fenced = false; ///< Another leader holds the worker.
    std::vector<task_id> started; ///< Taken by the worker.
    std::vector<rejected_start> rejected; ///< Did not run.
};

/// Handles the end of a call; commands that may not have arrived are queued again.
commands_outcome onCommandsEnded(leader &state, worker &target, const result<worker_reply> &outcome, time_point now);

} // namespace sesamespar
