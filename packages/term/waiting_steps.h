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
/// ones, urgent queues before others, then those with the least time left. Unlinks jobs without waiting steps from the
/// list of the state.
std::vector<waiting_step> collectWaiting(cell_state &state, utc_time now);

/// Number of the waiting tasks of a step.
std::size_t countWaiting(const waiting_step &waiting);

/// Positions of the waiting tasks of a step.
std::vector<task_position> waitingTasks(const waiting_step &waiting);

} // namespace sesamespar
