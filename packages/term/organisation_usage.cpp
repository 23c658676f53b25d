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

/// Determines whether the job is beyond the weight of its organisation: at least as many jobs as the weight were
/// accepted before it in the same second. With a weight below 1, one job a second is within it.
void updateSurplus(cell_job &job)
{
    const double weight = job.organisation->weight;
    job.surplus = weight > 0 && static_cast<double>(job.acceptedBefore) >= weight;
}

/// Counts a job among those of its second.
void countSubmission(cell_job &job)
{
    std::map<std::int64_t, std::uint32_t> &submitted = job.organisation->submitted;
    job.acceptedBefore = submitted[job.accepted.acceptedAt.value / msPerSecond]++;
    if (submitted.size() > keptSeconds) {
        submitted.erase(submitted.begin());
    }
    updateSurplus(job);
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
    removeUnused(state);
    for (const auto &[key, job] : state.jobs) {
        if (job->organisation != nullptr) {
            updateSurplus(*job);
        }
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
