#include "term/organisation_usage.h"

#include "base/log.h"
#include "version/organisation_check.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace sesamespar {

namespace {

/// Number of seconds for which the numbers of accepted jobs are kept, an estimated 30 kB an organisation. Jobs reach
/// the leader up to some seconds after their acceptance, and the backlog of a predecessor after minutes. Seconds are
/// dropped by their number and not by their age, so that a single job with a time in the future does not displace all
/// others.
constexpr std::size_t keptSeconds = 600;

constexpr std::int64_t msPerSecond = 1000;
/// Time over which an organisation may use its weight unevenly. Jobs arrive at random: over single seconds, one in 25
/// of the jobs of an organisation at two fifths of its weight was surplus.
constexpr std::int64_t surplusWindowSeconds = 5;

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

/// Part of a limit that one task needs at least for its step to be favoured. Smaller tasks find room whenever a few
/// others end.
constexpr std::int64_t favouredTaskPart = 4;

/// What a step needs of the limit to start: all tasks of a gang, otherwise one task.
resources needToStart(const job_step &step)
{
    return step.gang ? step.need * static_cast<std::int64_t>(step.count) : step.need;
}

/// True if the step waits for the limit for as long as it is expected to run. With an objective of twice the duration,
/// it can then still be in time. Steps with less remaining work, which are ahead of it, otherwise use up every part of
/// the limit that becomes free. Surplus waits behind all others in any case.
bool isFavoured(const cell_job &job, std::uint32_t number, time_point uptime)
{
    const cell_step &step = job.steps[number];
    const job_step &declared = job.accepted.job.steps[number];
    const resources &limit = job.organisation->limit;
    return !job.surplus && step.limitedSince && step.done + step.placed < step.count && !isFinal(job.progress.phase)
        && uptime >= *step.limitedSince + declared.estimate
        && (declared.gang || exceedsLimit(limit, declared.need, favouredTaskPart))
        && !exceedsLimit(limit, declared.need, declared.gang ? declared.count : 1);
}

/// Selects the step of the job that has waited longest for the limit, if it has waited longer than that of the
/// organisation's earlier jobs.
void considerFavoured(const cell_job &job, time_point uptime)
{
    organisation_usage &usage = *job.organisation;
    for (std::uint32_t number = 0; number < job.steps.size(); ++number) {
        const cell_step &step = job.steps[number];
        if (isFavoured(job, number, uptime)
            && (usage.favoured == nullptr || *step.limitedSince < *usage.favoured->limitedSince)) {
            usage.favoured = &step;
            usage.favouredNeed = needToStart(job.accepted.job.steps[number]);
        }
    }
}

/// Ends the count of runs of an earlier term whose jobs were final already, once their leases have expired. As long as
/// a worker reports runs that this term did not place there, its polls extend their leases, and they may be these.
void updateUnended(const cell_state &state, organisation_usage &usage, time_point uptime)
{
    if (usage.unended == resources()) {
        return;
    }
    for (const cell_worker *worker : state.slots) {
        if (worker != nullptr && worker->orphanRuns > 0 && worker->missedPolls == 0) {
            usage.unendedUntil = std::max(usage.unendedUntil, worker->leasesEndBy);
        }
    }
    if (uptime >= usage.unendedUntil) {
        usage.unended = {};
    }
}

/// Determines whether the job is beyond the weight of its organisation: in the window that ends with its second, as
/// many jobs within the weight as it allows were accepted before. With a weight below 1, one job a second is within it.
bool isSurplus(const organisation_usage &usage, std::int64_t second)
{
    if (usage.weight <= 0) {
        return false;
    }
    std::uint32_t before = 0;
    for (auto entry = usage.submitted.upper_bound(second - surplusWindowSeconds);
         entry != usage.submitted.end() && entry->first <= second;
         ++entry) {
        before += entry->second;
    }
    return before >= std::max(usage.weight, 1.0) * static_cast<double>(surplusWindowSeconds);
}

/// Counts a job among those of its second, unless it is surplus.
void countSubmission(cell_job &job)
{
    organisation_usage &usage = *job.organisation;
    const std::int64_t second = job.accepted.acceptedAt.value / msPerSecond;
    job.surplus = isSurplus(usage, second);
    if (job.surplus) {
        return;
    }
    ++usage.submitted[second];
    if (usage.submitted.size() > keptSeconds) {
        usage.submitted.erase(usage.submitted.begin());
    }
}

/// Removes the organisations that are neither declared nor have jobs, so that names that come and go use no memory.
void removeUnused(cell_state &state)
{
    std::set<const organisation_usage *> used;
    for (const auto &[key, job] : state.jobs) {
        used.insert(job->organisation);
    }
    // A final job may stay in this list until the next pass.
    for (const cell_job &job : state.waiting) {
        used.insert(job.organisation);
    }
    std::erase_if(state.organisations, [&used](const auto &entry) {
        return !entry.second.declared && !used.contains(&entry.second) && entry.second.unended == resources();
    });
}

} // namespace

void applyOrganisations(cell_state &state, const cell_configuration &configuration)
{
    std::map<organisation_id, double> weights;
    for (auto &[name, usage] : state.organisations) {
        weights[name] = usage.weight;
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
    removeUnused(state);
    const bool reweighted = std::any_of(state.organisations.begin(), state.organisations.end(), [&](const auto &entry) {
        return weights[entry.first] != entry.second.weight;
    });
    if (reweighted) {
        rankSubmissions(state);
    }
}

void assignOrganisation(cell_state &state, cell_job &job)
{
    if (job.accepted.organisation.value.empty()) {
        return;
    }
    job.organisation = &state.organisations[job.accepted.organisation];
    countSubmission(job);
}

void rankSubmissions(cell_state &state)
{
    std::vector<cell_job *> jobs;
    for (const auto &[key, job] : state.jobs) {
        if (job->organisation != nullptr) {
            job->organisation->submitted.clear();
            jobs.push_back(job.get());
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const cell_job *left, const cell_job *right) {
        return std::tie(left->accepted.acceptedAt, left->accepted.key)
            < std::tie(right->accepted.acceptedAt, right->accepted.key);
    });
    for (cell_job *job : jobs) {
        countSubmission(*job);
    }
}

void reserveUse(const cell_job &job, const resources &need)
{
    if (job.organisation != nullptr) {
        job.organisation->reserved = job.organisation->reserved + need;
    }
}

void holdUnended(cell_state &state, const organisation_id &organisation, const resources &need, time_point until)
{
    organisation_usage &usage = state.organisations[organisation];
    usage.unended = usage.unended + need;
    usage.unendedUntil = std::max(usage.unendedUntil, until);
}

void releaseUse(const cell_job &job, const resources &need)
{
    if (job.organisation != nullptr) {
        job.organisation->reserved = job.organisation->reserved - need;
    }
}

void updateShares(cell_state &state, const resources &total, time_point uptime)
{
    if (state.organisations.empty()) {
        return;
    }
    for (auto &[name, usage] : state.organisations) {
        updateUnended(state, usage, uptime);
        usage.kept = {};
        usage.favoured = nullptr;
        usage.favouredNeed = {};
        usage.active = usage.reserved.processors.value > 0;
    }
    for (const cell_job &job : state.waiting) {
        if (job.organisation != nullptr) {
            job.organisation->active = true;
            considerFavoured(job, uptime);
        }
    }
    double weights = 0;
    bool shared = false;
    for (const auto &[name, usage] : state.organisations) {
        weights += usage.active ? usage.weight : 0;
        shared = shared || usage.declared;
    }
    for (auto &[name, usage] : state.organisations) {
        const double share = weights > 0 ? usage.weight / weights : 0;
        usage.aboveShare = shared
            && static_cast<double>(usage.reserved.processors.value)
                > share * static_cast<double>(total.processors.value);
    }
}

std::int64_t tasksWithinLimit(const cell_job &job, std::uint32_t step, std::int64_t wanted)
{
    if (job.organisation == nullptr) {
        return wanted;
    }
    const organisation_usage &usage = *job.organisation;
    const resources kept = usage.favoured == &job.steps[step] ? resources() : usage.kept + usage.favouredNeed;
    return fitsLimit(usage.limit, usage.reserved + usage.unended + kept, job.accepted.job.steps[step].need, wanted);
}

void keepLimit(const cell_job &job, std::uint32_t step)
{
    if (job.organisation == nullptr || job.organisation->favoured == &job.steps[step]) {
        return;
    }
    const job_step &declared = job.accepted.job.steps[step];
    if (!exceedsLimit(job.organisation->limit, declared.need, declared.count)) {
        job.organisation->kept = job.organisation->kept + needToStart(declared);
    }
}

void beginLimitWait(const cell_job &job, cell_step &step, time_point uptime)
{
    if (job.organisation != nullptr) {
        step.limited = true;
        step.limitedSince = step.limitedSince.value_or(uptime);
    }
}

void endLimitWait(cell_step &step)
{
    step.limited = false;
    step.limitedSince.reset();
}

} // namespace sesamespar
