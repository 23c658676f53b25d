#include "term/advice_selection.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace sesamespar {

namespace {

/// Expected number of places of a request, as a multiple of the tasks without a place. Other steps may take some of
/// the places before the response arrives.
constexpr double placesPerTask = 1.5;
/// Number of tasks that the suitable workers of a step have room for when empty, as a multiple of the tasks of the
/// step, from which on a step waits for freed capacity instead of asking about further workers. With 4 on a cell that
/// is 88% busy, a wide gang finds capacity within about a second.
constexpr double potentialPerTask = 4;
/// Extension of a request, as a multiple of its fixed time, up to which its list of workers is not shortened: a second
/// request would cost all of the fixed time again.
constexpr double cheapExtension = 1;
/// Lower bound of the expected share of suitable workers, so that a queue whose first requests found none goes on.
constexpr double lowestShare = 0.05;

/// A worker whose suitability is unknown.
struct unassessed_worker {
    worker_slot slot;
    std::int64_t fitsNow = 0;
    std::int64_t fitsEmpty = 0;
    std::size_t rank = 0; ///< Order in which workers were named by requests, the longest ago first.
};

/// Expected number of tasks that fit on workers.
struct expected_fits {
    double now = 0;
    double empty = 0;
};

worker_set sized(worker_set set, std::size_t size)
{
    set.resize(size);
    return set;
}

/// Lists the unassessed workers on which tasks of the step fit when the worker is empty.
std::vector<unassessed_worker>
listUnassessed(const cell_state &state, const free_capacity &free, const waiting_step &waiting)
{
    const step_advice &advice = waiting.state().advice;
    std::vector<unassessed_worker> workers;
    worker_set unknown = free.usable;
    unknown -= sized(advice.assessed, unknown.size());
    unknown -= sized(advice.requested, unknown.size());
    workers.reserve(unknown.count());
    for (auto slot = unknown.find_first(); slot != worker_set::npos; slot = unknown.find_next(slot)) {
        const cell_worker &worker = *state.slots[slot];
        const std::int64_t fitsEmpty =
            isEligible(waiting, worker) ? countTaskFits(waiting, worker, worker.capacity) : 0;
        if (fitsEmpty > 0) {
            const std::size_t rank = (slot + state.slots.size() - state.nextAdvised.value) % state.slots.size();
            workers.push_back({worker.slot, countTaskFits(waiting, worker, free.remaining[slot]), fitsEmpty, rank});
        }
    }
    return workers;
}

/// Sorts workers with free capacity to the front: for a gang those with the most, since all of its tasks must start
/// together. Only as many as one request names are in order; sorting all of 780 raised the p99 of a pass by 0.1 ms.
void sortByUse(std::vector<unassessed_worker> &workers, bool gang)
{
    const auto named = workers.begin() + static_cast<std::ptrdiff_t>(std::min(workers.size(), maxAdviceWorkers));
    std::partial_sort(
        workers.begin(), named, workers.end(), [gang](const unassessed_worker &left, const unassessed_worker &right) {
            const std::int64_t leftFits = gang ? left.fitsNow : std::min<std::int64_t>(left.fitsNow, 1);
            const std::int64_t rightFits = gang ? right.fitsNow : std::min<std::int64_t>(right.fitsNow, 1);
            return leftFits != rightFits ? leftFits > rightFits : left.rank < right.rank;
        });
}

/// What the requests in progress are expected to find.
expected_fits countRequested(const cell_state &state, const free_capacity &free, const waiting_step &waiting)
{
    const step_advice &advice = waiting.state().advice;
    expected_fits expected;
    for (auto slot = advice.requested.find_first(); slot != worker_set::npos; slot = advice.requested.find_next(slot)) {
        const cell_worker *worker = state.slots[slot];
        if (worker != nullptr && !contains(advice.assessed, worker->slot)) {
            expected.now += static_cast<double>(countTaskFits(waiting, *worker, free.remaining[slot]));
            expected.empty += static_cast<double>(countTaskFits(waiting, *worker, worker->capacity));
        }
    }
    return expected;
}

/// Number of workers up to which the list of a request is not shortened.
std::size_t cheapCount(const advice_timing &timing)
{
    if (timing.perWorker.count() <= 0) {
        return maxAdviceWorkers;
    }
    return static_cast<std::size_t>(cheapExtension * timing.decide.count() / timing.perWorker.count());
}

/// Number of workers from the front of the list that provide the wanted fits, or all that provide any.
std::size_t
countUntil(const std::vector<unassessed_worker> &workers, double wanted, std::int64_t unassessed_worker::*fits)
{
    std::size_t count = 0;
    double sum = 0;
    while (count < workers.size() && sum < wanted && workers[count].*fits > 0) {
        sum += static_cast<double>(workers[count].*fits);
        ++count;
    }
    return count;
}

} // namespace

std::chrono::duration<double, std::milli> adviceTime(const advice_timing &timing, std::size_t workers)
{
    return timing.decide + timing.perWorker * static_cast<double>(workers);
}

bool isEligible(const waiting_step &waiting, const cell_worker &worker)
{
    const std::string &label = waiting.declared().requiredLabel;
    return worker.service == waiting.job->accepted.policy.service && (label.empty() || worker.labels.contains(label));
}

std::int64_t countTaskFits(const waiting_step &waiting, const cell_worker &worker, const resources &amount)
{
    const job_step &declared = waiting.declared();
    const std::int64_t fit = countFits(declared.need, amount);
    if (fit == 0 || declared.maxPerWorker == 0) {
        return fit;
    }
    const cell_step &step = waiting.state();
    std::int64_t present = 0;
    for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
        const placed_run *run = waiting.job->runs[position];
        present += run != nullptr && run->worker == &worker ? 1 : 0;
    }
    return std::min(fit, std::max<std::int64_t>(declared.maxPerWorker - present, 0));
}

std::int64_t countPotentialFits(const cell_state &state, const waiting_step &waiting)
{
    std::int64_t fit = 0;
    const auto add = [&](const cell_worker *worker) {
        if (worker != nullptr && worker->listed && !worker->draining && isEligible(waiting, *worker)) {
            fit += countTaskFits(waiting, *worker, worker->capacity);
        }
    };
    if (waiting.job->accepted.policy.advice) {
        for (const suitable_worker &entry : waiting.state().advice.suitable) {
            add(state.slots[entry.worker.value]);
        }
    } else {
        std::for_each(state.slots.begin(), state.slots.end(), add);
    }
    return fit;
}

std::vector<worker_slot>
selectUnassessed(cell_state &state, const free_capacity &free, const waiting_step &waiting, std::size_t missing)
{
    std::vector<unassessed_worker> workers = listUnassessed(state, free, waiting);
    if (workers.empty()) {
        return {};
    }
    const bool gang = waiting.declared().gang;
    const double share = std::max(waiting.job->history->suitableShare, lowestShare);
    const expected_fits requested = countRequested(state, free, waiting);
    const double tasks = std::max(0.0, static_cast<double>(missing) - requested.now * share);
    const double potential = potentialPerTask * waiting.state().count - requested.empty * share
        - static_cast<double>(countPotentialFits(state, waiting));
    const double fitsNow =
        std::accumulate(workers.begin(), workers.end(), 0.0, [](double sum, const unassessed_worker &worker) {
            return sum + static_cast<double>(worker.fitsNow);
        });
    const bool wantsPlaces = tasks > 0 && (gang ? fitsNow >= tasks : fitsNow > 0);
    const bool wantsPotential = potential > 0 && tasks > fitsNow * share;
    if (!wantsPlaces && !wantsPotential) {
        return {};
    }
    sortByUse(workers, gang);
    std::size_t count = cheapCount(*waiting.job->accepted.policy.advice);
    if (wantsPlaces) {
        count = std::max(count, countUntil(workers, placesPerTask * tasks / share, &unassessed_worker::fitsNow));
    }
    if (wantsPotential) {
        count = std::max(count, countUntil(workers, potential / share, &unassessed_worker::fitsEmpty));
    }
    workers.resize(std::min({count, workers.size(), maxAdviceWorkers}));
    const unassessed_worker &last = *std::max_element(
        workers.begin(), workers.end(), [](const unassessed_worker &left, const unassessed_worker &right) {
            return left.rank < right.rank;
        });
    state.nextAdvised = worker_slot(last.slot.value + 1);
    std::vector<worker_slot> selected;
    std::transform(workers.begin(), workers.end(), std::back_inserter(selected), [](const unassessed_worker &worker) {
        return worker.slot;
    });
    return selected;
}

} // namespace sesamespar
