// A daemon of a cell: it takes callers' requests, takes part in the elections, asks the advisor for the leader, and
// leads when it is elected. Runs on the control thread.
#pragma once

#include "process/cell_election.h"
#include "process/job_intake.h"
#include "process/job_relay.h"
#include "process/status_queries.h"
#include "term/cell_leader.h"

#include <atomic>

namespace sesamespar {

/// The daemon. The context outlives it.
struct cell_daemon {
    explicit cell_daemon(cell_context &cellContext)
        : context(cellContext)
    {
    }

    cell_context &context;
    cell_configuration_ptr configuration; ///< Newest valid version; null before the first.
    follow_handle configurationFollower;
    std::shared_ptr<store_mirror> cellKeys;
    std::shared_ptr<cell_election> election;
    std::shared_ptr<cell_leader> leader; ///< Null unless this daemon leads.
    std::shared_ptr<job_intake> intake;
    std::shared_ptr<status_queries> statuses;
    std::shared_ptr<job_relay> relay;
    std::optional<daemon_id> leaderName; ///< Holder of the leader's key, if it is known.
    cell_load load;
    std::map<daemon_id, address> daemons;

    store_lease registration;
    timer registrationTimer;
    bool draining = false;
    time_point drainSince; ///< In uptime.
    timer drainTimer;
    std::size_t openRequests = 0; ///< Callers' requests that are not answered yet.
    bool finished = false; ///< The process may end.
    std::atomic<bool> ready = false; ///< Takes new connections.
};

/// Starts all parts.
std::unique_ptr<cell_daemon> startCellDaemon(cell_context &context);

/// Begins to stop: hands over the term, then serves what callers still send until it is time to end.
void drainCellDaemon(cell_daemon &daemon, const clock_reading &now);

/// Runs after each batch of events.
void settleCellDaemon(cell_daemon &daemon, const clock_reading &now);

} // namespace sesamespar
