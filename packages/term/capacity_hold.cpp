#include "term/capacity_hold.h"

#include "term/scheduler_state.h"

#include <algorithm>

namespace sesamespar {

namespace {

// Time without progress after which capacity is kept. A gang needs several workers at once, so it starts earlier.
constexpr milliseconds holdGangAfter{5000};
constexpr milliseconds holdTaskAfter{10000};
constexpr milliseconds strictAfter{30000};
// Choosing the workers looks at the whole fleet, so it is not done in each pass.
constexpr milliseconds holdRetry{100};

job_state *starvedJob(scheduler &state, time_point now)
{
    job_state *starved = nullptr;
    time_point longest;
    for (job_lane &lane : state.blocked) {
        if (lane.blocked != block_reason::NoFit && lane.blocked != block_reason::Guarantee) {
            continue;
        }
        job_state &job = lane.jobs.front();
        const time_point since = std::max(job.since, lane.progressAt);
        const milliseconds bound = job.offer.kind == work_kind::Gang ? holdGangAfter : holdTaskAfter;
        if (now - since >= bound && (starved == nullptr || since < longest)) {
            starved = &job;
            longest = since;
        }
    }
    return starved;
}

// Tasks that a worker could hold once everything but services has ended.
std::int64_t placesWithoutBatch(const worker_state &worker, const resources &need)
{
    return placesIn(
        worker.usable - worker.serviceReserved, need, static_cast<std::int64_t>(worker.slots) - worker.serviceTasks);
}

std::vector<worker_state *> workersToHold(scheduler &state, const job_state &job)
{
    const resources &need = job.lane->need;
    const std::int64_t wanted = job.offer.kind == work_kind::Gang ? static_cast<std::int64_t>(job.waiting.size()) : 1;
    std::vector<std::pair<std::int64_t, worker_state *>> candidates;
    for (auto &[name, worker] : state.workers) {
        if (worker.placeable && placesWithoutBatch(worker, need) > 0) {
            candidates.emplace_back(worker.reserved.processors.value - worker.serviceReserved.processors.value,
                                    &worker);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return left.first < right.first
            || (left.first == right.first && left.second->offer.name < right.second->offer.name);
    });
    std::vector<worker_state *> chosen;
    std::int64_t places = 0;
    for (const auto &[busy, worker] : candidates) {
        if (places >= wanted) {
            break;
        }
        places += placesWithoutBatch(*worker, need);
        chosen.push_back(worker);
    }
    return places >= wanted ? chosen : std::vector<worker_state *>();
}

} // namespace

void startHold(scheduler &state, time_point now)
{
    if (state.hold.job != nullptr || now < state.hold.nextTry || state.blocked.empty()) {
        return;
    }
    state.hold.nextTry = now + holdRetry;
    job_state *job = starvedJob(state, now);
    if (job == nullptr) {
        return;
    }
    std::vector<worker_state *> workers = workersToHold(state, *job);
    if (workers.empty()) {
        return;
    }
    state.hold.job = job;
    state.hold.since = now;
    state.hold.workers = std::move(workers);
    for (worker_state *worker : state.hold.workers) {
        worker->held = true;
        reindexWorker(state, *worker);
    }
}

void endHold(scheduler &state)
{
    if (state.hold.job == nullptr) {
        return;
    }
    state.hold.job = nullptr;
    const std::vector<worker_state *> workers = std::move(state.hold.workers);
    state.hold.workers.clear();
    for (worker_state *worker : workers) {
        worker->held = false;
        reindexWorker(state, *worker);
    }
    unblockAll(state);
}

bool isHoldStrict(const scheduler &state, time_point now)
{
    return state.hold.job != nullptr && now - state.hold.since >= strictAfter;
}

bool isHoldClosedTo(const scheduler &state, int priority, time_point now)
{
    return state.hold.job == nullptr || isHoldStrict(state, now)
        || priority <= policyOf(*state.settings, state.hold.job->offer.kind).priority;
}

} // namespace sesamespar
