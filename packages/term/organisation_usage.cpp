#include "term/organisation_usage.h"

#include "base/log.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Time for which the numbers of submitted jobs are kept. Jobs reach the leader up to some seconds after their
/// acceptance, and those of a predecessor in the order of their keys.
constexpr std::int64_t keptSeconds = 60;

constexpr std::int64_t msPerSecond = 1000;

/// Tasks that fit into what a component of a limit has left.
std::int64_t fitsComponent(std::int64_t limit, std::int64_t used, std::int64_t need, std::int64_t wanted)
{
    if (limit == 0 || need <= 0) {
        return wanted;
    }
    return std::clamp<std::int64_t>((limit - used) / need, 0, wanted);
}

std::int64_t fitsLimit(const resources &limit, const resources &used, const resources &need, std::int64_t wanted)
{
    return std::min({fitsComponent(limit.processors.value, used.processors.value, need.processors.value, wanted),
                     fitsComponent(limit.memory.value, used.memory.value, need.memory.value, wanted),
                     fitsComponent(limit.accelerator.value, used.accelerator.value, need.accelerator.value, wanted)});
}

} // namespace

void applyOrganisations(cell_state &state, const cell_configuration &configuration)
{
    for (auto &[name, usage] : state.organisations) {
        usage.declared = false;
        usage.weight = 0;
        usage.limit = {};
    }
    for (const organisation_declaration &declared : configuration.organisations) {
        organisation_usage &usage = state.organisations[declared.name];
        usage.declared = true;
        usage.weight = declared.weight;
        usage.limit = declared.limit;
        log_event("organisation")
            .with("name", declared.name)
            .with("version", configuration.version)
            .with("weight", declared.weight)
            .with("limit_millicores", declared.limit.processors)
            .with("limit_mib", declared.limit.memory)
            .with("reserved_millicores", usage.reserved.processors);
    }
}

void assignOrganisation(cell_state &state, cell_job &job)
{
    if (job.accepted.organisation.value.empty()) {
        return;
    }
    organisation_usage &usage = state.organisations[job.accepted.organisation];
    job.organisation = &usage;
    const std::int64_t second = job.accepted.acceptedAt.value / msPerSecond;
    const std::uint32_t submitted = ++usage.submitted[second];
    usage.submitted.erase(usage.submitted.begin(),
                          usage.submitted.lower_bound(usage.submitted.rbegin()->first - keptSeconds));
    job.surplus = usage.weight > 0 && static_cast<double>(submitted) > usage.weight;
}

void reserveUse(const cell_job &job, const resources &need)
{
    if (job.organisation != nullptr) {
        job.organisation->reserved = job.organisation->reserved + need;
    }
}

void releaseUse(const cell_job &job, const resources &need)
{
    if (job.organisation != nullptr) {
        job.organisation->reserved = job.organisation->reserved - need;
    }
}

void updateShares(cell_state &state, const resources &total)
{
    if (state.organisations.empty()) {
        return;
    }
    for (auto &[name, usage] : state.organisations) {
        usage.kept = {};
        usage.active = usage.reserved.processors.value > 0;
    }
    for (const cell_job &job : state.waiting) {
        if (job.organisation != nullptr) {
            job.organisation->active = true;
        }
    }
    double weights = 0;
    for (const auto &[name, usage] : state.organisations) {
        weights += usage.active ? usage.weight : 0;
    }
    for (auto &[name, usage] : state.organisations) {
        const double share = weights > 0 ? usage.weight / weights : 0;
        usage.aboveShare = usage.declared
            && static_cast<double>(usage.reserved.processors.value)
                > share * static_cast<double>(total.processors.value);
    }
}

std::int64_t tasksWithinLimit(const cell_job &job, const resources &need, std::int64_t wanted)
{
    if (job.organisation == nullptr) {
        return wanted;
    }
    const organisation_usage &usage = *job.organisation;
    return fitsLimit(usage.limit, usage.reserved + usage.kept, need, wanted);
}

void keepLimit(const cell_job &job, const resources &need)
{
    if (job.organisation != nullptr) {
        job.organisation->kept = job.organisation->kept + need;
    }
}

} // namespace sesamespar
