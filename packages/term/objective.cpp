#include "term/objective.h"

#include "request/job_chain.h"

namespace sesamespar {

namespace {

/// A late job still has a part of its value up to this multiple of its objective.
constexpr int lateFactor = 3;

/// Duration of the longest chain of dependent steps, in milliseconds; finished steps count as 0 if `remainingOnly`.
double chainMs(const cell_state &state, const cell_job &job, bool remainingOnly)
{
    const double allowance = adviceAllowanceMs(job.accepted.policy);
    return longestChain(job.accepted.job.steps, [&](std::uint32_t step) {
        const bool over = remainingOnly && job.steps[step].done == job.steps[step].count;
        return over ? 0 : static_cast<double>(expectedDuration(state, job, step).count()) + allowance;
    });
}

} // namespace

milliseconds expectedDuration(const cell_state &state, const cell_job &job, std::uint32_t step)
{
    if (state.policy.durations == duration_source::Learned) {
        return predictDuration(job.history->runTimes, job.accepted.job.steps[step].estimate, job.steps[step].durations);
    }
    const auto estimate = static_cast<double>(job.accepted.job.steps[step].estimate.count());
    if (job.history->meanMs == 0) {
        return milliseconds(static_cast<std::int64_t>(estimate));
    }
    const double weight = state.policy.estimateWeight;
    return milliseconds(static_cast<std::int64_t>(weight * estimate + (1 - weight) * job.history->meanMs));
}

milliseconds objectiveOf(const cell_state &state, const cell_job &job)
{
    const double allowed = job.accepted.policy.stretch * chainMs(state, job, false);
    return milliseconds(static_cast<std::int64_t>(allowed)) + job.accepted.policy.targetLatency;
}

deadline_forecast forecastDeadline(const cell_state &state, const cell_job &job, utc_time now)
{
    const std::int64_t objective = objectiveOf(state, job).count();
    const auto remaining = static_cast<std::int64_t>(chainMs(state, job, true));
    deadline_forecast forecast;
    forecast.latestStart.value = job.accepted.acceptedAt.value + objective - remaining;
    if (forecast.latestStart.value >= now.value) {
        return forecast;
    }
    forecast.latestStart.value = job.accepted.acceptedAt.value + lateFactor * objective - remaining;
    forecast.prospect = forecast.latestStart.value >= now.value ? job_prospect::Late : job_prospect::Overdue;
    return forecast;
}

} // namespace sesamespar
