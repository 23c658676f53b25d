#include "term/admission.h"

#include "term/scheduler_state.h"
#include "term/team_usage.h"
#include "term/usage_learning.h"
#include "term/wait_reason.h"

#include <algorithm>

namespace sesamespar {

namespace {

constexpr milliseconds minRetry{100};
constexpr milliseconds maxRetry{60000};
constexpr milliseconds defaultRetry{1000}; // Used until task starts give a drain rate.

admission_verdict refusePermanently(std::string reason)
{
    return {false, std::move(reason), milliseconds(0)};
}

// Tasks of that need that all workers together can run when they are empty.
std::int64_t tasksThatFitFleet(const scheduler &state, const resources &need)
{
    std::int64_t places = 0;
    for (const auto &[shape, count] : state.shapes) {
        const auto &[processors, memory, accelerator] = shape;
        const resources capacity{millicores(processors), mebibytes(memory), accelerators(accelerator)};
        places += count * tasksThatFit(capacity, need, state.settings->limits.slotsPerWorker);
    }
    return places;
}

// Reason why the job could not run even on an empty fleet, or an empty string.
std::string reasonNeverRunnable(const scheduler &state, const job_offer &job)
{
    const std::int64_t places = tasksThatFitFleet(state, job.need);
    if (places == 0) {
        return "no worker is large enough for one task: " + largestShortfall(state, job.need);
    }
    const std::int64_t tasksAtOnce = job.kind == work_kind::Gang ? job.tasks : 1;
    if (places < tasksAtOnce) {
        return "a gang of " + std::to_string(tasksAtOnce) + " tasks does not fit: the empty workers hold "
            + std::to_string(places);
    }
    const team_settings *team = findTeam(*state.settings, job.id.team);
    const resources totalNeed = job.need * tasksAtOnce;
    if (team != nullptr && team->quota && !fits(totalNeed, *team->quota)) {
        return "the job needs " + describe(totalNeed) + ", above the quota of team " + job.id.team.value + ": "
            + describe(*team->quota);
    }
    const kind_policy &policy = policyOf(*state.settings, job.kind);
    std::int64_t fleetProcessors = 0;
    for (const auto &[shape, count] : state.shapes) {
        fleetProcessors += std::get<0>(shape) * count;
    }
    if (totalNeed.processors.value > fleetProcessors * policy.capPercent / 100) {
        return "the job needs " + describe(totalNeed) + ", above the cap of " + std::string(workKindName(job.kind))
            + " work: " + std::to_string(policy.capPercent) + "% of the data centre's processors";
    }
    if (job.tasks > policy.queueLimit) {
        return "the job has " + std::to_string(job.tasks) + " tasks, above the queue limit of "
            + std::to_string(policy.queueLimit) + " for " + std::string(workKindName(job.kind)) + " work";
    }
    return {};
}

// Maximum number of waiting tasks of one kind for a team: its weighted share of the queue limit, or half of what other
// teams leave free if that is more, so that a single active team can use most of the queue but never fill it.
// `waiting` counts the waiting tasks of the other teams.
std::size_t teamQueueLimit(const scheduler &state, const team_id &team, const kind_policy &policy, std::size_t waiting)
{
    if (state.settings->teams.size() <= 1) {
        return policy.queueLimit;
    }
    std::uint64_t weights = 0;
    std::uint64_t own = 1;
    for (const team_settings &each : state.settings->teams) {
        weights += each.weight;
        own = each.name == team ? each.weight : own;
    }
    const std::uint64_t share = std::uint64_t(policy.queueLimit) * own / std::max<std::uint64_t>(1, weights);
    const std::size_t freePlaces = policy.queueLimit - std::min<std::size_t>(policy.queueLimit, waiting);
    return std::max<std::size_t>(share, freePlaces / 2);
}

milliseconds retryAfter(const kind_state &kind, std::size_t excess)
{
    if (kind.startsPerSecond < 0.01) {
        return defaultRetry;
    }
    const double ms = static_cast<double>(excess) / kind.startsPerSecond * 1000;
    return milliseconds(static_cast<std::int64_t>(
        std::clamp(ms, static_cast<double>(minRetry.count()), static_cast<double>(maxRetry.count()))));
}

} // namespace

admission_verdict decideAdmission(const scheduler &state, const job_offer &job)
{
    if (state.workers.empty()) {
        return {false, "no worker is known yet", defaultRetry};
    }
    std::string reason = reasonNeverRunnable(state, job);
    if (!reason.empty()) {
        return refusePermanently(std::move(reason));
    }
    const kind_policy &policy = policyOf(*state.settings, job.kind);
    const kind_state &kind = state.kinds.at(kindIndex(job.kind));
    const std::string name(workKindName(job.kind));
    if (kind.waiting + job.tasks > policy.queueLimit) {
        return {false,
                "the queue of " + name + " work is full: " + std::to_string(kind.waiting) + " of "
                    + std::to_string(policy.queueLimit) + " tasks wait",
                retryAfter(kind, kind.waiting + job.tasks - policy.queueLimit)};
    }
    const auto queue = state.queues.find({job.kind, job.id.team});
    const std::size_t own = queue == state.queues.end() ? 0 : queue->second.waiting;
    const std::size_t bound = teamQueueLimit(state, job.id.team, policy, kind.waiting - own);
    // A job that exceeds the limit by itself is admitted while its team has no waiting tasks; otherwise it could never
    // enter the queue.
    if (own > 0 && own + job.tasks > bound) {
        return {false,
                "team " + job.id.team.value + " has " + std::to_string(own) + " " + name
                    + " tasks waiting, its share of the queue is " + std::to_string(bound),
                retryAfter(kind, own + job.tasks - bound)};
    }
    return {true, {}, milliseconds(0)};
}

} // namespace sesamespar
