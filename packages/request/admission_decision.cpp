#include "request/admission_decision.h"

#include "request/job_chain.h"
#include "request/retry_spread.h"

#include <algorithm>
#include <cmath>

namespace sesamespar {

namespace {

/// Multiple of its objective up to which a late job still has a part of its value.
constexpr double lateFactor = 3;
/// Margin of a refusal where the ratio of durations to estimates is known. The wait is a lower bound already; the
/// margin covers jobs ahead that end up behind, because they become late or overdue. A wrong refusal costs a caller the
/// whole value of a job.
constexpr double knownMargin = 1.25;
/// Margin where it is unknown: estimates are off by factors of up to 1.9.
constexpr double unknownMargin = 2;
/// Additional factor of the margin for callers that return when told. In a long burst the backlog stays at the limit at
/// which others are refused; without it, those that return are refused again.
constexpr double returningFactor = 1.6;
/// Retry-After is sent in whole seconds. A refused caller is told to return in the next slot of its key that begins
/// when the backlog is done; the slots of a key recur with this period.
constexpr std::int64_t returnPeriodSeconds = 4;
constexpr milliseconds returnPeriod{returnPeriodSeconds * 1000};
constexpr milliseconds returnSlot{1000};
/// Time by which a caller may return after its slot: the transfer of the answer and the request, and the difference
/// between the clocks of two daemons.
constexpr milliseconds returnTolerance{250};
constexpr std::int64_t shortestRetryAfterSeconds = 1;
constexpr std::int64_t longestRetryAfterSeconds = 10;
constexpr double percent = 100;
constexpr double millicoresPerCore = 1000;

milliseconds rounded(double ms)
{
    return milliseconds(static_cast<std::int64_t>(ms));
}

/// Work of the job in core-milliseconds by the caller's estimates.
double estimatedWork(const stepped_job &job)
{
    double work = 0;
    for (const job_step &step : job.steps) {
        work += step.count * static_cast<double>(step.need.processors.value) / millicoresPerCore
            * static_cast<double>(step.estimate.count());
    }
    return work;
}

/// Part of a row that is placed before a job of that priority and work. Within its own size class the sizes are assumed
/// to be spread evenly.
double partAhead(const backlog_row &row, int priority, double work)
{
    if (row.priority != priority) {
        return row.priority < priority ? 1 : 0;
    }
    const unsigned own = sizeClassOf(work);
    if (row.sizeClass != own) {
        return row.sizeClass < own ? 1 : 0;
    }
    return std::clamp(work / std::exp2(own) - 1, 0.0, 1.0);
}

/// Adds up the work ahead of the job.
void sumBacklog(admission_decision &decision, const pool_backlog &pool, int priority)
{
    double inTime = 0;
    double late = 0;
    for (const backlog_row &row : pool.rows) {
        const double part = partAhead(row, priority, decision.work);
        inTime += part * static_cast<double>(row.inTime);
        late += part * static_cast<double>(row.late);
    }
    decision.inTimeAhead = static_cast<std::int64_t>(inTime);
    decision.lateAhead = static_cast<std::int64_t>(late);
    decision.processors = pool.processors;
}

/// True if a step can run on some workers only, for which the backlog of the pool says little.
bool needsSpecialWorkers(const stepped_job &job)
{
    return std::any_of(job.steps.begin(), job.steps.end(), [](const job_step &step) {
        return step.need.accelerator.value > 0 || !step.requiredLabel.empty();
    });
}

/// Time for the pool to do the work, less the age of the load.
double waitMs(std::int64_t work, const admission_decision &decision, milliseconds loadAge)
{
    const double cores = static_cast<double>(decision.processors.value) / millicoresPerCore;
    return std::max(static_cast<double>(work) / cores - static_cast<double>(loadAge.count()), 0.0);
}

/// Time since the latest slot of the key began.
milliseconds sinceReturnSlot(utc_time at, const job_key &key)
{
    const milliseconds offset = rounded(spreadOfKey(key) * static_cast<double>(returnPeriod.count()));
    return (milliseconds(at.value) + returnPeriod - offset) % returnPeriod;
}

bool isReturning(const accepted_job &job)
{
    return sinceReturnSlot(job.acceptedAt, job.key) < returnSlot + returnTolerance;
}

/// Returns the time from the arrival of the job to the first slot of its key after the wait, in whole seconds.
milliseconds loadRetryAfter(milliseconds wait, const accepted_job &job)
{
    const std::int64_t done = std::chrono::ceil<std::chrono::seconds>(wait).count();
    constexpr std::int64_t latest = longestRetryAfterSeconds - returnPeriodSeconds + 1;
    milliseconds delay = std::chrono::seconds(std::clamp(done, shortestRetryAfterSeconds, latest));
    while (sinceReturnSlot(utc_time(job.acceptedAt.value + delay.count()), job.key) >= returnSlot) {
        delay += returnSlot;
    }
    return delay;
}

} // namespace

admission_decision decideAdmission(const cell_load &load, milliseconds loadAge, const accepted_job &job)
{
    const queue_policy &policy = job.policy;
    admission_decision decision;
    const auto pool = load.pools.find(policy.service);
    if (loadAge > loadValidity || pool == load.pools.end() || pool->second.processors.value <= 0
        || needsSpecialWorkers(job.job)) {
        return decision;
    }
    const auto queue = load.queues.find(policy.queue);
    const bool known = queue != load.queues.end() && queue->second.durationPercent > 0;
    const double correction = known ? queue->second.durationPercent / percent : 1;
    const double chain = longestChain(job.job.steps, [&](std::uint32_t step) {
        return correction * static_cast<double>(job.job.steps[step].estimate.count()) + adviceAllowanceMs(policy);
    });
    const double objective = policy.stretch * chain + static_cast<double>(policy.targetLatency.count());
    decision.returning = isReturning(job);
    decision.margin = (known ? knownMargin : unknownMargin) * (decision.returning ? returningFactor : 1);
    decision.work = correction * estimatedWork(job.job);
    decision.chain = rounded(chain);
    decision.objective = rounded(objective);
    sumBacklog(decision, pool->second, policy.priority);
    const double inTimeWait = waitMs(decision.inTimeAhead, decision, loadAge);
    const double lateWait = waitMs(decision.inTimeAhead + decision.lateAhead, decision, loadAge);
    // A job that is started while it is in time does not wait for the late ones.
    const bool becomesLate = inTimeWait > decision.margin * std::max(objective - chain, 0.0);
    const double wait = becomesLate ? lateWait : inTimeWait;
    decision.wait = rounded(wait);
    decision.refused = becomesLate && wait + chain > decision.margin * lateFactor * objective;
    decision.retryAfter = decision.refused ? loadRetryAfter(decision.wait, job) : milliseconds(0);
    return decision;
}

} // namespace sesamespar
