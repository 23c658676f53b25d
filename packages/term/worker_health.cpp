#include "term/worker_health.h"

#include "term/scheduler_state.h"

#include <algorithm>

namespace sesamespar {

namespace {

// Failures without a success between them after which a worker is set aside. Failures of one work alone may be
// due to the work, so more of them are needed.
constexpr std::uint32_t failuresOfSeveralWorks = 3;
constexpr std::uint32_t failuresOfOneWork = 5;
constexpr std::size_t maxFailedWork = 4;
// Different workers on which a work fails before it is blamed itself.
constexpr std::size_t workersToBlame = 3;
constexpr milliseconds firstSetAside{60000};
constexpr std::uint32_t maxDoublings = 4;

bool looksBroken(const worker_health &health)
{
    return health.probation || health.failures >= failuresOfOneWork
        || (health.failures >= failuresOfSeveralWorks && health.failedWork.size() > 1);
}

bool mayLoseOne(const scheduler &state)
{
    const std::size_t percent = static_cast<std::size_t>(state.settings->limits.quarantinePercent);
    return (state.setAsideWorkers + 1) * 100 <= state.workers.size() * percent;
}

void setAside(scheduler &state, worker_state &worker, time_point now)
{
    worker_health &health = worker.health;
    health.until = now + firstSetAside * (1U << std::min(health.timesSetAside, maxDoublings));
    health.setAside = true;
    health.probation = false;
    ++health.timesSetAside;
    ++state.setAsideWorkers;
    refreshWorker(state, worker);
}

void readmit(scheduler &state, worker_state &worker, bool probation)
{
    worker.health.setAside = false;
    worker.health.probation = probation;
    worker.health.failures = 0;
    worker.health.failedWork.clear();
    --state.setAsideWorkers;
    refreshWorker(state, worker);
}

bool noteSuccess(scheduler &state, worker_state &worker)
{
    const bool wasSetAside = worker.health.setAside;
    const bool wasProbation = worker.health.probation;
    if (wasSetAside) {
        readmit(state, worker, false);
    }
    worker.health = {};
    if (wasProbation) {
        refreshWorker(state, worker);
    }
    return wasSetAside;
}

// Forgets the failures of a blamed work on all workers. Returns true if a worker got tasks again.
bool clearWorkers(scheduler &state, const work_id &work)
{
    bool changed = false;
    for (auto &[name, worker] : state.workers) {
        auto &failed = worker.health.failedWork;
        if (std::erase(failed, work) == 0 || !failed.empty()) {
            continue;
        }
        worker.health.failures = 0;
        if (worker.health.setAside) {
            readmit(state, worker, false);
            changed = true;
        }
    }
    return changed;
}

} // namespace

bool noteHealth(scheduler &state, const work_id &work, const worker_id &worker, bool succeeded, time_point now)
{
    const auto found = state.workers.find(worker);
    if (succeeded) {
        work_state &learned = state.work[work];
        learned.failedOn.clear();
        learned.blamed = false;
        return found != state.workers.end() && noteSuccess(state, found->second);
    }
    work_state &learned = state.work[work];
    if (learned.blamed) {
        return false;
    }
    if (std::find(learned.failedOn.begin(), learned.failedOn.end(), worker) == learned.failedOn.end()) {
        learned.failedOn.push_back(worker);
    }
    if (learned.failedOn.size() >= workersToBlame) {
        learned.blamed = true;
        learned.failedOn.clear();
        return clearWorkers(state, work);
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
    if (health.setAside || !looksBroken(health) || !mayLoseOne(state)) {
        return false;
    }
    setAside(state, found->second, now);
    return true;
}

void endSetAside(scheduler &state, time_point now)
{
    if (state.setAsideWorkers == 0 || now < state.nextHealthCheck) {
        return;
    }
    state.nextHealthCheck = now + milliseconds(1000);
    for (auto &[name, worker] : state.workers) {
        if (worker.health.setAside && worker.health.until <= now) {
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
