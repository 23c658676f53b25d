#include "term/worker_health.h"

#include "term/scheduler_state.h"

#include <algorithm>

namespace sesamespar {

namespace {

// Consecutive failures after which a worker is quarantined. Failures of a single work may be due to the work, so more
// of them are required.
constexpr std::uint32_t failuresOfSeveralWorks = 3;
constexpr std::uint32_t failuresOfOneWork = 5;
constexpr std::size_t maxFailedWork = 4;
// Number of distinct workers on which a work must fail before the failures are attributed to the work.
constexpr std::size_t faultyWorkThreshold = 3;
// The first quarantine of a worker; each further one lasts twice as long, up to maxDoublings.
constexpr milliseconds firstQuarantine{60000};
constexpr std::uint32_t maxDoublings = 4;

bool isFaulty(const worker_health &health)
{
    return health.probation || health.failures >= failuresOfOneWork
        || (health.failures >= failuresOfSeveralWorks && health.failedWork.size() > 1);
}

bool mayQuarantineAnother(const scheduler &state)
{
    const std::size_t percent = static_cast<std::size_t>(state.settings->limits.quarantinePercent);
    return (state.quarantinedWorkers + 1) * 100 <= state.workers.size() * percent;
}

void quarantine(scheduler &state, worker_state &worker, time_point now)
{
    worker_health &health = worker.health;
    health.quarantinedUntil = now + firstQuarantine * (1U << std::min(health.timesQuarantined, maxDoublings));
    health.quarantined = true;
    health.probation = false;
    ++health.timesQuarantined;
    ++state.quarantinedWorkers;
    refreshWorker(state, worker);
}

void readmit(scheduler &state, worker_state &worker, bool probation)
{
    worker.health.quarantined = false;
    worker.health.probation = probation;
    worker.health.failures = 0;
    worker.health.failedWork.clear();
    --state.quarantinedWorkers;
    refreshWorker(state, worker);
}

bool resetHealth(scheduler &state, worker_state &worker)
{
    const bool wasQuarantined = worker.health.quarantined;
    const bool wasOnProbation = worker.health.probation;
    if (wasQuarantined) {
        readmit(state, worker, false);
    }
    worker.health = {};
    if (wasOnProbation) {
        refreshWorker(state, worker);
    }
    return wasQuarantined;
}

// Removes the failures of a faulty work from all workers. Returns true if a quarantine ended.
bool clearFailures(scheduler &state, const work_id &work)
{
    bool changed = false;
    for (auto &[name, worker] : state.workers) {
        auto &failed = worker.health.failedWork;
        if (std::erase(failed, work) == 0 || !failed.empty()) {
            continue;
        }
        worker.health.failures = 0;
        if (worker.health.quarantined) {
            readmit(state, worker, false);
            changed = true;
        }
    }
    return changed;
}

} // namespace

bool updateHealth(scheduler &state, const work_id &work, const worker_id &worker, bool succeeded, time_point now)
{
    const auto found = state.workers.find(worker);
    if (succeeded) {
        work_state &workState = state.work[work];
        workState.failedOn.clear();
        workState.faulty = false;
        return found != state.workers.end() && resetHealth(state, found->second);
    }
    work_state &workState = state.work[work];
    if (workState.faulty) {
        return false;
    }
    if (std::find(workState.failedOn.begin(), workState.failedOn.end(), worker) == workState.failedOn.end()) {
        workState.failedOn.push_back(worker);
    }
    if (workState.failedOn.size() >= faultyWorkThreshold) {
        workState.faulty = true;
        workState.failedOn.clear();
        return clearFailures(state, work);
    }
    if (found == state.workers.end()) {
        return false;
    }
    worker_health &health = found->second.health;
    ++health.failures;
    if (health.failedWork.size() < maxFailedWork
        && std::find(health.failedWork.begin(), health.failedWork.end(), work) == health.failedWork.end()) {
        health.failedWork.push_back(work);
    }
    if (health.quarantined || !isFaulty(health) || !mayQuarantineAnother(state)) {
        return false;
    }
    quarantine(state, found->second, now);
    return true;
}

void endQuarantines(scheduler &state, time_point now)
{
    if (state.quarantinedWorkers == 0 || now < state.nextHealthCheck) {
        return;
    }
    state.nextHealthCheck = now + milliseconds(1000);
    for (auto &[name, worker] : state.workers) {
        if (worker.health.quarantined && worker.health.quarantinedUntil <= now) {
            readmit(state, worker, true);
        }
    }
}

const std::vector<worker_id> *failedWorkers(const scheduler &state, const work_id &work)
{
    const auto found = state.work.find(work);
    return found == state.work.end() || found->second.failedOn.empty() ? nullptr : &found->second.failedOn;
}

} // namespace sesamespar
