// Relays callers' jobs to another daemon while this daemon has lost the store. Other daemons are probed periodically,
// so that a job is sent only to a daemon that is likely to answer; without such a daemon jobs are refused at once.
#pragma once

#include "connection/caller_port.h"
#include "connection/cell_context.h"
#include "request/accepted_job.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace sesamespar {

/// A job that was sent to another daemon and has no outcome yet.
struct open_relay {
    job_key key;
    caller_done done;
    time_point arrivedAt; ///< In uptime.
    time_point dueAt; ///< In uptime; from then on the outcome counts as unknown.
    milliseconds retryAfter{0}; ///< If the other daemon refuses the job.
};

/// State of the job relay of a daemon.
struct job_relay : std::enable_shared_from_this<job_relay> {
    explicit job_relay(cell_context &cellContext)
        : context(cellContext)
        , lastProbed(std::hash<daemon_id>()(cellContext.settings.name))
    {
    }

    cell_context &context;
    std::map<correlation_id, open_relay> open;
    /// Index among the other daemons, in the order of their ids, modulo their number. Begins at another one for each
    /// daemon, since all that have lost the store would relay to the same one otherwise.
    std::size_t lastProbed;
    std::optional<address> relayPeer; ///< Daemon that last offered to store jobs.
    time_point offeredAt; ///< In uptime.
    timer probeTimer;
    timer expiryTimer;
};

/// Probes for a daemon that can store jobs, if the next probe is due. `daemons` are all daemons of the cell. Called
/// after each batch of events while the store is lost.
void probeRelayPeers(const std::shared_ptr<job_relay> &relay,
                     const std::map<daemon_id, address> &daemons,
                     const clock_reading &now);

/// Handles the reply to a probe.
void onRelayOffer(job_relay &relay, const relay_offer &offer, const clock_reading &now);

/// True if the last offer is recent enough to relay jobs to its sender, whose link passes data. `unreachablePeers` are
/// the addresses whose links pass nothing.
bool canRelay(const job_relay &relay, const std::set<address> &unreachablePeers, const clock_reading &now);

/// Sends a job to the daemon of the last offer; canRelay() must hold. Without a reply in time the outcome is unknown. A
/// job that did not leave the process, or that the other daemon refuses, is refused with `retryAfter`.
void relayJob(const std::shared_ptr<job_relay> &relay,
              const accepted_job &job,
              milliseconds timeout,
              milliseconds retryAfter,
              caller_done done,
              const clock_reading &now);

/// Handles the outcome of a relayed job.
void onRelayOutcome(job_relay &relay, const relay_outcome &outcome, const clock_reading &now);

} // namespace sesamespar
