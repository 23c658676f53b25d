#include "term/preemption.h"

#include "term/scheduler_state.h"
#include "term/team_usage.h"

#include <algorithm>

namespace sesamespar {

namespace {

// Limits on the cost of one scheduling pass.
constexpr std::size_t maxExamined = 64;
constexpr std::size_t maxPreemptionsPerPass = 64;
constexpr milliseconds retryAfterNoVictims{200};

struct victim_set {
    std::vector<scheduled_task *> tasks;
    std::uint32_t preemptions = 0; ///< Sum over the jobs of the victims.
};

int priorityOf(const scheduler &state, const job_state &job)
{
    return policyOf(*state.settings, job.offer.kind).priority;
}

bool canPreempt(const scheduler &state, const scheduled_task &task, int priority)
{
    const kind_policy &policy = policyOf(*state.settings, task.job->offer.kind);
    return task.victimHook.is_linked() && !task.preempting && !task.stopping && policy.priority < priority
        && task.job->offer.preemptions + task.job->preempting < policy.preemptionLimit
        && keepsGuarantee(state, task.job->offer.kind, task.reserved);
}

// Capacity that preemption on one worker has to free.
struct required_capacity {
    resources need;
    int priority = 0;
    bool fromVictims = false; ///< Ignore free capacity, because it is guaranteed to other kinds.
};

// True if the need fits on the worker after the victims and the tasks that are already being preempted have ended and
// the tasks for which those are preempted have started.
bool fitsWithout(const worker_state &worker,
                 const required_capacity &required,
                 const std::vector<scheduled_task *> &victims)
{
    resources remaining = worker.reserved + worker.claimed;
    std::size_t tasks = worker.tasks + worker.claimedTasks - victims.size();
    for (const scheduled_task &task : worker.running) {
        if (task.preempting) {
            remaining = remaining - task.reserved;
            --tasks;
        }
    }
    if (required.fromVictims) {
        remaining = worker.usable;
        tasks = worker.slots - std::min<std::size_t>(worker.slots, victims.size());
    }
    for (const scheduled_task *victim : victims) {
        remaining = remaining - victim->reserved;
    }
    return tasks < worker.slots && fits(remaining + required.need, worker.usable);
}

// Returns a minimal set of victims on one worker, preferring low priority, then few preemptions, then late placement;
// empty if no set frees enough capacity.
victim_set victimsOn(const scheduler &state, worker_state &worker, const required_capacity &required)
{
    std::vector<scheduled_task *> candidates;
    for (scheduled_task &task : worker.running) {
        if (canPreempt(state, task, required.priority)) {
            candidates.push_back(&task);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&](const scheduled_task *left, const scheduled_task *right) {
        const auto rank = [&](const scheduled_task &task) {
            return std::make_tuple(priorityOf(state, *task.job),
                                   task.job->offer.preemptions,
                                   -static_cast<std::int64_t>(task.placementOrder));
        };
        return rank(*left) < rank(*right);
    });
    victim_set chosen;
    for (scheduled_task *candidate : candidates) {
        if (fitsWithout(worker, required, chosen.tasks)) {
            break;
        }
        chosen.tasks.push_back(candidate);
    }
    if (!fitsWithout(worker, required, chosen.tasks)) {
        return {};
    }
    for (std::size_t index = chosen.tasks.size(); index-- > 0;) {
        scheduled_task *candidate = chosen.tasks.at(index);
        chosen.tasks.erase(chosen.tasks.begin() + static_cast<std::ptrdiff_t>(index));
        if (!fitsWithout(worker, required, chosen.tasks)) {
            chosen.tasks.push_back(candidate);
        }
    }
    for (const scheduled_task *victim : chosen.tasks) {
        chosen.preemptions += victim->job->offer.preemptions;
    }
    return chosen;
}

// Returns the smallest victim set among the candidates examined; of equal ones, the least often preempted.
victim_set chooseVictims(scheduler &state, const required_capacity &required)
{
    victim_set best;
    std::size_t examined = 0;
    for (int level = 0; level < required.priority; ++level) {
        for (auto &tasks : state.victims.at(static_cast<std::size_t>(level))) {
            for (scheduled_task &task : tasks) {
                if (++examined > maxExamined) {
                    return best;
                }
                if (!task.worker->placeable || !canPreempt(state, task, required.priority)) {
                    continue;
                }
                victim_set found = victimsOn(state, *task.worker, required);
                const bool better = best.tasks.empty()
                    || std::make_pair(found.tasks.size(), found.preemptions)
                        < std::make_pair(best.tasks.size(), best.preemptions);
                if (!found.tasks.empty() && better) {
                    best = std::move(found);
                }
            }
        }
    }
    return best;
}

// Marks the victims of one waiting task of the lane and adds them to the result.
void startPreemption(scheduler &state, job_lane &lane, const victim_set &victims, schedule_result &result)
{
    ++lane.preempting;
    scheduled_task &first = *victims.tasks.front();
    first.preemptedFor = &lane;
    first.claimed = lane.need;
    first.worker->claimed = first.worker->claimed + lane.need;
    ++first.worker->claimedTasks;
    for (scheduled_task *victim : victims.tasks) {
        victim->preempting = true;
        ++victim->job->preempting;
        kind_state &kind = state.kinds.at(kindIndex(victim->job->offer.kind));
        kind.preempting = kind.preempting + victim->reserved;
        ++kind.preemptingTasks;
        result.preemptions.push_back({{victim->job->offer.id, victim->index}, victim->worker->offer.name});
    }
}

// Reverts startPreemption().
void revertPreemption(scheduler &state, const victim_set &victims, schedule_result &result)
{
    for (scheduled_task *victim : victims.tasks) {
        clearPreemption(state, *victim);
        victim->preempting = false;
        victim->preemptedFor = nullptr;
        result.preemptions.pop_back();
    }
}

bool limitsAllowPreemption(const scheduler &state, const job_lane &lane)
{
    const std::int64_t tasks = lane.preempting + 1;
    const std::int64_t usedProcessors = state.kinds.at(kindIndex(lane.queue->kind)).used.processors.value;
    return quotaCanHold(*lane.queue, lane.need, tasks)
        && capCanHold(state, lane.queue->kind, usedProcessors + lane.need.processors.value * tasks);
}

} // namespace

void listVictim(scheduler &state, scheduled_task &task)
{
    const kind_policy &policy = policyOf(*state.settings, task.job->offer.kind);
    if (task.victimHook.is_linked() || !policy.preemptible || !task.job->offer.repeatable
        || task.job->offer.kind == work_kind::Gang || task.job->offer.preemptions >= policy.preemptionLimit) {
        return;
    }
    auto &levels = state.victims.at(static_cast<std::size_t>(policy.priority));
    const std::size_t level = std::min<std::size_t>(task.job->offer.preemptions, levels.size() - 1);
    levels.at(level).push_front(task);
    task.victimPriority = static_cast<std::size_t>(policy.priority);
    task.victimLevel = level;
}

void preemptFor(scheduler &state, job_lane &lane, const preemption_request &request, schedule_result &result)
{
    if (request.now < lane.nextPreemption) {
        return;
    }
    const required_capacity required{
        lane.need, policyOf(*state.settings, lane.queue->kind).priority, request.fromVictims};
    std::vector<victim_set> chosen;
    while (lane.preempting < request.tasks && result.preemptions.size() < maxPreemptionsPerPass
           && limitsAllowPreemption(state, lane)) {
        victim_set victims = chooseVictims(state, required);
        if (victims.tasks.empty()) {
            lane.nextPreemption = request.now + retryAfterNoVictims;
            break;
        }
        startPreemption(state, lane, victims, result);
        chosen.push_back(std::move(victims));
    }
    while (request.allOrNone && lane.preempting < request.tasks && !chosen.empty()) {
        revertPreemption(state, chosen.back(), result);
        chosen.pop_back();
    }
}

void clearPreemption(scheduler &state, scheduled_task &task)
{
    if (task.preempting) {
        kind_state &kind = state.kinds.at(kindIndex(task.job->offer.kind));
        kind.preempting = kind.preempting - task.reserved;
        --kind.preemptingTasks;
        --task.job->preempting;
    }
    if (task.preemptedFor != nullptr) {
        --task.preemptedFor->preempting;
        --task.worker->claimedTasks;
        task.worker->claimed = task.worker->claimed - task.claimed;
    }
}

} // namespace sesamespar
