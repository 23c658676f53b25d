#include "term/capacity_reservation.h"

#include "term/scheduler_state.h"

#include <algorithm>

namespace sesamespar {

namespace {

// Time without progress after which workers are reserved for a job. A gang needs several workers at once, so its
// reservation starts earlier.
constexpr milliseconds reserveForGangAfter{5000};
constexpr milliseconds reserveForTaskAfter{10000};
// Age from which a reservation is strict.
constexpr milliseconds strictAfter{30000};
// Choosing the workers scans the whole fleet, which is too expensive for each scheduling pass.
constexpr milliseconds reservationRetry{100};

// The blocked job that has gone longest without progress and exceeds the bound of its kind, or null.
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
        const milliseconds bound = job.offer.kind == work_kind::Gang ? reserveForGangAfter : reserveForTaskAfter;
        if (now - since >= bound && (starved == nullptr || since < longest)) {
            starved = &job;
            longest = since;
        }
    }
    return starved;
}

// Tasks that a worker can run once all tasks except those of services have ended.
std::int64_t tasksBesideServices(const worker_state &worker, const resources &need)
{
    return tasksThatFit(
        worker.usable - worker.serviceReserved, need, static_cast<std::int64_t>(worker.slots) - worker.serviceTasks);
}

// The least loaded workers that together can run one task, or all waiting tasks of a gang; empty if there are too few.
std::vector<worker_state *> workersToReserve(scheduler &state, const job_state &job)
{
    const resources &need = job.lane->need;
    const std::int64_t required = job.offer.kind == work_kind::Gang ? static_cast<std::int64_t>(job.waiting.size()) : 1;
    std::vector<std::pair<std::int64_t, worker_state *>> candidates;
    for (auto &[name, worker] : state.workers) {
        if (worker.placeable && tasksBesideServices(worker, need) > 0) {
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
        if (places >= required) {
            break;
        }
        places += tasksBesideServices(*worker, need);
        chosen.push_back(worker);
    }
    return places >= required ? chosen : std::vector<worker_state *>();
}

} // namespace

void startCapacityReservation(scheduler &state, time_point now)
{
    if (state.capacityReservation.job != nullptr || now < state.capacityReservation.nextTry || state.blocked.empty()) {
        return;
    }
    state.capacityReservation.nextTry = now + reservationRetry;
    job_state *job = starvedJob(state, now);
    if (job == nullptr) {
        return;
    }
    std::vector<worker_state *> workers = workersToReserve(state, *job);
    if (workers.empty()) {
        return;
    }
    state.capacityReservation.job = job;
    state.capacityReservation.since = now;
    state.capacityReservation.workers = std::move(workers);
    for (worker_state *worker : state.capacityReservation.workers) {
        worker->reservedForStarved = true;
        reindexWorker(state, *worker);
    }
}

void endCapacityReservation(scheduler &state)
{
    if (state.capacityReservation.job == nullptr) {
        return;
    }
    state.capacityReservation.job = nullptr;
    const std::vector<worker_state *> workers = std::move(state.capacityReservation.workers);
    state.capacityReservation.workers.clear();
    for (worker_state *worker : workers) {
        worker->reservedForStarved = false;
        reindexWorker(state, *worker);
    }
    unblockAll(state);
}

bool isCapacityReservationStrict(const scheduler &state, time_point now)
{
    return state.capacityReservation.job != nullptr && now - state.capacityReservation.since >= strictAfter;
}

bool mustAvoidReservedWorkers(const scheduler &state, int priority, time_point now)
{
    return state.capacityReservation.job == nullptr || isCapacityReservationStrict(state, now)
        || priority <= policyOf(*state.settings, state.capacityReservation.job->offer.kind).priority;
}

} // namespace sesamespar
