// Preemption: frees capacity for waiting work of higher priority by checkpointing running tasks that can be resumed.
#pragma once

#include "term/job_queue.h"

namespace sesamespar {

/// Adds a placed task to the candidates for preemption, if its kind and job allow preemption.
void listVictim(scheduler &state, scheduled_task &task);

/// Tasks of a lane for which capacity is to be freed.
struct preemption_request {
    std::size_t tasks = 0; ///< Tasks without a worker, including those with preemptions under way.
    bool allOrNone = false; ///< Preempt nothing unless all tasks get capacity, as a gang requires.
    bool fromVictims = false; ///< Ignore free capacity, because it is guaranteed to other kinds.
    time_point now;
};

/// Decides preemptions for tasks of a lane and appends them to `result`. All victims for one task are on one worker.
void preemptFor(scheduler &state, job_lane &lane, const preemption_request &request, schedule_result &result);

/// Removes a task from the counts of preemptions under way, when it is released or its preemption is reverted.
void clearPreemption(scheduler &state, scheduled_task &task);

} // namespace sesamespar
