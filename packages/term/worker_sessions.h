// Calls to the workers: polls that renew leases and report the ends of runs, starts and stops. An order without a reply
// may take effect later, so it is repeated or undone until the worker replies.
#pragma once

#include "term/cell_leader.h"

namespace sesamespar {

/// Subscribes to the list of workers and starts to poll them.
void followWorkers(const std::shared_ptr<cell_leader> &leader);

/// Sends the start of a run that is recorded in the store.
void sendStart(const std::shared_ptr<cell_leader> &leader, placed_run &run, const clock_reading &now);

/// Sends the requested stops, and withdraws runs whose start was never sent.
void sendStops(const std::shared_ptr<cell_leader> &leader, const clock_reading &now);

/// Ends the runs of workers that were unreachable for so long that all of their leases have expired.
void endExpiredRuns(cell_leader &leader, const clock_reading &now);

/// Time after which, in uptime, no lease that an earlier leader has granted is valid on any worker.
time_point earlierLeasesEndBy(const cell_leader &leader);

/// Returns the worker with that id; adds it if the term has none. Runs that earlier leaders started or extended may
/// continue on an added worker until their leases expire, even if the worker is never reached.
cell_worker &findOrAddWorker(cell_leader &leader, const worker_id &id);

} // namespace sesamespar
