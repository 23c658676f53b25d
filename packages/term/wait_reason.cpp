#include "term/wait_reason.h"

#include "term/scheduler_state.h"
#include "term/team_usage.h"

#include <algorithm>

namespace sesamespar {

namespace {

// Formats millicores as cores, with up to three decimals and without trailing zeros.
std::string cores(millicores amount)
{
    std::string text = std::to_string(amount.value / 1000);
    if (amount.value % 1000 != 0) {
        std::string fraction = std::to_string(1000 + amount.value % 1000).substr(1);
        fraction.erase(fraction.find_last_not_of('0') + 1);
        text += "." + fraction;
    }
    return text;
}

std::string coresNeeded(millicores amount)
{
    return cores(amount) + (amount.value == 1000 ? " core" : " cores");
}

std::string acceleratorsNeeded(accelerators amount)
{
    return std::to_string(amount.value) + (amount.value == 1 ? " accelerator" : " accelerators");
}

std::string describeQuotaUse(const team_state &team, const resources &need)
{
    const resources all = team.used + need;
    const resources &quota = *team.quota;
    if (all.processors > quota.processors) {
        return "team quota used up: " + cores(team.used.processors) + " of " + cores(quota.processors) + " cores";
    }
    if (all.memory > quota.memory) {
        return "team quota used up: " + std::to_string(team.used.memory.value) + " of "
            + std::to_string(quota.memory.value) + " MiB";
    }
    return "team quota used up: " + std::to_string(team.used.accelerator.value) + " of "
        + std::to_string(quota.accelerator.value) + " accelerators";
}

// Describes the part of the need that no worker has free, or that no worker has free together with the other parts.
std::string missingCapacity(const scheduler &state, const resources &need)
{
    resources most;
    bool slot = false;
    bool fitsReserved = false;
    for (const auto &[name, worker] : state.workers) {
        if (!worker.placeable) {
            continue;
        }
        const resources free = freeResources(worker);
        most = {std::max(most.processors, free.processors),
                std::max(most.memory, free.memory),
                std::max(most.accelerator, free.accelerator)};
        slot = slot || worker.tasks < worker.slots;
        fitsReserved = fitsReserved || (worker.reservedForStarved && hasCapacityFor(worker, need));
    }
    if (state.placeableWorkers == 0) {
        return "no worker accepts tasks at present";
    }
    if (need.accelerator > most.accelerator) {
        return "no worker has " + std::to_string(need.accelerator.value)
            + (need.accelerator.value == 1 ? " free accelerator" : " free accelerators");
    }
    if (need.processors > most.processors) {
        return "no worker has " + coresNeeded(need.processors) + " free";
    }
    if (need.memory > most.memory) {
        return "no worker has " + std::to_string(need.memory.value) + " MiB of memory free";
    }
    if (!slot) {
        return "no worker has a free slot";
    }
    return fitsReserved ? "the workers with enough free capacity are reserved for a job that has waited longer"
                        : "no worker has " + describe(need) + " free together with a slot";
}

std::string describeReason(const scheduler &state, const job_state &job, block_reason reason, std::int64_t tasks)
{
    const job_lane &lane = *job.lane;
    const std::string kind(workKindName(job.offer.kind));
    switch (reason) {
    case block_reason::Quota:
        return describeQuotaUse(*lane.queue->owner, lane.need * tasks);
    case block_reason::Cap:
        return kind + " work holds its cap of " + std::to_string(policyOf(*state.settings, job.offer.kind).capPercent)
            + "% of the processors";
    case block_reason::Guarantee:
        return "the remaining capacity is guaranteed to other kinds of work";
    case block_reason::NoFit:
        if (tasks > 1) {
            return "the workers do not have enough free capacity for all " + std::to_string(tasks)
                + " tasks of the gang at once";
        }
        return missingCapacity(state, lane.need);
    case block_reason::None:
        break;
    }
    return "other work goes first";
}

} // namespace

std::string describe(const resources &amount)
{
    std::string text = coresNeeded(amount.processors);
    if (amount.memory.value > 0) {
        text += ", " + std::to_string(amount.memory.value) + " MiB";
    }
    if (amount.accelerator.value > 0) {
        text += ", " + acceleratorsNeeded(amount.accelerator);
    }
    return text;
}

std::string largestShortfall(const scheduler &state, const resources &need)
{
    resources most;
    for (const auto &[shape, count] : state.shapes) {
        const auto &[processors, memory, accelerator] = shape;
        most = {std::max(most.processors, millicores(processors)),
                std::max(most.memory, mebibytes(memory)),
                std::max(most.accelerator, accelerators(accelerator))};
    }
    const std::string mostOnOneWorker = ", the most a worker holds is ";
    if (need.accelerator > most.accelerator) {
        return "it needs " + acceleratorsNeeded(need.accelerator) + mostOnOneWorker
            + std::to_string(most.accelerator.value);
    }
    if (need.processors > most.processors) {
        return "it needs " + coresNeeded(need.processors) + mostOnOneWorker + cores(most.processors);
    }
    if (need.memory > most.memory) {
        return "it needs " + std::to_string(need.memory.value) + " MiB" + mostOnOneWorker
            + std::to_string(most.memory.value) + " MiB";
    }
    return "it needs " + describe(need) + " together";
}

std::string describeWait(const scheduler &state, const job_id &id)
{
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end() || found->second.waiting.empty()) {
        return {};
    }
    const job_state &job = found->second;
    const std::int64_t tasks = job.offer.kind == work_kind::Gang ? static_cast<std::int64_t>(job.waiting.size()) : 1;
    block_reason reason = checkLimits(state, *job.lane->queue, job.lane->need, tasks);
    if (reason == block_reason::None) {
        reason = job.lane->blocked;
    }
    return describeReason(state, job, reason, tasks);
}

} // namespace sesamespar
