// Has another daemon store the jobs that callers hand in here while this daemon has lost the store. The other daemon
// is asked again and again whether it can, so that a job is handed over only where an answer is to be expected; without
// such a daemon jobs are refused at once.
#pragma once

#include "connection/caller_port.h"
#include "connection/cell_context.h"
#include "request/accepted_job.h"

#include <map>
#include <memory>
#include <optional>

namespace sesamespar {

/// A job that another daemon was asked to store.
struct open_relay {
    job_key key;
    caller_done done;
    time_point arrivedAt; ///< In uptime.
    time_point dueAt; ///< In uptime; then the outcome is unknown.
};

/// The relay of a daemon.
struct job_relay : std::enable_shared_from_this<job_relay> {
    explicit job_relay(cell_context &means)
        : context(means)
    {
    }

    cell_context &context;
    std::map<correlation_id, open_relay> open;
    std::size_t lastProbed = 0; ///< Position among the other daemons.
    std::optional<address> helper; ///< Daemon that has offered its help.
    time_point offeredAt; ///< In uptime.
    timer probeTimer;
    timer expiryTimer;
};

/// Looks for a daemon that can store jobs, if it is time for it. `daemons` are all of the cell. Called again and again
/// while the store is lost.
void probeHelpers(const std::shared_ptr<job_relay> &relay,
                  const std::map<daemon_id, address> &daemons,
                  const clock_reading &now);

/// Takes the answer of a daemon that was probed.
void takeOffer(job_relay &relay, const relay_offer &offer, const clock_reading &now);

/// True if a daemon has offered its help so lately that it can be counted on.
bool canRelay(const job_relay &relay, const clock_reading &now);

/// Hands a job over. Without an answer in time its outcome is unknown.
void relayJob(const std::shared_ptr<job_relay> &relay,
              const accepted_job &job,
              milliseconds timeout,
              caller_done done,
              const clock_reading &now);

/// Takes the answer about a job that was handed over.
void takeOutcome(job_relay &relay, const relay_outcome &outcome, const clock_reading &now);

} // namespace sesamespar
