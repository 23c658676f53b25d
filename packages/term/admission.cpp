#include "term/admission.h"

#include "term/scheduler_state.h"
#include "term/team_usage.h"
#include "term/usage_learning.h"
#include "term/wait_reason.h"

#include <algorithm>

namespace sesamespar {

namespace {

constexpr milliseconds shortestRetry{100};
constexpr milliseconds longestRetry{60000};
constexpr milliseconds unknownRetry{1000}; // No start was seen yet that a drain rate could be computed from.

admission_verdict refuseForGood(std::string reason)
{
    return {false, std::move(reason), milliseconds(0)};
}

std::int64_t placesInFleet(const scheduler &state, const resources &need)
{
    std::int64_t places = 0;
    for (const auto &[shape, count] : state.shapes) {
        const auto &[processors, memory, accelerator] = shape;
        const resources capacity{millicores(processors), mebibytes(memory), accelerators(accelerator)};
        places += count * placesIn(capacity, need, state.settings->limits.slotsPerWorker);
    }
    return places;
}

std::string impossible(const scheduler &state, const job_offer &job)
{
    const std::int64_t places = placesInFleet(state, job.need);
    if (places == 0) {
        return "no worker is large enough for one task: " + largestShortfall(state, job.need);
    }
    const std::int64_t together = job.kind == work_kind::Gang ? job.tasks : 1;
    if (places < together) {
        return "a gang of " + std::to_string(together) + " tasks does not fit: the empty workers hold "
            + std::to_string(places);
    }
    const team_settings *team = findTeam(*state.settings, job.id.team);
    const resources all = job.need * together;
    if (team != nullptr && team->quota && !fits(all, *team->quota)) {
        return "the job needs " + describe(all) + ", above the quota of team " + job.id.team.value + ": "
            + describe(*team->quota);
    }
    const kind_policy &policy = policyOf(*state.settings, job.kind);
    std::int64_t fleetProcessors = 0;
    for (const auto &[shape, count] : state.shapes) {
        fleetProcessors += std::get<0>(shape) * count;
    }
    if (all.processors.value > fleetProcessors * policy.capPercent / 100) {
        return "the job needs " + describe(all) + ", above the cap of " + std::string(workKindName(job.kind))
            + " work: " + std::to_string(policy.capPercent) + "% of the data centre's processors";
    }
    if (job.tasks > policy.queueLimit) {
        return "the job has " + std::to_string(job.tasks) + " tasks, above the queue limit of "
            + std::to_string(policy.queueLimit) + " for " + std::string(workKindName(job.kind)) + " work";
    }
    return {};
}

// Tasks of one kind that a team may have waiting: its weighted share of the queue, or half of the room that others
// left, whichever is more, so that a lone team can use the queue but never fill it.
std::size_t teamBound(const scheduler &state, const team_id &team, const kind_policy &policy, std::size_t waiting)
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
    const std::size_t room = policy.queueLimit - std::min<std::size_t>(policy.queueLimit, waiting);
    return std::max<std::size_t>(share, room / 2);
}

milliseconds retryAfter(const kind_state &kind, std::size_t excess)
{
    if (kind.startsPerSecond < 0.01) {
        return unknownRetry;
    }
    const double ms = static_cast<double>(excess) / kind.startsPerSecond * 1000;
    return milliseconds(static_cast<std::int64_t>(
        std::clamp(ms, static_cast<double>(shortestRetry.count()), static_cast<double>(longestRetry.count()))));
}

} // namespace

admission_verdict decideAdmission(const scheduler &state, const job_offer &job)
{
    if (state.workers.empty()) {
        return {false, "no worker is known yet", unknownRetry};
    }
    std::string reason = impossible(state, job);
    if (!reason.empty()) {
        return refuseForGood(std::move(reason));
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
    const std::size_t bound = teamBound(state, job.id.team, policy, kind.waiting - own);
    // A job that alone is above the bound may enter while its team has nothing waiting, or it never could.
    if (own > 0 && own + job.tasks > bound) {
        return {false,
                "team " + job.id.team.value + " has " + std::to_string(own) + " " + name
                    + " tasks waiting, its share of the queue is " + std::to_string(bound),
                retryAfter(kind, own + job.tasks - bound)};
    }
    return {true, {}, milliseconds(0)};
}

} // namespace sesamespar
