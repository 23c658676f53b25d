#include "term/preemption.h"

#include "term/scheduler_state.h"
#include "term/team_usage.h"

#include <algorithm>

namespace sesamespar {

namespace {

// Bounds the cost of one pass.
constexpr std::size_t maxExamined = 64;
constexpr std::size_t maxPreemptionsPerPass = 64;
constexpr milliseconds retryAfterNone{200};

struct victim_set {
    std::vector<held_task *> tasks;
    std::uint32_t preemptions = 0; ///< That the victims' jobs had so far.
};

int priorityOf(const scheduler &state, const job_state &job)
{
    return policyOf(*state.settings, job.offer.kind).priority;
}

bool isVictim(const scheduler &state, const held_task &task, int priority)
{
    const kind_policy &policy = policyOf(*state.settings, task.job->offer.kind);
    return task.onVictims.is_linked() && !task.preempting && !task.stopping && policy.priority < priority
        && task.job->offer.preemptions + task.job->preempting < policy.preemptionLimit
        && keepsGuarantee(state, task.job->offer.kind, task.reserved);
}

// What is asked of the victims on one worker.
struct room_wanted {
    resources need;
    int priority = 0;
    bool fromVictims = false; ///< Free capacity does not count, because it is guaranteed to other kinds.
};

// True if the need fits once the victims and the tasks that are already being preempted are gone, and the work that
// those make room for has come.
bool roomWithout(const worker_state &worker, const room_wanted &wanted, const std::vector<held_task *> &victims)
{
    resources left = worker.reserved + worker.promised;
    std::size_t tasks = worker.tasks + worker.promisedTasks - victims.size();
    for (const held_task &task : worker.running) {
        if (task.preempting) {
            left = left - task.reserved;
            --tasks;
        }
    }
    if (wanted.fromVictims) {
        left = worker.usable;
        tasks = worker.slots - std::min<std::size_t>(worker.slots, victims.size());
    }
    for (const held_task *victim : victims) {
        left = left - victim->reserved;
    }
    return tasks < worker.slots && fits(left + wanted.need, worker.usable);
}

// Victims on one worker, the least urgent and least often preempted first, without any that is not needed.
victim_set victimsOn(const scheduler &state, worker_state &worker, const room_wanted &wanted)
{
    std::vector<held_task *> candidates;
    for (held_task &task : worker.running) {
        if (isVictim(state, task, wanted.priority)) {
            candidates.push_back(&task);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&](const held_task *left, const held_task *right) {
        const auto rank = [&](const held_task &task) {
            return std::make_tuple(priorityOf(state, *task.job),
                                   task.job->offer.preemptions,
                                   -static_cast<std::int64_t>(task.placedOrder));
        };
        return rank(*left) < rank(*right);
    });
    victim_set chosen;
    for (held_task *candidate : candidates) {
        if (roomWithout(worker, wanted, chosen.tasks)) {
            break;
        }
        chosen.tasks.push_back(candidate);
    }
    if (!roomWithout(worker, wanted, chosen.tasks)) {
        return {};
    }
    for (std::size_t index = chosen.tasks.size(); index-- > 0;) {
        held_task *candidate = chosen.tasks.at(index);
        chosen.tasks.erase(chosen.tasks.begin() + static_cast<std::ptrdiff_t>(index));
        if (!roomWithout(worker, wanted, chosen.tasks)) {
            chosen.tasks.push_back(candidate);
        }
    }
    for (const held_task *victim : chosen.tasks) {
        chosen.preemptions += victim->job->offer.preemptions;
    }
    return chosen;
}

victim_set chooseVictims(scheduler &state, const room_wanted &wanted)
{
    victim_set best;
    std::size_t examined = 0;
    for (int level = 0; level < wanted.priority; ++level) {
        for (auto &tasks : state.victims.at(static_cast<std::size_t>(level))) {
            for (held_task &task : tasks) {
                if (++examined > maxExamined) {
                    return best;
                }
                if (!task.worker->placeable || !isVictim(state, task, wanted.priority)) {
                    continue;
                }
                victim_set found = victimsOn(state, *task.worker, wanted);
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

// Marks the victims of one task that waits in the lane.
void promise(scheduler &state, job_lane &lane, const victim_set &victims, schedule_result &result)
{
    ++lane.preempting;
    held_task &first = *victims.tasks.front();
    first.preemptedFor = &lane;
    first.promised = lane.need;
    first.worker->promised = first.worker->promised + lane.need;
    ++first.worker->promisedTasks;
    for (held_task *victim : victims.tasks) {
        victim->preempting = true;
        ++victim->job->preempting;
        kind_state &kind = state.kinds.at(kindIndex(victim->job->offer.kind));
        kind.preempting = kind.preempting + victim->reserved;
        ++kind.preemptingTasks;
        result.preemptions.push_back({{victim->job->offer.id, victim->index}, victim->worker->offer.name});
    }
}

// Takes back what promise() did.
void withdraw(scheduler &state, const victim_set &victims, schedule_result &result)
{
    for (held_task *victim : victims.tasks) {
        notePreempted(state, *victim);
        victim->preempting = false;
        victim->preemptedFor = nullptr;
        result.preemptions.pop_back();
    }
}

bool limitsLeaveRoom(const scheduler &state, const job_lane &lane)
{
    const std::int64_t tasks = lane.preempting + 1;
    const std::int64_t held = state.kinds.at(kindIndex(lane.queue->kind)).used.processors.value;
    return quotaCanHold(*lane.queue, lane.need, tasks)
        && capCanHold(state, lane.queue->kind, held + lane.need.processors.value * tasks);
}

} // namespace

void listVictim(scheduler &state, held_task &task)
{
    const kind_policy &policy = policyOf(*state.settings, task.job->offer.kind);
    if (task.onVictims.is_linked() || !policy.preemptible || !task.job->offer.repeatable
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
    const room_wanted wanted{lane.need, policyOf(*state.settings, lane.queue->kind).priority, request.fromVictims};
    std::vector<victim_set> chosen;
    while (lane.preempting < request.tasks && result.preemptions.size() < maxPreemptionsPerPass
           && limitsLeaveRoom(state, lane)) {
        victim_set victims = chooseVictims(state, wanted);
        if (victims.tasks.empty()) {
            lane.nextPreemption = request.now + retryAfterNone;
            break;
        }
        promise(state, lane, victims, result);
        chosen.push_back(std::move(victims));
    }
    while (request.allOrNone && lane.preempting < request.tasks && !chosen.empty()) {
        withdraw(state, chosen.back(), result);
        chosen.pop_back();
    }
}

void notePreempted(scheduler &state, held_task &task)
{
    if (task.preempting) {
        kind_state &kind = state.kinds.at(kindIndex(task.job->offer.kind));
        kind.preempting = kind.preempting - task.reserved;
        --kind.preemptingTasks;
        --task.job->preempting;
    }
    if (task.preemptedFor != nullptr) {
        --task.preemptedFor->preempting;
        --task.worker->promisedTasks;
        task.worker->promised = task.worker->promised - task.promised;
    }
}

} // namespace sesamespar
