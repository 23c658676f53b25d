// The steps with tasks that wait to be placed, in the order in which they are placed.
#pragma once

#include "term/cell_state.h"
#include "term/objective.h"

namespace sesamespar {

/// A step with waiting tasks whose earlier steps are done.
struct waiting_step {
    cell_job *job = nullptr;
    std::uint32_t step = 0;
    deadline_forecast forecast;
    double remainingWork = 0; ///< In core-milliseconds, of the whole job; 0 unless the policy orders by it.
    bool longestWait = false; ///< Under that policy: the longest wait of its rank and priority.

    [[nodiscard]] const job_step &declared() const
    {
        return job->accepted.job.steps[step];
    }

    [[nodiscard]] cell_step &state() const
    {
        return job->steps[step];
    }
};

/// Returns the waiting steps in the order of their value to the callers: jobs that can meet their objective before late
/// ones and surplus ones last, urgent queues before others, organisations below their share before those above it, then
/// by the tie order of the policy. Unlinks jobs without waiting steps from the
/// list of the state.
std::vector<waiting_step> collectWaiting(cell_state &state, utc_time now);

/// True if the step is placed before those of all late jobs: its job can be in time or is urgent.
bool precedesLateWork(const waiting_step &waiting);

/// True if the job gains nothing from a start now instead of later: it is overdue, or beyond its organisation's weight.
bool isDeferrable(const waiting_step &waiting);

/// Number of the waiting tasks of a step.
std::size_t countWaiting(const waiting_step &waiting);

/// Positions of the waiting tasks of a step.
std::vector<task_position> waitingTasks(const waiting_step &waiting);

} // namespace sesamespar
