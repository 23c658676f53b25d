#include "term/team_usage.h"

#include "term/scheduler_state.h"

#include <algorithm>
#include <cmath>

namespace sesamespar {

namespace {

constexpr std::int64_t billion = 1000000000;
// Time constant of the decay; demand that has ended stops reserving capacity after about a minute.
constexpr double demandDecaySeconds = 30;
// Time constant of the moving average of the start rate.
constexpr double rateSeconds = 5;

std::int64_t shareOf(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<std::int64_t>(static_cast<double>(part) / static_cast<double>(whole) * billion) : 0;
}

std::int64_t percentOf(const scheduler &state, int percent)
{
    return state.capacity.processors.value * percent / 100;
}

dimension_amounts toDimensions(const resources &amount, std::size_t tasks)
{
    return {amount.processors.value, amount.memory.value, static_cast<std::int64_t>(tasks)};
}

dimension_amounts totalOf(const scheduler &state)
{
    return toDimensions(state.capacity, state.slots);
}

// Need of the waiting tasks of a queue, scaled down to what the quota of its team still allows.
dimension_amounts servableDemand(const team_queue &queue)
{
    dimension_amounts wait = toDimensions(queue.waitingNeed, queue.waiting);
    const std::int64_t processors = queue.waitingNeed.processors.value;
    if (!queue.owner->quota || processors <= 0) {
        return wait;
    }
    const std::int64_t available = queue.owner->quota->processors.value - queue.owner->used.processors.value;
    const double share =
        static_cast<double>(std::clamp<std::int64_t>(available, 0, processors)) / static_cast<double>(processors);
    for (std::int64_t &amount : wait) {
        amount = static_cast<std::int64_t>(static_cast<double>(amount) * share);
    }
    return wait;
}

dimension_amounts currentDemand(const scheduler &state, work_kind name)
{
    const kind_state &kind = state.kinds.at(kindIndex(name));
    dimension_amounts sum = toDimensions(kind.used, kind.tasks);
    for (auto entry = state.queues.lower_bound({name, team_id()});
         entry != state.queues.end() && entry->first.first == name;
         ++entry) {
        const dimension_amounts wait = servableDemand(entry->second);
        for (std::size_t index = 0; index < sum.size(); ++index) {
            sum.at(index) += wait.at(index);
        }
    }
    return sum;
}

double largestShare(const dimension_amounts &part, const dimension_amounts &whole)
{
    double share = 0;
    for (std::size_t index = 0; index < part.size(); ++index) {
        if (whole.at(index) > 0) {
            share = std::max(share, static_cast<double>(part.at(index)) / static_cast<double>(whole.at(index)));
        }
    }
    return share;
}

// Capacity that must stay free for the guarantees of all other kinds. A guarantee is met when the kind has its share of
// any one dimension: work that has used up its memory could not use the remaining processors.
dimension_amounts guaranteedToOthers(const scheduler &state, work_kind kind)
{
    const dimension_amounts total = totalOf(state);
    dimension_amounts sum{};
    for (const work_kind other : allWorkKinds) {
        const int percent = policyOf(*state.settings, other).guaranteedPercent;
        if (other == kind || percent == 0) {
            continue;
        }
        const kind_state &use = state.kinds.at(kindIndex(other));
        const dimension_amounts used = toDimensions(use.used, use.tasks);
        const double open = static_cast<double>(percent) / 100 - largestShare(used, total);
        for (std::size_t index = 0; index < sum.size() && open > 0; ++index) {
            const auto available = static_cast<std::int64_t>(open * static_cast<double>(total.at(index)));
            sum.at(index) += std::max<std::int64_t>(0, std::min(available, use.demand.at(index) - used.at(index)));
        }
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

void addUsage(scheduler &state, team_queue &queue, const resources &amount)
{
    queue.used = queue.used + amount;
    queue.owner->used = queue.owner->used + amount;
    kind_state &kind = state.kinds.at(kindIndex(queue.kind));
    kind.used = kind.used + amount;
    if (queue.classHook.is_linked()) {
        updateQueueOrder(state, queue);
    }
}

void updateDemand(scheduler &state, time_point now)
{
    const double passed = std::max(0.0, std::chrono::duration<double>(now - state.ratesUpdatedAt).count());
    const double decay = std::exp(-passed / demandDecaySeconds);
    for (const work_kind name : allWorkKinds) {
        kind_state &kind = state.kinds.at(kindIndex(name));
        const dimension_amounts current = currentDemand(state, name);
        for (std::size_t index = 0; index < current.size(); ++index) {
            std::int64_t &demand = kind.demand.at(index);
            demand = static_cast<std::int64_t>(static_cast<double>(demand) * decay);
            // A remainder below 1% of the fleet could keep capacity for a whole task idle, so it is dropped.
            demand = std::max(current.at(index), demand * 100 < totalOf(state).at(index) ? 0 : demand);
        }
        if (passed > 0) {
            const double weight = 1 - std::exp(-passed / rateSeconds);
            const double rate = static_cast<double>(kind.started) / passed;
            kind.startsPerSecond += (rate - kind.startsPerSecond) * weight;
            kind.started = 0;
        }
    }
    state.ratesUpdatedAt = std::max(state.ratesUpdatedAt, now);
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
    const dimension_amounts guaranteedElsewhere = guaranteedToOthers(state, queue.kind);
    const dimension_amounts total = totalOf(state);
    const dimension_amounts taken = toDimensions(state.reserved, state.slotsTaken);
    const dimension_amounts required = toDimensions(more, static_cast<std::size_t>(tasks));
    block_reason reason = block_reason::None;
    for (std::size_t index = 0; index < guaranteedElsewhere.size(); ++index) {
        const std::int64_t free = total.at(index) - taken.at(index);
        if (required.at(index) > free) {
            return block_reason::NoFit;
        }
        if (required.at(index) > free - guaranteedElsewhere.at(index)) {
            reason = block_reason::Guarantee;
        }
    }
    return reason;
}

bool keepsGuarantee(const scheduler &state, work_kind kind, const resources &less)
{
    const kind_state &use = state.kinds.at(kindIndex(kind));
    const std::size_t tasks = use.tasks - std::min(use.tasks, use.preemptingTasks + 1);
    const double share = largestShare(toDimensions(use.used - use.preempting - less, tasks), totalOf(state));
    return share * 100 >= policyOf(*state.settings, kind).guaranteedPercent;
}

bool quotaCanHold(const team_queue &queue, const resources &need, std::int64_t tasks)
{
    return !queue.owner->quota || fits(queue.owner->used + need * tasks, *queue.owner->quota);
}

bool capCanHold(const scheduler &state, work_kind kind, std::int64_t processors)
{
    // Without a cap, work that exceeds the size of the fleet does not fit (NoFit), rather than exceeding a limit (Cap).
    const int percent = policyOf(*state.settings, kind).capPercent;
    return percent >= 100 || processors <= percentOf(state, percent);
}

} // namespace sesamespar
