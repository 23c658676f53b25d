#include "term/team_usage.h"

#include "term/scheduler_state.h"

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

guarded_amount guarded(const resources &amount, std::size_t tasks)
{
    return {amount.processors.value, amount.memory.value, static_cast<std::int64_t>(tasks)};
}

guarded_amount totalOf(const scheduler &state)
{
    return guarded(state.capacity, state.slots);
}

// What the waiting tasks of a queue need, as far as the quota of its team leaves room.
guarded_amount servableWait(const team_queue &queue)
{
    guarded_amount wait = guarded(queue.waitingNeed, queue.waiting);
    const std::int64_t processors = queue.waitingNeed.processors.value;
    if (!queue.owner->quota || processors <= 0) {
        return wait;
    }
    const std::int64_t room = queue.owner->quota->processors.value - queue.owner->used.processors.value;
    const double share =
        static_cast<double>(std::clamp<std::int64_t>(room, 0, processors)) / static_cast<double>(processors);
    for (std::int64_t &amount : wait) {
        amount = static_cast<std::int64_t>(static_cast<double>(amount) * share);
    }
    return wait;
}

guarded_amount currentDemand(const scheduler &state, work_kind name)
{
    const kind_state &kind = state.kinds.at(kindIndex(name));
    guarded_amount sum = guarded(kind.used, kind.tasks);
    for (auto entry = state.queues.lower_bound({name, team_id()});
         entry != state.queues.end() && entry->first.first == name;
         ++entry) {
        const guarded_amount wait = servableWait(entry->second);
        for (std::size_t index = 0; index < sum.size(); ++index) {
            sum.at(index) += wait.at(index);
        }
    }
    return sum;
}

double largestShare(const guarded_amount &part, const guarded_amount &whole)
{
    double share = 0;
    for (std::size_t index = 0; index < part.size(); ++index) {
        if (whole.at(index) > 0) {
            share = std::max(share, static_cast<double>(part.at(index)) / static_cast<double>(whole.at(index)));
        }
    }
    return share;
}

// What must stay free for the guarantees of all kinds but one. A kind has its guarantee when it holds that share of
// one dimension; work that takes all the memory it may have cannot use the processors beside it.
guarded_amount keptForOthers(const scheduler &state, work_kind kind)
{
    const guarded_amount total = totalOf(state);
    guarded_amount sum{};
    for (const work_kind other : allWorkKinds) {
        const int percent = policyOf(*state.settings, other).guaranteedPercent;
        if (other == kind || percent == 0) {
            continue;
        }
        const kind_state &use = state.kinds.at(kindIndex(other));
        const guarded_amount used = guarded(use.used, use.tasks);
        const double open = static_cast<double>(percent) / 100 - largestShare(used, total);
        for (std::size_t index = 0; index < sum.size() && open > 0; ++index) {
            const auto room = static_cast<std::int64_t>(open * static_cast<double>(total.at(index)));
            sum.at(index) += std::max<std::int64_t>(0, std::min(room, use.demand.at(index) - used.at(index)));
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
        const guarded_amount current = currentDemand(state, name);
        for (std::size_t index = 0; index < current.size(); ++index) {
            std::int64_t &demand = kind.demand.at(index);
            demand = static_cast<std::int64_t>(static_cast<double>(demand) * kept);
            // A small remainder would keep the place of a whole task idle.
            demand = std::max(current.at(index), demand * 100 < totalOf(state).at(index) ? 0 : demand);
        }
        if (passed > 0) {
            const double weight = 1 - std::exp(-passed / rateSeconds);
            const double rate = static_cast<double>(kind.started) / passed;
            kind.startsPerSecond += (rate - kind.startsPerSecond) * weight;
            kind.started = 0;
        }
    }
    state.ratesAt = std::max(state.ratesAt, now);
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
    const guarded_amount kept = keptForOthers(state, queue.kind);
    const guarded_amount total = totalOf(state);
    const guarded_amount taken = guarded(state.reserved, state.slotsTaken);
    const guarded_amount wanted = guarded(more, static_cast<std::size_t>(tasks));
    block_reason reason = block_reason::None;
    for (std::size_t index = 0; index < kept.size(); ++index) {
        const std::int64_t free = total.at(index) - taken.at(index);
        if (wanted.at(index) > free) {
            return block_reason::NoFit;
        }
        if (wanted.at(index) > free - kept.at(index)) {
            reason = block_reason::Guarantee;
        }
    }
    return reason;
}

bool keepsGuarantee(const scheduler &state, work_kind kind, const resources &less)
{
    const kind_state &use = state.kinds.at(kindIndex(kind));
    const std::size_t tasks = use.tasks - std::min(use.tasks, use.preemptingTasks + 1);
    const double share = largestShare(guarded(use.used - use.preempting - less, tasks), totalOf(state));
    return share * 100 >= policyOf(*state.settings, kind).guaranteedPercent;
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
