#include "term/scheduler.h"

#include "term/admission.h"
#include "term/capacity_reservation.h"
#include "term/preemption.h"
#include "term/scheduler_state.h"
#include "term/team_usage.h"
#include "term/usage_learning.h"
#include "term/wait_reason.h"
#include "term/worker_health.h"

#include <glog/logging.h>

#include <algorithm>

namespace sesamespar {

namespace {

resources usableCapacity(const configuration &settings, const resources &capacity)
{
    return {millicores(capacity.processors.value * settings.limits.processorPercent / 100),
            mebibytes(capacity.memory.value * settings.limits.memoryPercent / 100),
            capacity.accelerator};
}

capacity_key shapeOf(const resources &capacity)
{
    return {capacity.processors.value, capacity.memory.value, capacity.accelerator.value};
}

void countPlaceable(scheduler &state, const worker_state &worker, std::int64_t sign)
{
    state.capacity = state.capacity + worker.usable * sign;
    state.reserved = state.reserved + worker.reserved * sign;
    state.placeableWorkers += static_cast<std::size_t>(sign);
    state.slots += worker.slots * static_cast<std::size_t>(sign);
    state.slotsTaken += worker.tasks * static_cast<std::size_t>(sign);
}

void removeShape(scheduler &state, const worker_state &worker)
{
    const auto shape = state.shapes.find(shapeOf(worker.usable));
    if (--shape->second == 0) {
        state.shapes.erase(shape);
    }
}

bool isSameOffer(const worker_state &worker, const worker_offer &offer, const configuration &settings)
{
    const bool sameSlots = worker.health.probation || worker.slots == settings.limits.slotsPerWorker;
    return sameSlots && worker.offer.rack == offer.rack && worker.offer.capacity == offer.capacity
        && worker.offer.placeable == offer.placeable;
}

void joinRack(scheduler &state, worker_state &worker)
{
    const auto [entry, added] = state.racks.try_emplace(worker.offer.rack);
    if (added) {
        state.rackOrder.push_back(&entry->second);
    }
    worker.rack = &entry->second;
    worker.rack->workers.push_back(&worker);
}

// The rack itself is kept, because jobs count their tasks on it.
void leaveRack(worker_state &worker)
{
    std::erase(worker.rack->workers, &worker);
    worker.rack = nullptr;
}

// Adds `amount`, which may be negative, to the reserved capacity of a worker and to the totals of the fleet.
void countOnWorker(scheduler &state, worker_state &worker, work_kind kind, const resources &amount)
{
    worker.reserved = worker.reserved + amount;
    state.reservedEverywhere = state.reservedEverywhere + amount;
    if (kind == work_kind::Service) {
        worker.serviceReserved = worker.serviceReserved + amount;
    }
    if (worker.placeable) {
        state.reserved = state.reserved + amount;
    }
}

void countTask(scheduler &state, job_state &job, worker_state &worker, bool added)
{
    const std::uint32_t change = added ? 1 : std::uint32_t(0) - 1;
    worker.tasks += change;
    worker.serviceTasks += job.offer.kind == work_kind::Service ? change : 0;
    const std::size_t one = added ? 1 : std::size_t(0) - 1;
    state.placedTasks += one;
    state.slotsTaken += worker.placeable ? one : 0;
    state.kinds.at(kindIndex(job.offer.kind)).tasks += one;
    std::uint32_t &onRack = job.racks[worker.rack];
    onRack += change;
    if (onRack == 0) {
        job.racks.erase(worker.rack);
    }
}

job_state &findOrAddJob(scheduler &state, const job_offer &offer)
{
    const auto [entry, added] = state.jobs.try_emplace(offer.id);
    if (added) {
        entry->second.offer = offer;
        entry->second.arrival = ++state.arrivals;
    }
    return entry->second;
}

void endCapacityReservationFor(scheduler &state, const job_state &job)
{
    if (state.capacityReservation.job == &job) {
        endCapacityReservation(state);
    }
}

void dropIfIdle(scheduler &state, job_state &job)
{
    if (job.waiting.empty() && job.placed.empty()) {
        endCapacityReservationFor(state, job);
        removeFromLane(state, job);
        const job_id id = job.offer.id;
        state.jobs.erase(id);
    }
}

void stopWaiting(scheduler &state, job_state &job, task_index index)
{
    if (job.waiting.erase(index) == 0) {
        return;
    }
    adjustWaiting(state, job, -1);
    if (job.waiting.empty()) {
        endCapacityReservationFor(state, job);
        removeFromLane(state, job);
    }
}

void returnToQueue(scheduler &state, job_state &job, task_index index)
{
    job.waiting.insert(index);
    adjustWaiting(state, job, 1);
}

reserved_workers reservedWorkersFor(const scheduler &state, const job_state &job, time_point now)
{
    if (state.capacityReservation.job == &job) {
        return reserved_workers::First;
    }
    const int priority = policyOf(*state.settings, job.offer.kind).priority;
    return mustAvoidReservedWorkers(state, priority, now) ? reserved_workers::Ignore : reserved_workers::Last;
}

// Returns to the queue the tasks of a gang that were placed in this pass, beyond the first `keepCount` placements.
void undoPlacements(scheduler &state, job_state &job, std::size_t keepCount, schedule_result &result)
{
    while (result.placements.size() > keepCount) {
        const task_index index = result.placements.back().task.index;
        unreserveTask(state, *job.placed.at(index));
        returnToQueue(state, job, index);
        result.placements.pop_back();
    }
}

// Places one task of a job, or all waiting tasks of a gang, and returns None. If that is not possible, places none and
// returns the reason.
block_reason placeTasks(scheduler &state, job_state &job, time_point now, schedule_result &result)
{
    job_lane &lane = *job.lane;
    const std::size_t tasks = job.offer.kind == work_kind::Gang ? job.waiting.size() : 1;
    const bool usesReservationStrictly =
        state.capacityReservation.job == &job && isCapacityReservationStrict(state, now);
    const bool gang = job.offer.kind == work_kind::Gang;
    const block_reason limited = checkLimits(state, *lane.queue, lane.need, static_cast<std::int64_t>(tasks));
    if (limited == block_reason::Quota || limited == block_reason::Cap) {
        return limited;
    }
    if (limited == block_reason::Guarantee && !usesReservationStrictly) {
        preemptFor(state, lane, {gang ? tasks : lane.waiting, gang, true, now}, result);
        return limited;
    }
    const worker_search search{
        &job, lane.need, failedWorkers(state, job.offer.work), reservedWorkersFor(state, job, now)};
    const std::size_t before = result.placements.size();
    for (std::size_t count = 0; count < tasks; ++count) {
        worker_state *worker = chooseWorker(state, search);
        if (worker == nullptr) {
            // Victims are chosen while the tasks placed so far are reserved, so that only the missing tasks need them.
            preemptFor(state, lane, {gang ? tasks - count : lane.waiting, gang, false, now}, result);
            undoPlacements(state, job, before, result);
            return block_reason::NoFit;
        }
        // The job leaves its lane only after the loop, because undoPlacements() needs the lane.
        const task_index index = *job.waiting.rbegin();
        job.waiting.erase(index);
        adjustWaiting(state, job, -1);
        reserveTask(state, job, index, *worker, lane.need);
        result.placements.push_back({{job.offer.id, index}, worker->offer.name});
    }
    job.since = now;
    lane.progressAt = now;
    state.kinds.at(kindIndex(job.offer.kind)).started += tasks;
    lane.queue->lastServed = ++state.placements;
    if (job.waiting.empty()) {
        endCapacityReservationFor(state, job);
        removeFromLane(state, job);
    } else {
        updateQueueOrder(state, *lane.queue);
    }
    return block_reason::None;
}

void serveStarvedJob(scheduler &state, time_point now, schedule_result &result)
{
    if (state.capacityReservation.job == nullptr) {
        return;
    }
    job_state &job = *state.capacityReservation.job;
    const block_reason reason = placeTasks(state, job, now, result);
    if (reason != block_reason::NoFit && reason != block_reason::Guarantee) {
        endCapacityReservation(state); // The job was placed, or a limit of its team or kind blocks it.
    }
}

// Places the first job of the next lane in the class, or blocks the lane. Returns false if the pass must end before the
// job because of the limit.
bool serveNext(scheduler &state, priority_class &queues, time_point now, std::size_t limit, schedule_result &result)
{
    job_lane &lane = *queues.begin()->ready.begin();
    job_state &job = lane.jobs.front();
    const bool gang = job.offer.kind == work_kind::Gang;
    if (gang && !result.placements.empty() && result.placements.size() + job.waiting.size() > limit) {
        return false; // A gang is not split over passes; it is first in the next one.
    }
    const block_reason reason = placeTasks(state, job, now, result);
    if (reason == block_reason::None) {
        return true;
    }
    blockLane(state, lane, reason, now);
    return true;
}

// Returns the highest priority class with a ready lane, or null. Unblocks one lane first if released capacity allows.
priority_class *nextClass(scheduler &state)
{
    unblockBestLane(state);
    const auto found = std::find_if(
        state.classes.rbegin(), state.classes.rend(), [](const priority_class &queues) { return !queues.empty(); });
    return found == state.classes.rend() ? nullptr : &*found;
}

void retryBlocked(scheduler &state, time_point now)
{
    while (!state.blocked.empty() && state.blocked.front().retryAt <= now) {
        unblockLane(state, state.blocked.front());
    }
}

// Removes lanes without jobs and without preemptions under way, for example of work that is no longer declared.
void dropIdleLanes(team_queue &queue)
{
    std::erase_if(queue.lanes,
                  [](const auto &entry) { return entry.second.jobs.empty() && entry.second.preempting == 0; });
}

void relistVictims(scheduler &state)
{
    for (auto &levels : state.victims) {
        for (auto &tasks : levels) {
            tasks.clear();
        }
    }
    for (auto &[id, job] : state.jobs) {
        for (auto &[index, task] : job.placed) {
            listVictim(state, *task);
        }
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
    endCapacityReservation(state);
    state.settings = std::move(settings);
    for (auto &[name, worker] : state.workers) {
        putWorker(state, worker_offer(worker.offer));
    }
    relistVictims(state);
    for (auto &[key, queue] : state.queues) {
        dropIdleLanes(queue);
        applyTeamSettings(state, queue);
        for (auto &[laneKey, lane] : queue.lanes) {
            lane.need = learnedNeed(state, queue.team, lane.work, lane.declared);
        }
    }
    unblockAll(state);
    for (auto &[key, queue] : state.queues) {
        for (auto &[laneKey, lane] : queue.lanes) {
            updateLaneOrder(state, lane);
        }
    }
}

void reindexWorker(scheduler &state, worker_state &worker)
{
    if (worker.placeable) {
        indexWorker(worker.reservedForStarved ? state.reservedIndex : state.index, worker);
    } else {
        unindexWorker(worker);
    }
}

void refreshWorker(scheduler &state, worker_state &worker)
{
    const bool placeable = worker.offer.placeable && !worker.health.quarantined;
    if (worker.reservedForStarved && !placeable) {
        endCapacityReservation(state);
    }
    if (worker.placeable) {
        countPlaceable(state, worker, -1);
    }
    // A worker on probation gets one task at a time until one succeeds.
    worker.slots = worker.health.probation ? 1 : state.settings->limits.slotsPerWorker;
    worker.placeable = placeable;
    if (worker.placeable) {
        countPlaceable(state, worker, 1);
    }
    reindexWorker(state, worker);
    unblockAll(state);
}

void putWorker(scheduler &state, const worker_offer &offer)
{
    worker_state &worker = state.workers[offer.name];
    const resources usable = usableCapacity(*state.settings, offer.capacity);
    if (worker.rack != nullptr && worker.usable == usable && isSameOffer(worker, offer, *state.settings)) {
        return; // Leaders repeat offers with each lease renewal; only a change can unblock waiting work.
    }
    if (worker.placeable) {
        countPlaceable(state, worker, -1);
        worker.placeable = false;
    }
    if (worker.rack != nullptr) {
        removeShape(state, worker);
    }
    if (worker.rack != nullptr && worker.offer.rack != offer.rack) {
        for (scheduled_task &task : worker.running) {
            --task.job->racks[worker.rack];
        }
        leaveRack(worker);
    }
    const bool joins = worker.rack == nullptr;
    worker.offer = offer;
    worker.usable = usable;
    ++state.shapes[shapeOf(usable)];
    if (joins) {
        joinRack(state, worker);
        for (scheduled_task &task : worker.running) {
            ++task.job->racks[worker.rack];
        }
    }
    refreshWorker(state, worker);
}

void removeWorker(scheduler &state, const worker_id &name)
{
    const auto found = state.workers.find(name);
    if (found == state.workers.end()) {
        return;
    }
    worker_state &worker = found->second;
    CHECK_EQ(worker.tasks, 0U) << "worker " << name << " cannot be removed while tasks are placed on it";
    if (worker.health.quarantined) {
        --state.quarantinedWorkers;
    }
    worker.offer.placeable = false;
    refreshWorker(state, worker);
    removeShape(state, worker);
    leaveRack(worker);
    std::erase(state.freed, &worker);
    state.workers.erase(found);
}

admission_verdict admit(const scheduler &state, const job_offer &job)
{
    return decideAdmission(state, job);
}

void enqueue(scheduler &state, const job_offer &offer, const std::vector<task_index> &waiting, time_point now)
{
    job_state &job = findOrAddJob(state, offer);
    job.offer.preemptions = offer.preemptions;
    const std::size_t before = job.waiting.size();
    for (const task_index index : waiting) {
        if (!job.placed.contains(index)) {
            job.waiting.insert(index);
        }
    }
    const std::size_t added = job.waiting.size() - before;
    if (added == 0) {
        dropIfIdle(state, job);
        return;
    }
    if (job.lane == nullptr) {
        job.since = now;
        addToLane(state, job);
    }
    adjustWaiting(state, job, static_cast<std::int64_t>(added));
}

void dequeue(scheduler &state, const job_id &id)
{
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end() || found->second.lane == nullptr) {
        return;
    }
    job_state &job = found->second;
    endCapacityReservationFor(state, job);
    adjustWaiting(state, job, -static_cast<std::int64_t>(job.waiting.size()));
    removeFromLane(state, job);
    job.waiting = {};
    dropIfIdle(state, job);
}

schedule_result schedule(scheduler &state, time_point now, std::size_t limit)
{
    schedule_result result;
    endQuarantines(state, now);
    updateDemand(state, now);
    retryBlocked(state, now);
    if (limit > 0) {
        serveStarvedJob(state, now, result);
    }
    while (priority_class *queues = nextClass(state)) {
        if (result.placements.size() >= limit || !serveNext(state, *queues, now, limit, result)) {
            return result;
        }
    }
    startCapacityReservation(state, now);
    return result;
}

scheduled_task &
reserveTask(scheduler &state, job_state &job, task_index index, worker_state &worker, const resources &need)
{
    auto made = std::make_unique<scheduled_task>();
    scheduled_task &task = *made;
    job.placed.emplace(index, std::move(made));
    task.job = &job;
    task.index = index;
    task.worker = &worker;
    task.reserved = need;
    task.placementOrder = ++state.placements;
    worker.running.push_back(task);
    countTask(state, job, worker, true);
    countOnWorker(state, worker, job.offer.kind, need);
    addUsage(state, queueOf(state, job.offer.id.team, job.offer.kind), need);
    reindexWorker(state, worker);
    listVictim(state, task);
    return task;
}

void resizeTask(scheduler &state, scheduled_task &task, const resources &reserved)
{
    const resources more = reserved - task.reserved;
    if (task.preempting) {
        kind_state &kind = state.kinds.at(kindIndex(task.job->offer.kind));
        kind.preempting = kind.preempting + more;
    }
    task.reserved = reserved;
    countOnWorker(state, *task.worker, task.job->offer.kind, more);
    addUsage(state, queueOf(state, task.job->offer.id.team, task.job->offer.kind), more);
    reindexWorker(state, *task.worker);
}

void unreserveTask(scheduler &state, scheduled_task &task)
{
    job_state &job = *task.job;
    worker_state &worker = *task.worker;
    clearPreemption(state, task);
    if (task.victimHook.is_linked()) {
        task.victimHook.unlink();
    }
    task.workerHook.unlink();
    countTask(state, job, worker, false);
    countOnWorker(state, worker, job.offer.kind, task.reserved * -1);
    addUsage(state, queueOf(state, job.offer.id.team, job.offer.kind), task.reserved * -1);
    reindexWorker(state, worker);
    job.placed.erase(task_index(task.index));
}

void adoptTask(scheduler &state, const job_offer &offer, task_index index, const worker_id &name)
{
    const auto worker = state.workers.find(name);
    CHECK(worker != state.workers.end()) << "cannot adopt a task of " << offer.id << " on unknown worker " << name;
    job_state &job = findOrAddJob(state, offer);
    if (job.placed.contains(index)) {
        return;
    }
    stopWaiting(state, job, index);
    reserveTask(state, job, index, worker->second, job.offer.need);
}

void releaseTask(scheduler &state, const task_key &key)
{
    const auto found = state.jobs.find(key.job);
    if (found == state.jobs.end()) {
        return;
    }
    job_state &job = found->second;
    const auto placed = job.placed.find(key.index);
    if (placed == job.placed.end()) {
        return;
    }
    worker_state &worker = *placed->second->worker;
    unreserveTask(state, *placed->second);
    markFreed(state, worker);
    dropIfIdle(state, job);
}

bool reportOutcome(scheduler &state, const work_id &work, const worker_id &worker, bool succeeded, time_point now)
{
    return updateHealth(state, work, worker, succeeded, now);
}

std::vector<overuse_action> reportUsage(scheduler &state, const std::vector<usage_sample> &samples)
{
    return learnUsage(state, samples);
}

std::string explainWait(const scheduler &state, const job_id &job)
{
    return describeWait(state, job);
}

scheduler_summary summarize(const scheduler &state)
{
    scheduler_summary summary;
    summary.workers = state.workers.size();
    summary.placeableWorkers = state.placeableWorkers;
    summary.quarantinedWorkers = state.quarantinedWorkers;
    for (const kind_state &kind : state.kinds) {
        summary.waitingTasks += kind.waiting;
    }
    summary.placedTasks = state.placedTasks;
    summary.capacity = state.capacity;
    summary.reserved = state.reservedEverywhere;
    return summary;
}

void applyPlacementPolicy(scheduler &state, const placement_policy &policy)
{
    state.policy = policy;
}

} // namespace sesamespar
