#include "term/placement_policy.h"

#include "term/scheduler_state.h"

#include <algorithm>
#include <bit>

namespace sesamespar {

namespace {

// Maximum number of racks, and of workers per rack, that the spread rule compares.
constexpr std::size_t maxRackProbes = 64;
constexpr std::size_t maxWorkerProbes = 16;
// Maximum number of workers examined in an edge bucket, where free capacity is at the level of the need and only some
// workers fit.
constexpr std::size_t maxEdgeProbes = 32;

bool isCandidate(const worker_state &worker, const worker_search &search)
{
    return hasCapacityFor(worker, search.need)
        && (search.avoid == nullptr
            || std::find(search.avoid->begin(), search.avoid->end(), worker.offer.name) == search.avoid->end());
}

struct best_worker {
    worker_state *worker = nullptr;
    double score = 0;
    std::size_t probes = 0;
};

void probeBucket(
    const placement_policy &policy, worker_bucket &bucket, const worker_search &search, bool edge, best_worker &best)
{
    std::size_t compared = 0;
    std::size_t examined = 0;
    for (worker_state &worker : bucket) {
        if (compared == policy.probesPerBucket || ++examined > (edge ? maxEdgeProbes : policy.probesPerBucket)) {
            break;
        }
        if (!isCandidate(worker, search)) {
            continue;
        }
        ++compared;
        ++best.probes;
        const double score = packingScore(policy, worker, search.need);
        if (best.worker == nullptr || score < best.score) {
            best.worker = &worker;
            best.score = score;
        }
    }
    if (compared == 0 && examined > maxEdgeProbes) {
        // Rotates the bucket, so that the next search examines other workers.
        bucket.splice(bucket.end(), bucket, bucket.begin(), std::next(bucket.begin(), maxEdgeProbes));
    }
}

worker_state *packInPlane(const placement_policy &policy, index_plane &plane, const worker_search &search)
{
    const std::size_t firstRow = levelOf(search.need.processors.value);
    const std::size_t firstColumn = levelOf(search.need.memory.value);
    best_worker best;
    std::uint64_t rows = plane.rows & (~std::uint64_t(0) << firstRow);
    for (; rows != 0 && best.probes < policy.probes; rows &= rows - 1) {
        const auto row = static_cast<std::size_t>(std::countr_zero(rows));
        std::uint64_t columns = plane.columns.at(row) & (~std::uint64_t(0) << firstColumn);
        for (; columns != 0 && best.probes < policy.probes; columns &= columns - 1) {
            const auto column = static_cast<std::size_t>(std::countr_zero(columns));
            const bool edge = row == firstRow || column == firstColumn;
            probeBucket(policy, plane.buckets.at(row * indexLevels + column), search, edge, best);
        }
    }
    return best.worker;
}

std::uint32_t tasksOf(const job_state &job, const worker_state &worker)
{
    return static_cast<std::uint32_t>(std::count_if(
        worker.running.begin(), worker.running.end(), [&](const scheduled_task &task) { return task.job == &job; }));
}

worker_state *spreadWorker(scheduler &state, const worker_search &search)
{
    const job_state &job = *search.job;
    using spread_rank = std::tuple<std::uint32_t, bool, std::uint32_t, std::uint32_t>;
    worker_state *best = nullptr;
    spread_rank bestRank;
    const std::size_t racks = std::min(maxRackProbes, state.rackOrder.size());
    for (std::size_t probe = 0; probe < racks; ++probe) {
        rack_state &rack = *state.rackOrder.at((state.rackCursor + probe) % state.rackOrder.size());
        const auto found = job.racks.find(&rack);
        const std::uint32_t onRack = found == job.racks.end() ? 0 : found->second;
        if (best != nullptr && onRack > std::get<0>(bestRank)) {
            continue;
        }
        const std::size_t workers = std::min(maxWorkerProbes, rack.workers.size());
        for (std::size_t each = 0; each < workers; ++each) {
            worker_state &worker = *rack.workers.at((state.placements + each) % rack.workers.size());
            if (worker.index != &state.index || !isCandidate(worker, search)) {
                continue;
            }
            const bool spareAccelerators = search.need.accelerator.value == 0 && worker.usable.accelerator.value > 0;
            const spread_rank rank{onRack, spareAccelerators, tasksOf(job, worker), worker.tasks};
            if (best == nullptr || rank < bestRank) {
                best = &worker;
                bestRank = rank;
            }
        }
    }
    if (best != nullptr) {
        state.rackCursor = (state.rackCursor + 1) % state.rackOrder.size();
    }
    return best;
}

worker_state *firstFitWorker(scheduler &state, const worker_search &search)
{
    for (auto &[name, worker] : state.workers) {
        if (worker.index == &state.index && isCandidate(worker, search)) {
            return &worker;
        }
    }
    return nullptr;
}

worker_state *chooseUnreserved(scheduler &state, const worker_search &search)
{
    const placement_rule rule = policyOf(*state.settings, search.job->offer.kind).placement;
    if (rule == placement_rule::FirstFit) {
        return firstFitWorker(state, search);
    }
    worker_state *worker = rule == placement_rule::Spread ? spreadWorker(state, search) : nullptr;
    return worker != nullptr ? worker : packWorker(state.policy, state.index, search);
}

} // namespace

double packingScore(const placement_policy &policy, const worker_state &worker, const resources &need)
{
    const resources left = worker.usable - worker.reserved - need;
    const auto share = [](std::int64_t amount, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(amount) / static_cast<double>(whole) : 0.0;
    };
    const double processors = share(left.processors.value, worker.usable.processors.value);
    const double memory = share(left.memory.value, worker.usable.memory.value);
    const double slots = share(static_cast<std::int64_t>(worker.slots) - worker.tasks - 1, worker.slots);
    const double highest = std::max({processors, memory, slots});
    const double lowest = std::min({processors, memory, slots});
    return policy.leftoverWeight * (processors + memory + slots) / 3 + policy.imbalanceWeight * (highest - lowest);
}

worker_state *packWorker(const placement_policy &policy, fleet_index &index, const worker_search &search)
{
    const auto needed = static_cast<std::size_t>(std::max<std::int64_t>(0, search.need.accelerator.value));
    const std::size_t first = needed == 0 ? 0 : std::min(indexPlanes - 1, needed + 1);
    for (std::size_t plane = first; plane < indexPlanes; ++plane) {
        if (index.planes.at(plane) == nullptr) {
            continue;
        }
        if (worker_state *worker = packInPlane(policy, *index.planes.at(plane), search)) {
            return worker;
        }
    }
    return nullptr;
}

worker_state *chooseWorker(scheduler &state, const worker_search &search)
{
    worker_state *worker = nullptr;
    if (search.reservedWorkers == reserved_workers::First) {
        worker = packWorker(state.policy, state.reservedIndex, search);
    }
    if (worker == nullptr) {
        worker = chooseUnreserved(state, search);
    }
    if (worker == nullptr && search.reservedWorkers == reserved_workers::Last) {
        worker = packWorker(state.policy, state.reservedIndex, search);
    }
    if (worker == nullptr && search.avoid != nullptr) {
        worker_search wider = search;
        wider.avoid = nullptr;
        worker = chooseWorker(state, wider);
    }
    return worker;
}

} // namespace sesamespar
