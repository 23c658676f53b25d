// A daemon of a cell: it serves callers' requests, takes part in leader elections, acts as an advice proxy for the
// leader, and leads when it is elected. Runs on the control thread.
#pragma once

#include "process/cell_election.h"
#include "process/job_intake.h"
#include "process/job_relay.h"
#include "process/payload_cache.h"
#include "process/status_queries.h"
#include "process/worker_executor.h"
#include "term/cell_leader.h"

#include <atomic>
#include <set>

namespace sesamespar {

/// State of a daemon. The context must outlive it.
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
    std::shared_ptr<status_queries> statusQueries;
    std::shared_ptr<job_relay> relay;
    std::shared_ptr<worker_executor> executor;
    std::shared_ptr<payload_cache> payloads;
    std::optional<daemon_id> leaderName; ///< Holder of the leader's key, if known.
    cell_load load;
    /// When the load was received, in uptime. Empty for the value that the store had when this process began, which may
    /// be old.
    std::optional<time_point> loadAt;
    bool keysListed = false; ///< The cell's keys have been listed since the process began.
    std::map<daemon_id, address> daemons;
    std::set<address> unreachablePeers; ///< Addresses whose links pass nothing.

    store_lease registration;
    timer registrationTimer;
    bool draining = false;
    time_point drainSince; ///< In uptime.
    timer drainTimer;
    std::size_t openRequests = 0; ///< Callers' requests without an answer yet.
    bool finished = false; ///< The daemon has finished draining, and the process may exit.
    std::atomic<bool> ready = false; ///< The daemon accepts new connections.
};

/// Starts the daemon: joins the elections and follows the configuration and the cell's keys.
std::unique_ptr<cell_daemon> startCellDaemon(cell_context &context);

/// Starts a graceful shutdown: ends the term and the registration, then serves callers until the drain time is over
/// and no request is open. Does nothing if the daemon is already draining.
void drainCellDaemon(cell_daemon &daemon, const clock_reading &now);

/// Gives up the term that this daemon leads, if any. The state of a term is rebuilt from the store and the workers by
/// the next one.
void abandonTerm(cell_daemon &daemon, const char *reason);

/// Notes that the link to a peer passes nothing, or that it passes data again.
void setPeerReachable(cell_daemon &daemon, const address &peer, bool reachable, const clock_reading &now);

/// Runs after each batch of events: lets the job intake and the leader act on them and updates `ready`.
void settleCellDaemon(cell_daemon &daemon, const clock_reading &now);

} // namespace sesamespar
