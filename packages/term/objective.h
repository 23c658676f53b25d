// By when a job should be completed, and how much of that time is left.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// What can still be had for a job.
enum class job_prospect {
    InTime, ///< Its objective can still be met.
    Late, ///< It can be completed within three times its objective, which callers value at a fraction.
    Overdue,
};

/// A job's times.
struct deadline_forecast {
    job_prospect prospect = job_prospect::InTime;
    utc_time latestStart; ///< Latest start of the remaining work that meets the objective, or three times of it.
};

/// Expected duration of one task of a step: the caller's estimate, drawn to what the queue's tasks took.
milliseconds expectedDuration(const cell_state &state, const cell_job &job, std::uint32_t step);

/// Time from acceptance within which the job should be completed.
milliseconds objectiveOf(const cell_state &state, const cell_job &job);

/// Judges a job at `now`.
deadline_forecast forecastDeadline(const cell_state &state, const cell_job &job, utc_time now);

} // namespace sesamespar
