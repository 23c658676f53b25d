#include "term/objective.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Callers value a job at a fraction up to this many times its objective.
constexpr int lateFactor = 3;
/// The objective allows one call to the advisor for each step of the chain, asking about this many workers.
constexpr int adviceWorkers = 30;

double chainMs(const cell_state &state, const cell_job &job, bool remainingOnly)
{
    std::vector<double> ends(job.steps.size(), 0);
    double longest = 0;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        double start = 0;
        for (const std::uint32_t earlier : job.accepted.job.steps[step].after) {
            start = std::max(start, ends[earlier]);
        }
        const bool over = remainingOnly && job.steps[step].done == job.steps[step].count;
        double length = over ? 0 : static_cast<double>(expectedDuration(state, job, step).count());
        if (!over && job.accepted.policy.advice) {
            const advice_timing &advice = *job.accepted.policy.advice;
            length += advice.decide.count() + adviceWorkers * advice.perWorker.count();
        }
        ends[step] = start + length;
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

} // namespace

milliseconds expectedDuration(const cell_state &state, const cell_job &job, std::uint32_t step)
{
    const auto estimate = static_cast<double>(job.accepted.job.steps[step].estimate.count());
    const auto history = state.history.find(job.accepted.policy.queue);
    if (history == state.history.end() || history->second.meanMs == 0) {
        return milliseconds(static_cast<std::int64_t>(estimate));
    }
    const double weight = state.policy.estimateWeight;
    return milliseconds(static_cast<std::int64_t>(weight * estimate + (1 - weight) * history->second.meanMs));
}

milliseconds objectiveOf(const cell_state &state, const cell_job &job)
{
    const double allowed = job.accepted.policy.stretch * chainMs(state, job, false);
    return milliseconds(static_cast<std::int64_t>(allowed)) + job.accepted.policy.targetLatency;
}

job_outlook outlookOf(const cell_state &state, const cell_job &job, utc_time now)
{
    const std::int64_t objective = objectiveOf(state, job).count();
    const auto remaining = static_cast<std::int64_t>(chainMs(state, job, true));
    job_outlook outlook;
    outlook.latestStart.value = job.accepted.acceptedAt.value + objective - remaining;
    if (outlook.latestStart.value >= now.value) {
        return outlook;
    }
    outlook.latestStart.value = job.accepted.acceptedAt.value + lateFactor * objective - remaining;
    outlook.prospect = outlook.latestStart.value >= now.value ? job_prospect::Late : job_prospect::Overdue;
    return outlook;
}

} // namespace sesamespar
