// Objectives of jobs: by when a job should be completed, and whether it still can be.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// Forecast of when a job can be completed.
enum class job_prospect {
    InTime, ///< The objective can still be met.
    Late, ///< It can be completed within three times the objective, which callers value at a fraction.
    Overdue, ///< It cannot be completed within three times the objective.
};

/// Forecast for a job at one point in time.
struct deadline_forecast {
    job_prospect prospect = job_prospect::InTime;
    utc_time latestStart; ///< Latest start of the remaining work that meets the objective, or three times the objective
                          ///< if the job is late.
};

/// Expected duration of one task of a step, from the source that the policy selects.
milliseconds expectedDuration(const cell_state &state, const cell_job &job, std::uint32_t step);

/// Time from acceptance within which the job should be completed.
milliseconds objectiveOf(const cell_state &state, const cell_job &job);

/// Forecasts at `now` whether the job can meet its objective.
deadline_forecast forecastDeadline(const cell_state &state, const cell_job &job, utc_time now);

} // namespace sesamespar
