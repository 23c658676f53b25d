// Preemption: makes room for waiting work of higher priority by checkpointing running tasks that can be resumed.
#pragma once

#include "term/job_queue.h"

namespace sesamespar {

/// Lists a placed task among those that may be preempted, if its kind and job allow it.
void listVictim(scheduler &state, held_task &task);

/// What preemption is asked for.
struct preemption_request {
    std::size_t tasks = 0; ///< Tasks that miss a place, including those that earlier preemptions make room for.
    bool allOrNone = false; ///< Room for some of the tasks is of no use.
    bool fromVictims = false; ///< Free capacity may not be used, because it is guaranteed to other kinds.
    time_point now;
};

/// Decides preemptions for tasks of a lane. Each task gets victims on one worker.
void preemptFor(scheduler &state, job_lane &lane, const preemption_request &request, schedule_result &result);

/// Notes that a preempted task was released.
void notePreempted(scheduler &state, held_task &task);

} // namespace sesamespar
