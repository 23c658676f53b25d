// State of a scheduler. It is shared by the source files that implement the parts of its decisions.
#pragma once

#include "term/fleet_index.h"
#include "term/job_queue.h"
#include "term/placement_policy.h"

#include <array>
#include <limits>
#include <map>
#include <unordered_map>

namespace sesamespar {

/// Measured use and failures of one work, over all its jobs.
struct work_state {
    resources peak; ///< Highest recent use of one task; decays slowly.
    std::vector<worker_id> failedOn; ///< Distinct workers on which it failed since its last success.
    bool faulty = false; ///< It fails on any worker, so its failures do not count against workers.
};

/// Amounts in the dimensions in which a share of the fleet is guaranteed to kinds: millicores, mebibytes and slots.
using dimension_amounts = std::array<std::int64_t, 3>;

/// Use and demand of one kind.
struct kind_state {
    resources used;
    std::size_t tasks = 0; ///< Number of placed tasks.
    std::size_t waiting = 0; ///< Number of waiting tasks.
    dimension_amounts demand{}; ///< Highest recent use plus waiting need; decays within about a minute.
    resources preempting; ///< Part of `used` that preemptions under way will free.
    std::size_t preemptingTasks = 0;
    double startsPerSecond = 0; ///< Moving average.
    std::uint64_t started = 0; ///< Number of placements since the rate was last computed.
};

/// Workers that are reserved for a starved job.
struct capacity_reservation {
    job_state *job = nullptr; ///< Null if there is no reservation.
    time_point since;
    std::vector<worker_state *> workers;
    time_point nextTry; ///< Earliest time of the next attempt to reserve workers.
};

/// Usable processors, memory and accelerators of a worker; equal capacities are counted together.
using capacity_key = std::tuple<std::int64_t, std::int64_t, std::int64_t>;

struct scheduler {
    configuration_ptr settings;
    placement_policy policy;
    std::map<worker_id, worker_state> workers;
    std::map<rack_id, rack_state> racks;
    std::vector<rack_state *> rackOrder;
    std::size_t rackCursor = 0;
    std::map<capacity_key, std::uint32_t> shapes; ///< Usable capacities of all workers, placeable or not.
    fleet_index index; ///< Placeable workers that are not reserved for a starved job.
    fleet_index reservedIndex; ///< Placeable workers of the capacity reservation.
    resources capacity; ///< Usable capacity of placeable workers.
    resources reserved; ///< On placeable workers.
    std::size_t slots = 0; ///< On placeable workers.
    std::size_t slotsTaken = 0; ///< Tasks on placeable workers.
    resources reservedEverywhere;
    std::size_t placeableWorkers = 0;
    std::size_t quarantinedWorkers = 0;
    std::size_t placedTasks = 0;
    std::unordered_map<job_id, job_state> jobs;
    std::map<std::pair<work_kind, team_id>, team_queue> queues;
    std::array<priority_class, 10> classes;
    blocked_lanes blocked;
    std::uint64_t releases = 0; ///< Number of releases of capacity that blocked lanes may use.
    bool released = false; ///< Blocked lanes were not yet checked against the released capacity.
    std::vector<worker_state *> freed; ///< Workers with released capacity.
    std::map<team_id, team_state> teams;
    std::array<kind_state, allWorkKinds.size()> kinds;
    std::map<work_id, work_state> work;
    /// Candidates for preemption, by priority of the kind (0 to 9) and number of preemptions of the job (7 and more
    /// together). The most recently placed task is first.
    std::array<
        std::array<boost::intrusive::list<
                       scheduled_task,
                       boost::intrusive::member_hook<scheduled_task, task_list_hook, &scheduled_task::victimHook>,
                       boost::intrusive::constant_time_size<false>>,
                   8>,
        10>
        victims;
    capacity_reservation capacityReservation;
    time_point nextHealthCheck;
    std::int64_t arrivals = 0;
    std::uint64_t placements = 0;
    time_point ratesUpdatedAt; ///< When rates and demand were last computed.
};

/// Recomputes whether a worker may get tasks, and the totals that depend on it, and unblocks all lanes.
void refreshWorker(scheduler &state, worker_state &worker);

/// Moves a placeable worker to the index that it belongs to, or removes it from its index if it is not placeable.
void reindexWorker(scheduler &state, worker_state &worker);

/// Places a task on a worker and reserves `need` for it there.
scheduled_task &
reserveTask(scheduler &state, job_state &job, task_index index, worker_state &worker, const resources &need);

/// Replaces the placement policy, so that benchmarks can compare several.
void applyPlacementPolicy(scheduler &state, const placement_policy &policy);

/// Releases the capacity of a placed task and destroys the task.
void unreserveTask(scheduler &state, scheduled_task &task);

/// Changes the capacity that is reserved for a placed task.
void resizeTask(scheduler &state, scheduled_task &task, const resources &reserved);

} // namespace sesamespar
