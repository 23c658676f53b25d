// Index of workers by free capacity, so that a decision does not look at every worker. Workers lie in buckets
// by free processors and memory, four buckets to each doubling, in one plane for each number of free accelerators.
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
struct held_task;
struct rack_state;

using list_hook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
using task_list_hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// A task that holds capacity on a worker.
struct held_task {
    job_state *job = nullptr;
    task_index index;
    struct worker_state *worker = nullptr;
    resources reserved; ///< At least the declared need.
    std::uint64_t placedOrder = 0; ///< Higher for tasks placed later.
    bool preempting = false; ///< A preemption was decided and the task was not released yet.
    bool stopping = false; ///< A stop or checkpoint for overuse was decided.
    struct job_lane *preemptedFor = nullptr; ///< Lane that waits for this task's capacity.
    resources promised; ///< Need of that lane's task.
    task_list_hook onWorker;
    task_list_hook onVictims; ///< Linked while the task may be preempted.
    std::size_t victimPriority = 0; ///< List of victims that it is on.
    std::size_t victimLevel = 0;
};

using worker_tasks =
    boost::intrusive::list<held_task,
                           boost::intrusive::member_hook<held_task, task_list_hook, &held_task::onWorker>,
                           boost::intrusive::constant_time_size<false>>;

/// Failures of a worker since its last success.
struct worker_health {
    std::uint32_t failures = 0;
    std::vector<work_id> failedWork; ///< Distinct names, at most a few.
    bool setAside = false;
    bool probation = false; ///< Returned after being set aside, without a success since.
    std::uint32_t timesSetAside = 0;
    time_point until; ///< End of being set aside.
};

/// A worker with its reservations.
struct worker_state : list_hook {
    worker_offer offer;
    resources usable; ///< Capacity with the limits of the fleet applied.
    resources reserved;
    resources serviceReserved; ///< Part of `reserved` held by services, which does not become free by itself.
    std::uint32_t tasks = 0;
    std::uint32_t serviceTasks = 0;
    std::uint32_t slots = 0; ///< Tasks that may run at the same time.
    worker_tasks running;
    worker_health health;
    rack_state *rack = nullptr;
    bool placeable = false; ///< Placeable by its offer and not set aside.
    resources promised; ///< Needs that decided preemptions make room for.
    std::uint32_t promisedTasks = 0;
    bool freed = false; ///< Listed among the workers with room for blocked lanes.
    bool held = false; ///< Kept for a job that waited too long.
    fleet_index *index = nullptr; ///< Index that it is in; null if it gets no tasks.
    std::size_t plane = 0;
    std::size_t cell = 0;
};

/// Workers of one rack.
struct rack_state {
    std::vector<worker_state *> workers;
};

/// What a worker has left.
resources freeOf(const worker_state &worker);

/// True if one task of that need can be added without overfilling the worker.
bool hasRoom(const worker_state &worker, const resources &need);

/// Tasks of that need that an otherwise empty amount can hold within `slots`.
std::int64_t placesIn(const resources &amount, const resources &need, std::int64_t slots);

using worker_bucket = boost::intrusive::
    list<worker_state, boost::intrusive::base_hook<list_hook>, boost::intrusive::constant_time_size<false>>;

constexpr std::size_t indexLevels = 64;

/// Buckets of the workers with the same number of free accelerators.
struct index_plane {
    std::uint64_t rows = 0; ///< Bit per processor level with workers.
    std::array<std::uint64_t, indexLevels> columns{}; ///< Bit per memory level, for each processor level.
    std::array<worker_bucket, indexLevels * indexLevels> buckets;
};

/// Plane 0 holds workers without accelerators, plane n + 1 those with n free ones; the last plane holds all above.
constexpr std::size_t indexPlanes = 16;

struct fleet_index {
    std::array<std::unique_ptr<index_plane>, indexPlanes> planes; ///< Made when first used.
};

/// Level of an amount: four levels for each doubling, from 64 on.
std::size_t levelOf(std::int64_t amount);

/// Puts a worker into the bucket of its free capacity, or takes it out if it has no free slot.
void indexWorker(fleet_index &index, worker_state &worker);

/// Takes a worker out of its index, if it is in one.
void unindexWorker(worker_state &worker);

} // namespace sesamespar
