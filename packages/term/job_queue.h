// Queues of waiting jobs. Jobs of one team, kind and work with the same need share a lane, because either all of them
// fit somewhere or none does. A lane that does not fit is blocked, and skipped until enough capacity for it may be
// free.
#pragma once

#include "term/fleet_index.h"

#include <boost/container/flat_map.hpp>
#include <boost/container/flat_set.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <map>
#include <memory>
#include <optional>
#include <tuple>

namespace sesamespar {

struct job_lane;
struct team_queue;

using auto_list_hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
using set_hook = boost::intrusive::set_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Why no task of a lane can be placed.
enum class block_reason {
    None,
    NoFit, ///< No worker has enough free capacity.
    Quota, ///< The quota of the team is used up.
    Cap, ///< The cap of the kind is used up.
    Guarantee, ///< The remaining capacity is guaranteed to other kinds.
};

/// A job with waiting or placed tasks.
struct job_state {
    job_offer offer;
    std::int64_t arrival = 0; ///< Sequence number; jobs that arrived earlier have lower numbers.
    time_point since; ///< When it began to wait, or when a task of it was last placed.
    std::uint32_t preempting = 0; ///< Placed tasks whose preemption was decided but is not finished.
    boost::container::flat_set<task_index, std::greater<>> waiting; ///< The lowest index is served first.
    boost::container::flat_map<task_index, std::unique_ptr<scheduled_task>> placed;
    boost::container::flat_map<const rack_state *, std::uint32_t> racks; ///< Number of placed tasks on each rack.
    job_lane *lane = nullptr; ///< Lane in which it waits; null if no task waits.
    auto_list_hook laneHook;
};

/// Waiting jobs of one team, kind, work and need, in the order of arrival.
struct job_lane {
    team_queue *queue = nullptr;
    work_id work;
    resources declared;
    resources need; ///< Declared need, raised to the measured use of the work.
    milliseconds runTime{0};
    boost::intrusive::list<job_state,
                           boost::intrusive::member_hook<job_state, auto_list_hook, &job_state::laneHook>,
                           boost::intrusive::constant_time_size<false>>
        jobs;
    block_reason blocked = block_reason::None;
    time_point retryAt; ///< When a blocked lane is retried even if no capacity was released.
    time_point progressAt; ///< When a task of the lane was last placed.
    std::size_t waiting = 0; ///< Number of tasks.
    std::uint32_t preempting = 0; ///< Waiting tasks for which preemptions are under way.
    std::uint64_t unblockedAtRelease = 0; ///< Value of scheduler::releases when a release last unblocked it.
    time_point nextPreemption; ///< Earliest time of the next search for victims, after one found none.
    std::pair<std::int64_t, std::int64_t>
        rank; ///< Run time if the order is ShortestFirst, else 0; then arrival of the first job.
    set_hook queueHook; ///< Linked while it has jobs and is not blocked.
    auto_list_hook blockedHook;
};

struct lane_less {
    bool operator()(const job_lane &left, const job_lane &right) const
    {
        return std::tie(left.rank, left.work) < std::tie(right.rank, right.work);
    }
};

/// Work, declared processors, memory and accelerators and, for gangs, number of tasks (otherwise 0).
using lane_key = std::tuple<work_id, std::int64_t, std::int64_t, std::int64_t, std::uint32_t>;

/// Capacity reserved for the tasks of one team, and its quota.
struct team_state {
    resources used;
    std::optional<resources> quota;
};

/// Waiting and running work of one team and kind.
struct team_queue {
    team_id team;
    team_state *owner = nullptr;
    work_kind kind = work_kind::Batch;
    std::uint32_t weight = 1;
    resources used; ///< Reserved for placed tasks.
    std::size_t waiting = 0; ///< Number of tasks.
    resources waitingNeed; ///< Declared need of all waiting tasks.
    std::map<lane_key, job_lane> lanes;
    boost::intrusive::multiset<job_lane,
                               boost::intrusive::member_hook<job_lane, set_hook, &job_lane::queueHook>,
                               boost::intrusive::compare<lane_less>,
                               boost::intrusive::constant_time_size<false>>
        ready;
    std::pair<std::int64_t, std::uint64_t> share; ///< Weighted share of the fleet, then `lastServed`.
    std::uint64_t lastServed = 0; ///< Value of scheduler::placements after its last placement.
    set_hook classHook; ///< Linked while it has ready lanes.
};

struct queue_less {
    bool operator()(const team_queue &left, const team_queue &right) const
    {
        return std::tie(left.share, left.team, left.kind) < std::tie(right.share, right.team, right.kind);
    }
};

/// Queues of all teams whose kind has the same priority; the queue with the lowest weighted share is first.
using priority_class =
    boost::intrusive::multiset<team_queue,
                               boost::intrusive::member_hook<team_queue, set_hook, &team_queue::classHook>,
                               boost::intrusive::compare<queue_less>,
                               boost::intrusive::constant_time_size<false>>;

using blocked_lanes =
    boost::intrusive::list<job_lane,
                           boost::intrusive::member_hook<job_lane, auto_list_hook, &job_lane::blockedHook>,
                           boost::intrusive::constant_time_size<false>>;

/// Returns the queue of a team and kind, which is created if it does not exist.
team_queue &queueOf(scheduler &state, const team_id &team, work_kind kind);

/// Adds a job with waiting tasks to its lane. A job that was preempted or has tasks that are not waiting goes to the
/// front.
void addToLane(scheduler &state, job_state &job);

/// Adds `tasks`, which may be negative, to the counts of waiting tasks of the job's lane, queue and kind.
void adjustWaiting(scheduler &state, job_state &job, std::int64_t tasks);

/// Removes a job from its lane, if it is in one.
void removeFromLane(scheduler &state, job_state &job);

/// Updates the position of a lane and of its queue after its jobs or its blocked state changed.
void updateLaneOrder(scheduler &state, job_lane &lane);

/// Updates the position of a queue within its priority class after its use changed.
void updateQueueOrder(scheduler &state, team_queue &queue);

/// Excludes a lane from scheduling until it is unblocked or its retry time is reached.
void blockLane(scheduler &state, job_lane &lane, block_reason reason, time_point now);

/// Makes a blocked lane ready again.
void unblockLane(scheduler &state, job_lane &lane);

/// Records that capacity was released on a worker, which blocked lanes may use.
void markFreed(scheduler &state, worker_state &worker);

/// Unblocks the first lane in scheduling order among those that may fit into released capacity. Only one lane is
/// unblocked per call, because the others would be tried without success for the capacity that it uses.
void unblockBestLane(scheduler &state);

/// Unblocks all lanes, after a change that may let any of them be placed.
void unblockAll(scheduler &state);

} // namespace sesamespar
