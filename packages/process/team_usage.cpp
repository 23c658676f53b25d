#include "process/team_usage.h"

#include "process/scheduler_state.h"

#include <algorithm>
#include <cmath>

namespace sesamespar {

namespace {

constexpr std::int64_t billion = 1000000000;
// Demand that ended no longer holds capacity back after about a minute.
constexpr double demandDecaySeconds = 30;
// The rate of starts follows its average over about this time.
constexpr double rateSeconds = 5;

std::int64_t shareOf(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<std::int64_t>(static_cast<double>(part) / static_cast<double>(whole) * billion) : 0;
}

std::int64_t percentOf(const scheduler &state, int percent)
{
    return state.capacity.processors.value * percent / 100;
}

// Millicores of waiting tasks that the quotas of their teams leave room for.
std::int64_t servableWait(const scheduler &state, work_kind kind)
{
    std::int64_t sum = 0;
    for (auto entry = state.queues.lower_bound({kind, team_id()});
         entry != state.queues.end() && entry->first.first == kind;
         ++entry) {
        const team_queue &queue = entry->second;
        std::int64_t waiting = queue.waitingProcessors;
        if (queue.owner->quota) {
            const resources room = *queue.owner->quota - queue.owner->used;
            waiting = std::clamp<std::int64_t>(waiting, 0, std::max<std::int64_t>(0, room.processors.value));
        }
        sum += waiting;
    }
    return sum;
}

} // namespace

void applyTeamSettings(scheduler &state, team_queue &queue)
{
    const team_settings *settings = findTeam(*state.settings, queue.team);
    queue.weight = settings != nullptr ? std::max<std::uint32_t>(1, settings->weight) : 1;
    queue.owner->quota = settings != nullptr ? settings->quota : std::nullopt;
}

std::int64_t weightedShare(const scheduler &state, const team_queue &queue)
{
    return std::max({shareOf(queue.used.processors.value, state.capacity.processors.value),
                     shareOf(queue.used.memory.value, state.capacity.memory.value),
                     shareOf(queue.used.accelerator.value, state.capacity.accelerator.value)})
        / queue.weight;
}

void countUse(scheduler &state, team_queue &queue, const resources &amount)
{
    queue.used = queue.used + amount;
    queue.owner->used = queue.owner->used + amount;
    kind_state &kind = state.kinds.at(kindIndex(queue.kind));
    kind.used = kind.used + amount;
    if (queue.inClass.is_linked()) {
        relinkQueue(state, queue);
    }
}

void updateDemand(scheduler &state, time_point now)
{
    const double passed = std::max(0.0, std::chrono::duration<double>(now - state.ratesAt).count());
    const double kept = std::exp(-passed / demandDecaySeconds);
    for (const work_kind name : allWorkKinds) {
        kind_state &kind = state.kinds.at(kindIndex(name));
        const std::int64_t current = kind.used.processors.value + servableWait(state, name);
        const auto recent = static_cast<std::int64_t>(static_cast<double>(kind.demand) * kept);
        // A remainder of a few millicores would keep the place of a whole task idle.
        kind.demand = std::max(current, recent * 100 < state.capacity.processors.value ? 0 : recent);
        if (passed > 0) {
            const double weight = 1 - std::exp(-passed / rateSeconds);
            const double rate = static_cast<double>(kind.started) / passed;
            kind.startsPerSecond += (rate - kind.startsPerSecond) * weight;
            kind.started = 0;
        }
    }
    state.ratesAt = std::max(state.ratesAt, now);
}

std::int64_t keptForOthers(const scheduler &state, work_kind kind)
{
    std::int64_t sum = 0;
    for (const work_kind other : allWorkKinds) {
        if (other == kind) {
            continue;
        }
        const kind_state &use = state.kinds.at(kindIndex(other));
        const std::int64_t guaranteed = percentOf(state, policyOf(*state.settings, other).guaranteedPercent);
        sum += std::max<std::int64_t>(0, std::min(guaranteed, use.demand) - use.used.processors.value);
    }
    return sum;
}

block_reason checkLimits(const scheduler &state, const team_queue &queue, const resources &need, std::int64_t tasks)
{
    const resources more = need * tasks;
    if (!quotaCanHold(queue, need, tasks)) {
        return block_reason::Quota;
    }
    const kind_state &kind = state.kinds.at(kindIndex(queue.kind));
    if (!capCanHold(state, queue.kind, kind.used.processors.value + more.processors.value)) {
        return block_reason::Cap;
    }
    const std::int64_t free = state.capacity.processors.value - state.reserved.processors.value;
    if (more.processors.value > free) {
        return block_reason::NoFit;
    }
    if (more.processors.value > free - keptForOthers(state, queue.kind)) {
        return block_reason::Guarantee;
    }
    return block_reason::None;
}

bool quotaCanHold(const team_queue &queue, const resources &need, std::int64_t tasks)
{
    return !queue.owner->quota || fits(queue.owner->used + need * tasks, *queue.owner->quota);
}

bool capCanHold(const scheduler &state, work_kind kind, std::int64_t processors)
{
    // Without a cap, the fleet's size is the limit, and what exceeds it lacks room rather than allowance.
    const int percent = policyOf(*state.settings, kind).capPercent;
    return percent >= 100 || processors <= percentOf(state, percent);
}

} // namespace sesamespar
