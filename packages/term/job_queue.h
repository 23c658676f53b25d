// Queues of waiting jobs. Jobs of a team and kind with the same need share a lane, because either all of them fit
// somewhere or none does. A lane that does not fit is left out until capacity that could help it becomes free.
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

/// Why a lane cannot be served.
enum class block_reason {
    None,
    NoFit, ///< No worker has room.
    Quota, ///< The team holds its quota.
    Cap, ///< The kind holds its cap.
    Guarantee, ///< The rest of the capacity is guaranteed to other kinds.
};

/// A job with waiting or placed tasks.
struct job_state {
    job_offer offer;
    std::int64_t arrival = 0; ///< Order in the queue.
    time_point since; ///< When it began to wait.
    std::uint32_t preempting = 0; ///< Tasks with a decided preemption that was not carried out yet.
    boost::container::flat_set<task_index, std::greater<>> waiting; ///< The lowest index is served first.
    boost::container::flat_map<task_index, std::unique_ptr<held_task>> placed;
    boost::container::flat_map<const rack_state *, std::uint32_t> racks; ///< Placed tasks on each rack.
    job_lane *lane = nullptr; ///< Lane that it waits in.
    auto_list_hook inLane;
};

/// Jobs of one team, kind and need, in the order of arrival.
struct job_lane {
    team_queue *queue = nullptr;
    work_id work;
    resources declared;
    resources need; ///< Declared need, raised by what was learned about the work.
    milliseconds runTime{0};
    boost::intrusive::list<job_state,
                           boost::intrusive::member_hook<job_state, auto_list_hook, &job_state::inLane>,
                           boost::intrusive::constant_time_size<false>>
        jobs;
    block_reason blocked = block_reason::None;
    time_point retryAt; ///< When a blocked lane is tried again even if no capacity became free.
    time_point progressAt; ///< When a task of it was placed last.
    std::size_t waiting = 0; ///< Tasks.
    std::uint32_t preempting = 0; ///< Tasks that preemptions make room for.
    std::uint64_t wokenAt = 0; ///< Count of releases when it was made ready by one last.
    time_point nextPreemption; ///< When victims are looked for again after none were found.
    std::pair<std::int64_t, std::int64_t> rank; ///< Run time if the shortest goes first, then arrival of the head.
    set_hook inQueue; ///< Linked while it has jobs and is not blocked.
    auto_list_hook inBlocked;
};

struct lane_before {
    bool operator()(const job_lane &left, const job_lane &right) const
    {
        return std::tie(left.rank, left.work) < std::tie(right.rank, right.work);
    }
};

/// Work, declared need and, for gangs, number of tasks.
using lane_key = std::tuple<work_id, std::int64_t, std::int64_t, std::int64_t, std::uint32_t>;

/// What one team holds and may hold.
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
    resources used; ///< Held by placed tasks.
    std::size_t waiting = 0; ///< Tasks.
    resources waitingNeed; ///< Declared need of all waiting tasks.
    std::map<lane_key, job_lane> lanes;
    boost::intrusive::multiset<job_lane,
                               boost::intrusive::member_hook<job_lane, set_hook, &job_lane::inQueue>,
                               boost::intrusive::compare<lane_before>,
                               boost::intrusive::constant_time_size<false>>
        ready;
    std::pair<std::int64_t, std::uint64_t> share; ///< Weighted share of the fleet, then when it was served last.
    std::uint64_t served = 0;
    set_hook inClass; ///< Linked while it has ready lanes.
};

struct queue_before {
    bool operator()(const team_queue &left, const team_queue &right) const
    {
        return std::tie(left.share, left.team, left.kind) < std::tie(right.share, right.team, right.kind);
    }
};

/// Queues of all teams whose kind has the same priority, the one furthest below its share first.
using priority_class =
    boost::intrusive::multiset<team_queue,
                               boost::intrusive::member_hook<team_queue, set_hook, &team_queue::inClass>,
                               boost::intrusive::compare<queue_before>,
                               boost::intrusive::constant_time_size<false>>;

using blocked_lanes =
    boost::intrusive::list<job_lane,
                           boost::intrusive::member_hook<job_lane, auto_list_hook, &job_lane::inBlocked>,
                           boost::intrusive::constant_time_size<false>>;

/// Queue of a team and kind, made if there is none.
team_queue &queueOf(scheduler &state, const team_id &team, work_kind kind);

/// Adds a job with waiting tasks to its lane; one that has run before goes first.
void pushJob(scheduler &state, job_state &job);

/// Notes that `tasks` more (or, if negative, fewer) tasks of a job wait.
void countWaiting(scheduler &state, job_state &job, std::int64_t tasks);

/// Takes a job out of its lane.
void pullJob(scheduler &state, job_state &job);

/// Brings the place of a lane, and of its queue, in line with its jobs and whether it is blocked.
void relinkLane(scheduler &state, job_lane &lane);

/// Brings a queue's place among the queues of its priority in line with its use.
void relinkQueue(scheduler &state, team_queue &queue);

/// Leaves a lane out until it is unblocked.
void blockLane(scheduler &state, job_lane &lane, block_reason reason, time_point now);

/// Makes a lane ready again.
void unblockLane(scheduler &state, job_lane &lane);

/// Notes that a worker has room that blocked lanes may use.
void noteFreed(scheduler &state, worker_state &worker);

/// Makes the blocked lane ready again that is to be served first among those that freed capacity helps. Waking one
/// lane at a time keeps the others from being tried in vain for the place that it takes.
void wakeBlockedLane(scheduler &state);

/// Makes all lanes ready again, after a change that may help any of them.
void unblockAll(scheduler &state);

} // namespace sesamespar
