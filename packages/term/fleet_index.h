// Index of workers by free capacity, so that a placement decision does not scan every worker. Workers are grouped into
// buckets by free processors and free memory, with four buckets per doubling, and into one plane per number of free
// accelerators.
#pragma once

#include "base/units.h"
#include "term/scheduler.h"

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace sesamespar {

struct fleet_index;
struct job_state;
struct scheduled_task;
struct rack_state;

using list_hook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
using task_list_hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A placed task and the capacity that is reserved for it on its worker.
struct scheduled_task {
    job_state *job = nullptr;
    task_index index;
    struct worker_state *worker = nullptr;
    resources reserved; ///< At least the declared need of the task.
    std::uint64_t placementOrder = 0; ///< Increases with each placement.
    bool preempting = false; ///< Its preemption was decided, but the task is not released yet.
    bool stopping = false; ///< It is to be stopped or checkpointed because of overuse.
    struct job_lane *preemptedFor = nullptr; ///< Lane that waits for the capacity of this task; null if none does.
    resources claimed; ///< Need of the task in that lane for which this one is preempted.
    task_list_hook workerHook;
    task_list_hook victimHook; ///< Linked while the task is a candidate for preemption.
    std::size_t victimPriority = 0; ///< First index of its list in scheduler::victims.
    std::size_t victimLevel = 0; ///< Second index of its list in scheduler::victims.
};

using worker_tasks =
    boost::intrusive::list<scheduled_task,
                           boost::intrusive::member_hook<scheduled_task, task_list_hook, &scheduled_task::workerHook>,
                           boost::intrusive::constant_time_size<false>>;

/// Failures of a worker since its last success, and its quarantine.
struct worker_health {
    std::uint32_t failures = 0;
    std::vector<work_id> failedWork; ///< Distinct names of the work that failed; bounded.
    bool quarantined = false;
    bool probation = false; ///< Released from quarantine, without a success since.
    std::uint32_t timesQuarantined = 0;
    time_point quarantinedUntil;
};

/// A worker with its reserved capacity and its tasks.
struct worker_state : list_hook {
    worker_offer offer;
    resources usable; ///< Capacity after the fleet's processor and memory limits.
    resources reserved;
    resources serviceReserved; ///< Part of `reserved` for services, which do not end by themselves.
    std::uint32_t tasks = 0;
    std::uint32_t serviceTasks = 0;
    std::uint32_t slots = 0; ///< Maximum number of concurrent tasks.
    worker_tasks running;
    worker_health health;
    rack_state *rack = nullptr;
    bool placeable = false; ///< Placeable by its offer and not quarantined.
    resources claimed; ///< Needs of waiting tasks that decided preemptions free capacity for.
    std::uint32_t claimedTasks = 0;
    bool freed = false; ///< Listed in scheduler::freed.
    bool reservedForStarved = false; ///< Part of the capacity reservation for a starved job.
    fleet_index *index = nullptr; ///< Index that contains the worker; null if it cannot get tasks.
    std::size_t plane = 0;
    std::size_t bucketIndex = 0; ///< Within the plane.
};

/// Workers of one rack.
struct rack_state {
    std::vector<worker_state *> workers;
};

/// Capacity of a worker that is not reserved.
resources freeResources(const worker_state &worker);

/// True if the worker has a free slot and enough free capacity for one task of that need.
bool hasCapacityFor(const worker_state &worker, const resources &need);

/// Number of tasks of that need that fit into `amount`, at most `slots`.
std::int64_t tasksThatFit(const resources &amount, const resources &need, std::int64_t slots);

using worker_bucket = boost::intrusive::
    list<worker_state, boost::intrusive::base_hook<list_hook>, boost::intrusive::constant_time_size<false>>;

constexpr std::size_t indexLevels = 64;

/// Buckets of the workers with the same number of free accelerators.
struct index_plane {
    std::uint64_t rows = 0; ///< Bit set of the processor levels that have workers.
    std::array<std::uint64_t, indexLevels> columns{}; ///< For each processor level, bit set of the memory levels.
    std::array<worker_bucket, indexLevels * indexLevels> buckets;
};

/// Plane 0 contains the workers without accelerators, plane n + 1 those with n free accelerators. The last plane also
/// contains all workers with more.
constexpr std::size_t indexPlanes = 16;

struct fleet_index {
    std::array<std::unique_ptr<index_plane>, indexPlanes> planes; ///< Created on first use.
};

/// Level of an amount: 0 below 64, then four levels per doubling.
std::size_t levelOf(std::int64_t amount);

/// Moves a worker to the bucket of its free capacity, or removes it from the index if it has no free slot.
void indexWorker(fleet_index &index, worker_state &worker);

/// Removes a worker from its index, if it is in one.
void unindexWorker(worker_state &worker);

} // namespace sesamespar
