// How jobs and tasks move from state to state at a leader: acceptance, start, end, retry, cancellation and
// the loss of a worker.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Adds a job with all tasks waiting and queues its record. Returns false, and adds nothing, if no two racks
/// can take the copies.
bool startJob(leader &state, const job_record &record, const clock_reading &now);

/// Claims a worker for a task by a decision of the scheduler.
void claimTask(leader &state, const placement &decision, const clock_reading &now);

/// Notes that a worker took the start of a task.
void taskStarted(leader &state, worker &target, const task_id &task);

/// Notes that a worker did not take the start of a task; it did not run under this attempt.
void startRejected(leader &state, worker &target, const rejected_start &rejected, const clock_reading &now);

/// Notes that a task ended on a worker. Ends that are known already, or of former attempts, only make the
/// worker forget the task.
void taskEnded(leader &state,
               worker &target,
               const task_id &task,
               task_event_kind how,
               const std::string &outcome,
               const clock_reading &now);

/// Handles one event of a worker's sequence.
void handleTaskEvent(leader &state, worker &target, const task_event &event, const clock_reading &now);

/// Settles the tasks on a worker that has restarted: all of them are gone.
void settleRestartedWorker(leader &state, worker &target, const clock_reading &now);

/// Settles the tasks on a worker that is not held: those whose lease has lapsed for certain, and, if the
/// worker has left the VM list, those that must not be repeated.
void settleUnheldWorker(leader &state, worker &target, const clock_reading &now);

/// Settles one task whose worker is held but does not know it, or whose worker is gone.
/// `mayHaveRun` tells whether the start may have reached the worker.
void settleMissingTask(leader &state, job &subject, task_record &task, bool mayHaveRun, const clock_reading &now);

/// Cancels what did not start and stops what may have.
void cancelJob(leader &state, job &subject, const clock_reading &now);

/// Queues the tasks of a job that wait for a worker. The tasks of a gang are queued only when all that are
/// not final wait.
void queueWaitingTasks(leader &state, job &subject, const clock_reading &now);

/// Queues the tasks whose retry delay has passed.
void queueDelayedTasks(leader &state, const clock_reading &now);

/// Does what the job's recorded revision allows: tells callers of the acceptance, sends starts, tells
/// callers of the outcome.
void advanceJob(leader &state, job &subject, const clock_reading &now, outbox &out);

/// Cancels tasks that wait past their job's expiry and removes jobs whose record is no longer kept.
void expireJobs(leader &state, const clock_reading &now);

/// Sends the answer that the record gives to everybody who waits for it.
void answerWaiters(job &subject, bool outcomeKnown, outbox &out);

} // namespace sesamespar
