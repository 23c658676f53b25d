// Preemption: makes room for waiting work of higher priority by checkpointing running tasks that can be resumed.
#pragma once

#include "process/job_queue.h"

namespace sesamespar {

/// Lists a placed task among those that may be preempted, if its kind and job allow it.
void listVictim(scheduler &state, task_state &task);

/// Decides preemptions for the tasks of a lane that fit nowhere, at most one worker's victims for each task.
void preemptFor(scheduler &state, job_lane &lane, schedule_result &result);

/// Notes that a preempted task was released.
void notePreempted(scheduler &state, task_state &task);

} // namespace sesamespar
