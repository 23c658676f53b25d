#include "process/scheduler.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <unordered_map>

namespace sesamespar {

namespace {

struct worker_entry {
    worker_offer offer;
    resources usable;
    resources reserved;
    std::uint32_t tasks = 0;
};

struct job_entry {
    job_offer offer;
    std::uint64_t arrival = 0;
    std::set<task_index> waiting;
    std::map<task_index, worker_id> placed;
};

} // namespace

struct scheduler {
    configuration_ptr settings;
    std::map<worker_id, worker_entry> workers;
    std::map<job_id, job_entry> jobs;
    std::map<team_id, resources> teamUse;
    std::array<resources, allWorkKinds.size()> kindUse;
    std::array<std::size_t, allWorkKinds.size()> waitingOfKind{};
    std::uint64_t arrivals = 0;
};

namespace {

resources usableCapacity(const configuration &settings, const resources &capacity)
{
    return {millicores(capacity.processors.value * settings.limits.processorPercent / 100),
            mebibytes(capacity.memory.value * settings.limits.memoryPercent / 100),
            capacity.accelerator};
}

resources placeableCapacity(const scheduler &state)
{
    resources sum;
    for (const auto &[name, worker] : state.workers) {
        if (worker.offer.placeable) {
            sum = sum + worker.usable;
        }
    }
    return sum;
}

bool quotaAllows(const scheduler &state, const team_id &team, const resources &more)
{
    const team_settings *settings = findTeam(*state.settings, team);
    if (settings == nullptr || !settings->quota) {
        return true;
    }
    const auto use = state.teamUse.find(team);
    return fits(more + (use == state.teamUse.end() ? resources() : use->second), *settings->quota);
}

bool capAllows(const scheduler &state, work_kind kind, const resources &more)
{
    const auto cap = placeableCapacity(state).processors.value * policyOf(*state.settings, kind).capPercent / 100;
    return state.kindUse.at(kindIndex(kind)).processors.value + more.processors.value <= cap;
}

void reserve(scheduler &state, job_entry &job, task_index index, worker_entry &worker)
{
    worker.reserved = worker.reserved + job.offer.need;
    ++worker.tasks;
    resources &teamUse = state.teamUse[job.offer.id.team];
    teamUse = teamUse + job.offer.need;
    resources &kindUse = state.kindUse.at(kindIndex(job.offer.kind));
    kindUse = kindUse + job.offer.need;
    job.placed[index] = worker.offer.name;
}

void eraseIfEmpty(scheduler &state, const job_id &id)
{
    const auto job = state.jobs.find(id);
    if (job != state.jobs.end() && job->second.waiting.empty() && job->second.placed.empty()) {
        state.jobs.erase(job);
    }
}

std::uint32_t tasksOnRack(const scheduler &state, const job_entry &job, const rack_id &rack)
{
    std::uint32_t count = 0;
    for (const auto &[index, name] : job.placed) {
        const auto worker = state.workers.find(name);
        count += worker != state.workers.end() && worker->second.offer.rack == rack ? 1 : 0;
    }
    return count;
}

worker_entry *chooseWorker(scheduler &state, const job_entry &job)
{
    const placement_rule rule = policyOf(*state.settings, job.offer.kind).placement;
    worker_entry *best = nullptr;
    std::array<std::int64_t, 3> bestRank{};
    for (auto &[name, worker] : state.workers) {
        if (!worker.offer.placeable || worker.tasks >= state.settings->limits.slotsPerWorker
            || !fits(job.offer.need, worker.usable - worker.reserved)) {
            continue;
        }
        if (rule == placement_rule::FirstFit) {
            return &worker;
        }
        const resources left = worker.usable - worker.reserved;
        const std::int64_t spare = job.offer.need.accelerator.value > 0 ? 0 : worker.usable.accelerator.value;
        const std::int64_t onRack = rule == placement_rule::Spread ? tasksOnRack(state, job, worker.offer.rack) : 0;
        const std::array<std::int64_t, 3> rank{
            spare, onRack, rule == placement_rule::Spread ? worker.tasks : left.processors.value};
        if (best == nullptr || rank < bestRank) {
            best = &worker;
            bestRank = rank;
        }
    }
    return best;
}

bool placeOne(scheduler &state, job_entry &job, task_index index, schedule_result &result)
{
    if (!quotaAllows(state, job.offer.id.team, job.offer.need) || !capAllows(state, job.offer.kind, job.offer.need)) {
        return false;
    }
    worker_entry *worker = chooseWorker(state, job);
    if (worker == nullptr) {
        return false;
    }
    reserve(state, job, index, *worker);
    job.waiting.erase(index);
    --state.waitingOfKind.at(kindIndex(job.offer.kind));
    result.placements.push_back({{job.offer.id, index}, worker->offer.name});
    return true;
}

void placeJob(scheduler &state, job_entry &job, std::size_t limit, schedule_result &result)
{
    const bool gang = job.offer.kind == work_kind::Gang;
    if (gang && result.placements.size() + job.waiting.size() > limit && !result.placements.empty()) {
        return;
    }
    const std::size_t before = result.placements.size();
    while (!job.waiting.empty() && (gang || result.placements.size() < limit)) {
        if (placeOne(state, job, *job.waiting.begin(), result)) {
            continue;
        }
        while (gang && result.placements.size() > before) {
            const task_key task = result.placements.back().task;
            result.placements.pop_back();
            releaseTask(state, task);
            job.waiting.insert(task.index);
            ++state.waitingOfKind.at(kindIndex(job.offer.kind));
        }
        return;
    }
}

} // namespace

void scheduler_deleter::operator()(scheduler *state) const
{
    delete state;
}

scheduler_ptr makeScheduler(configuration_ptr settings)
{
    CHECK(settings != nullptr);
    scheduler_ptr state(new scheduler);
    state->settings = std::move(settings);
    return state;
}

void applyConfiguration(scheduler &state, configuration_ptr settings)
{
    CHECK(settings != nullptr);
    state.settings = std::move(settings);
    for (auto &[name, worker] : state.workers) {
        worker.usable = usableCapacity(*state.settings, worker.offer.capacity);
    }
}

void putWorker(scheduler &state, const worker_offer &offer)
{
    worker_entry &worker = state.workers[offer.name];
    worker.offer = offer;
    worker.usable = usableCapacity(*state.settings, offer.capacity);
}

void removeWorker(scheduler &state, const worker_id &name)
{
    const auto worker = state.workers.find(name);
    if (worker != state.workers.end()) {
        CHECK_EQ(worker->second.tasks, 0U) << "worker " << name << " is removed with tasks on it";
        state.workers.erase(worker);
    }
}

admission_verdict admit(const scheduler &state, const job_offer &job)
{
    const bool fitsSomewhere = std::any_of(state.workers.begin(), state.workers.end(), [&](const auto &entry) {
        return fits(job.need, entry.second.usable);
    });
    if (!fitsSomewhere) {
        return {false, "one task needs more than any worker holds", milliseconds(0)};
    }
    const team_settings *team = findTeam(*state.settings, job.id.team);
    const std::int64_t together = job.kind == work_kind::Gang ? job.tasks : 1;
    if (team != nullptr && team->quota && !fits(job.need * together, *team->quota)) {
        return {false, "the job needs more than the quota of team " + job.id.team.value, milliseconds(0)};
    }
    if (state.waitingOfKind.at(kindIndex(job.kind)) + job.tasks > policyOf(*state.settings, job.kind).queueLimit) {
        return {false, "the queue of " + std::string(workKindName(job.kind)) + " work is full", milliseconds(1000)};
    }
    return {true, {}, milliseconds(0)};
}

void enqueue(scheduler &state, const job_offer &job, const std::vector<task_index> &waiting, time_point)
{
    auto [entry, added] = state.jobs.try_emplace(job.id);
    if (added) {
        entry->second.arrival = ++state.arrivals;
        entry->second.offer = job;
    }
    entry->second.offer.preemptions = job.preemptions;
    for (const task_index index : waiting) {
        if (!entry->second.placed.contains(index) && entry->second.waiting.insert(index).second) {
            ++state.waitingOfKind.at(kindIndex(job.kind));
        }
    }
    eraseIfEmpty(state, job.id);
}

void dequeue(scheduler &state, const job_id &job)
{
    const auto entry = state.jobs.find(job);
    if (entry != state.jobs.end()) {
        state.waitingOfKind.at(kindIndex(entry->second.offer.kind)) -= entry->second.waiting.size();
        entry->second.waiting.clear();
        eraseIfEmpty(state, job);
    }
}

schedule_result schedule(scheduler &state, time_point, std::size_t limit)
{
    std::vector<job_entry *> order;
    for (auto &[id, job] : state.jobs) {
        if (!job.waiting.empty()) {
            order.push_back(&job);
        }
    }
    std::sort(order.begin(), order.end(), [&](const job_entry *left, const job_entry *right) {
        const int leftPriority = policyOf(*state.settings, left->offer.kind).priority;
        const int rightPriority = policyOf(*state.settings, right->offer.kind).priority;
        return leftPriority != rightPriority ? leftPriority > rightPriority : left->arrival < right->arrival;
    });
    schedule_result result;
    for (job_entry *job : order) {
        if (result.placements.size() >= limit) {
            break;
        }
        placeJob(state, *job, limit, result);
    }
    return result;
}

void adoptTask(scheduler &state, const job_offer &job, task_index index, const worker_id &worker)
{
    const auto target = state.workers.find(worker);
    CHECK(target != state.workers.end()) << "task of " << job.id << " adopted on unknown worker " << worker;
    auto [entry, added] = state.jobs.try_emplace(job.id);
    if (added) {
        entry->second.arrival = ++state.arrivals;
        entry->second.offer = job;
    }
    if (entry->second.placed.contains(index)) {
        return;
    }
    if (entry->second.waiting.erase(index) > 0) {
        --state.waitingOfKind.at(kindIndex(job.kind));
    }
    reserve(state, entry->second, index, target->second);
}

void releaseTask(scheduler &state, const task_key &task)
{
    const auto job = state.jobs.find(task.job);
    if (job == state.jobs.end()) {
        return;
    }
    const auto placed = job->second.placed.find(task.index);
    if (placed == job->second.placed.end()) {
        return;
    }
    worker_entry &worker = state.workers.at(placed->second);
    const resources &need = job->second.offer.need;
    worker.reserved = worker.reserved - need;
    --worker.tasks;
    resources &teamUse = state.teamUse[task.job.team];
    teamUse = teamUse - need;
    resources &kindUse = state.kindUse.at(kindIndex(job->second.offer.kind));
    kindUse = kindUse - need;
    job->second.placed.erase(placed);
    eraseIfEmpty(state, task.job);
}

bool noteOutcome(scheduler &, const work_id &, const worker_id &, bool, time_point)
{
    return false;
}

std::vector<overuse_action> noteUsage(scheduler &, const std::vector<usage_sample> &)
{
    return {};
}

std::string explainWait(const scheduler &state, const job_id &job)
{
    const auto entry = state.jobs.find(job);
    if (entry == state.jobs.end() || entry->second.waiting.empty()) {
        return {};
    }
    const job_offer &offer = entry->second.offer;
    if (!quotaAllows(state, offer.id.team, offer.need)) {
        return "the quota of team " + offer.id.team.value + " is used up";
    }
    if (!capAllows(state, offer.kind, offer.need)) {
        return std::string(workKindName(offer.kind)) + " work holds its cap of the data centre";
    }
    return "no worker has enough free capacity";
}

scheduler_summary summarize(const scheduler &state)
{
    scheduler_summary summary;
    summary.workers = state.workers.size();
    summary.capacity = placeableCapacity(state);
    for (const auto &[name, worker] : state.workers) {
        summary.placeableWorkers += worker.offer.placeable ? 1 : 0;
        summary.placedTasks += worker.tasks;
        summary.reserved = summary.reserved + worker.reserved;
    }
    for (const std::size_t waiting : state.waitingOfKind) {
        summary.waitingTasks += waiting;
    }
    return summary;
}

} // namespace sesamespar
