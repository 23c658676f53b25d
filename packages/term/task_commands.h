// Queues commands for tasks and sends them to workers, one call at a time for each worker.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Queues the start of the current attempt at a task. The record of the attempt must be on both copies.
void queueStart(leader &state, worker &target, job &subject, task_record &task);

/// True if the start of the current attempt has certainly not been sent.
bool isUnsent(const job &subject, const worker &target, const task_record &task);

/// Removes a start that was not sent yet from the queue. Returns false if it may have been sent.
bool withdrawStart(leader &state, worker &target, job &subject, const task_record &task);

/// Queues the stop of a task, unless a stop or checkpoint was requested before.
void queueStop(leader &state, worker &target, const task_key &task);

/// Queues the checkpoint of a task, unless a stop or checkpoint was requested before.
void queueCheckpoint(leader &state, worker &target, const task_key &task);

/// Queues a processor limit for a task.
void queueThrottle(leader &state, worker &target, const task_key &task, millicores limit);

/// Schedules the command that lets a worker forget an ended task whose outcome is recorded. The command is delayed
/// until no earlier copy of the start can arrive, because a worker that has forgotten a task would start it
/// again.
void forgetLater(leader &state, const worker_id &target, const task_id &task, time_point now);

/// Queues the forget commands that are due.
void queueDueForgets(leader &state, time_point now);

/// Marks a worker as draining and queues the drain command to it.
void queueDrain(leader &state, worker &target);

/// Sends the queued commands of a held worker unless a call with commands is under way or must wait for a retry.
void flushCommands(leader &state, worker &target, time_point now, outbox &out);

/// Outcome of a call with commands.
struct commands_outcome {
    bool fenced = false; ///< A leader with a higher epoch holds the worker.
    std::vector<task_id> started; ///< Accepted by the worker.
    std::vector<rejected_start> rejected; ///< Refused by the worker; these attempts did not run.
};

/// Handles the end of a call with commands. Commands that may not have arrived are queued again.
commands_outcome onCommandsEnded(leader &state, worker &target, const result<worker_reply> &outcome, time_point now);

} // namespace sesamespar
