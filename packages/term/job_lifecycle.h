// State transitions of jobs and tasks at a leader: acceptance, start, end, retry, cancellation and loss of a
// worker.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Adds a job with all tasks waiting and queues the writes of its record. Returns false, and adds nothing, if
/// fewer than two racks have a worker that can store a copy.
bool startJob(leader &state, const job_record &record, const clock_reading &now);

/// Starts a new attempt at a task on the worker that the scheduler chose, and records the claim.
void claimTask(leader &state, const placement &decision, const clock_reading &now);

/// Marks a task as running after its worker accepted the start command.
void taskStarted(leader &state, worker &target, const task_id &task);

/// Handles a start command that a worker rejected: the attempt did not run. The task waits for a retry,
/// or is cancelled with its job.
void startRejected(leader &state, worker &target, const rejected_start &rejected, const clock_reading &now);

/// Handles the end of a task on a worker. An end that is already recorded, or that belongs to an earlier attempt,
/// only releases the capacity of the task and lets the worker forget the task.
void taskEnded(leader &state,
               worker &target,
               const task_id &task,
               task_event_kind how,
               const std::string &outcome,
               const clock_reading &now);

/// Handles one event from the event sequence of a worker.
void handleTaskEvent(leader &state, worker &target, const task_event &event, const clock_reading &now);

/// Settles the tasks on a worker that has restarted: none of them is still running.
void settleRestartedWorker(leader &state, worker &target, const clock_reading &now);

/// Settles the tasks on a worker whose control lease this leader does not hold: tasks whose lease has
/// certainly expired, starts that were never sent, and, if the worker has left the VM list, tasks that must not be
/// repeated.
void settleUnheldWorker(leader &state, worker &target, const clock_reading &now);

/// Settles one task that its worker does not report, or whose worker is lost: the task waits for another
/// attempt or becomes final. `mayHaveRun` is true if the start command may have reached the worker.
void settleMissingTask(leader &state, job &subject, task_record &task, bool mayHaveRun, const clock_reading &now);

/// Cancels the tasks of a job that have not started and stops those that may have.
void cancelJob(leader &state, job &subject, const clock_reading &now);

/// Queues the waiting tasks of a job for placement. The tasks of a gang are queued only when every task of the
/// gang that is not final is waiting.
void queueWaitingTasks(leader &state, job &subject, const clock_reading &now);

/// Queues the tasks whose retry delay has passed.
void queueDelayedTasks(leader &state, const clock_reading &now);

/// Performs the steps that depend on the revision stored on both copies: answers callers that wait for the
/// acceptance or the outcome, and queues starts.
void advanceJob(leader &state, job &subject, const clock_reading &now, outbox &out);

/// Cancels tasks that still wait when their job expires, and removes finished jobs once their record is past its
/// retention time.
void expireJobs(leader &state, const clock_reading &now);

/// Sends the answer derived from the job's record to every waiter. Waiters for the outcome stay registered
/// unless `outcomeKnown`.
void answerWaiters(job &subject, bool outcomeKnown, outbox &out);

} // namespace sesamespar
