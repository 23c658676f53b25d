#include "term/job_queue.h"

#include "term/scheduler_state.h"
#include "term/team_usage.h"
#include "term/usage_learning.h"

#include <algorithm>

namespace sesamespar {

namespace {

// Interval after which a blocked lane is retried, because a preemption may become possible without a release.
constexpr milliseconds blockedRetry{200};

lane_key keyOf(const job_offer &offer)
{
    return {offer.work,
            offer.need.processors.value,
            offer.need.memory.value,
            offer.need.accelerator.value,
            offer.kind == work_kind::Gang ? offer.tasks : 0};
}

// Scheduling order of blocked lanes: highest priority first, then the order of queues and of lanes within a queue.
using unblock_rank = std::tuple<int, std::int64_t, std::uint64_t, std::int64_t, std::int64_t>;

unblock_rank unblockRankOf(const scheduler &state, const job_lane &lane)
{
    const kind_policy &policy = policyOf(*state.settings, lane.queue->kind);
    const bool shortest = policy.order == queue_order::ShortestFirst;
    return {-policy.priority,
            weightedShare(state, *lane.queue),
            lane.queue->lastServed,
            shortest ? lane.runTime.count() : 0,
            lane.jobs.front().arrival};
}

bool mayFitNow(const scheduler &state, const job_lane &lane)
{
    if (lane.unblockedAtRelease == state.releases) {
        return false; // It was already tried, for example a gang that needs more than the released capacity.
    }
    const bool gang = lane.queue->kind == work_kind::Gang;
    const std::size_t tasks = gang ? lane.jobs.front().waiting.size() : 1;
    if (checkLimits(state, *lane.queue, lane.need, static_cast<std::int64_t>(tasks)) != block_reason::None) {
        return false;
    }
    return lane.blocked != block_reason::NoFit
        || std::any_of(state.freed.begin(), state.freed.end(), [&](const worker_state *worker) {
               return worker->index == &state.index && hasCapacityFor(*worker, lane.need);
           });
}

} // namespace

team_queue &queueOf(scheduler &state, const team_id &team, work_kind kind)
{
    const auto [entry, added] = state.queues.try_emplace({kind, team});
    team_queue &queue = entry->second;
    if (added) {
        queue.team = team;
        queue.kind = kind;
        queue.owner = &state.teams[team];
        applyTeamSettings(state, queue);
    }
    return queue;
}

void addToLane(scheduler &state, job_state &job)
{
    team_queue &queue = queueOf(state, job.offer.id.team, job.offer.kind);
    const auto [entry, added] = queue.lanes.try_emplace(keyOf(job.offer));
    job_lane &lane = entry->second;
    if (added) {
        lane.queue = &queue;
        lane.work = job.offer.work;
        lane.declared = job.offer.need;
        lane.runTime = job.offer.runTime;
        lane.need = learnedNeed(state, job.offer.id.team, lane.work, lane.declared);
    }
    job.lane = &lane;
    if (job.offer.preemptions > 0 || job.waiting.size() < job.offer.tasks) {
        lane.jobs.push_front(job);
    } else {
        lane.jobs.push_back(job);
    }
    updateLaneOrder(state, lane);
}

void adjustWaiting(scheduler &state, job_state &job, std::int64_t tasks)
{
    // Adding a negative count to an unsigned counter wraps around to the correct value.
    const auto change = static_cast<std::size_t>(tasks);
    kind_state &kind = state.kinds.at(kindIndex(job.offer.kind));
    kind.waiting += change;
    job.lane->waiting += change;
    job.lane->queue->waiting += change;
    job.lane->queue->waitingNeed = job.lane->queue->waitingNeed + job.offer.need * tasks;
}

void removeFromLane(scheduler &state, job_state &job)
{
    if (job.lane == nullptr) {
        return;
    }
    job_lane &lane = *job.lane;
    job.laneHook.unlink();
    job.lane = nullptr;
    if (lane.blocked != block_reason::None && lane.jobs.empty()) {
        lane.blocked = block_reason::None;
        lane.blockedHook.unlink();
    }
    updateLaneOrder(state, lane);
}

void updateLaneOrder(scheduler &state, job_lane &lane)
{
    if (lane.queueHook.is_linked()) {
        lane.queueHook.unlink();
    }
    if (!lane.jobs.empty() && lane.blocked == block_reason::None) {
        const bool shortest = policyOf(*state.settings, lane.queue->kind).order == queue_order::ShortestFirst;
        lane.rank = {shortest ? lane.runTime.count() : 0, lane.jobs.front().arrival};
        lane.queue->ready.insert(lane);
    }
    updateQueueOrder(state, *lane.queue);
}

void updateQueueOrder(scheduler &state, team_queue &queue)
{
    if (queue.classHook.is_linked()) {
        queue.classHook.unlink();
    }
    if (!queue.ready.empty()) {
        queue.share = {weightedShare(state, queue), queue.lastServed};
        const int priority = policyOf(*state.settings, queue.kind).priority;
        state.classes.at(static_cast<std::size_t>(priority)).insert(queue);
    }
}

void blockLane(scheduler &state, job_lane &lane, block_reason reason, time_point now)
{
    lane.blocked = reason;
    lane.retryAt = now + blockedRetry;
    state.blocked.push_back(lane);
    updateLaneOrder(state, lane);
}

void unblockLane(scheduler &state, job_lane &lane)
{
    if (lane.blocked != block_reason::None) {
        lane.blocked = block_reason::None;
        lane.blockedHook.unlink();
        updateLaneOrder(state, lane);
    }
}

void markFreed(scheduler &state, worker_state &worker)
{
    state.released = true;
    ++state.releases;
    if (!worker.freed) {
        worker.freed = true;
        state.freed.push_back(&worker);
    }
}

void unblockBestLane(scheduler &state)
{
    if (!state.released) {
        return;
    }
    job_lane *best = nullptr;
    unblock_rank bestRank;
    for (job_lane &lane : state.blocked) {
        if (!mayFitNow(state, lane)) {
            continue;
        }
        const unblock_rank rank = unblockRankOf(state, lane);
        if (best == nullptr || rank < bestRank) {
            best = &lane;
            bestRank = rank;
        }
    }
    if (best != nullptr) {
        best->unblockedAtRelease = state.releases;
        unblockLane(state, *best);
        return;
    }
    state.released = false;
    for (worker_state *worker : state.freed) {
        worker->freed = false;
    }
    state.freed.clear();
}

void unblockAll(scheduler &state)
{
    while (!state.blocked.empty()) {
        unblockLane(state, state.blocked.front());
    }
}

} // namespace sesamespar
