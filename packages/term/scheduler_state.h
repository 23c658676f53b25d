// The whole state of a scheduler, shared by the files that each implement one part of its decisions.
#pragma once

#include "term/fleet_index.h"
#include "term/job_queue.h"
#include "term/placement_policy.h"

#include <array>
#include <limits>
#include <map>
#include <unordered_map>

namespace sesamespar {

/// What was learned about one piece of work.
struct work_state {
    resources peak; ///< Highest recent use of one task; declines slowly.
    std::vector<worker_id> failedOn; ///< Different workers since the last success.
    bool blamed = false; ///< Its failures say nothing about workers.
};

/// Processors, memory and slots: the dimensions in which kinds are guaranteed their share.
using guarded_amount = std::array<std::int64_t, 3>;

/// Use and demand of one kind.
struct kind_state {
    resources used;
    std::size_t tasks = 0; ///< Placed.
    std::size_t waiting = 0; ///< Tasks.
    guarded_amount demand{}; ///< Highest recent use and wait; declines over a minute.
    resources preempting; ///< Part of `used` that decided preemptions will free.
    std::size_t preemptingTasks = 0;
    double startsPerSecond = 0; ///< Recent rate.
    std::uint64_t started = 0; ///< Since the rate was computed last.
};

/// Capacity kept for one job that waited too long.
struct capacity_hold {
    job_state *job = nullptr; ///< Null if there is no hold.
    time_point since;
    std::vector<worker_state *> workers;
    time_point nextTry; ///< When another hold may be tried.
};

/// Order of worker capacities; equal ones are counted together.
using capacity_key = std::tuple<std::int64_t, std::int64_t, std::int64_t>;

struct scheduler {
    configuration_ptr settings;
    placement_policy policy;
    std::map<worker_id, worker_state> workers;
    std::map<rack_id, rack_state> racks;
    std::vector<rack_state *> rackOrder;
    std::size_t rackCursor = 0;
    std::map<capacity_key, std::uint32_t> shapes; ///< Usable capacities of all workers, placeable or not.
    fleet_index index; ///< Placeable workers that are not held.
    fleet_index heldIndex; ///< Placeable workers of the hold.
    resources capacity; ///< Usable capacity of placeable workers.
    resources reserved; ///< On placeable workers.
    std::size_t slots = 0; ///< Of placeable workers.
    std::size_t slotsTaken = 0; ///< Tasks on placeable workers.
    resources reservedEverywhere;
    std::size_t placeableWorkers = 0;
    std::size_t setAsideWorkers = 0;
    std::size_t placedTasks = 0;
    std::unordered_map<job_id, job_state> jobs;
    std::map<std::pair<work_kind, team_id>, team_queue> queues;
    std::array<priority_class, 10> classes;
    blocked_lanes blocked;
    std::uint64_t releases = 0; ///< Counts what may help blocked lanes.
    bool released = false; ///< Capacity became free that blocked lanes were not tried for.
    std::vector<worker_state *> freed; ///< Where.
    std::map<team_id, team_state> teams;
    std::array<kind_state, allWorkKinds.size()> kinds;
    std::map<work_id, work_state> work;
    /// Tasks that may be preempted, by priority of their kind and preemptions of their job up to 7; the task placed
    /// last comes first.
    std::array<std::array<boost::intrusive::list<
                              held_task,
                              boost::intrusive::member_hook<held_task, task_list_hook, &held_task::onVictims>,
                              boost::intrusive::constant_time_size<false>>,
                          8>,
               10>
        victims;
    capacity_hold hold;
    time_point nextHealthCheck;
    std::int64_t arrivals = 0;
    std::uint64_t placements = 0;
    time_point ratesAt; ///< When rates and demand were computed last.
};

/// Recomputes whether a worker gets tasks, and the sums that depend on it.
void refreshWorker(scheduler &state, worker_state &worker);

/// Puts a placeable worker into the index that it belongs to.
void reindexWorker(scheduler &state, worker_state &worker);

/// Reserves capacity for a task on a worker.
held_task &reserveTask(scheduler &state, job_state &job, task_index index, worker_state &worker, const resources &need);

/// Puts another placement policy in force; the measurements compare several.
void applyPlacementPolicy(scheduler &state, const placement_policy &policy);

/// Gives back the capacity of a placed task and forgets it. The task is no longer valid afterwards.
void unreserveTask(scheduler &state, held_task &task);

/// Changes the reservation of a placed task.
void resizeTask(scheduler &state, held_task &task, const resources &reserved);

} // namespace sesamespar
