// Calls to the workers: polls that renew the leases of what runs and bring its ends, starts and stops. An order
// without an answer may be carried out later, so it is repeated or undone until the worker has answered.
#pragma once

#include "term/cell_leader.h"

namespace sesamespar {

/// Begins to follow the list of workers and to poll them.
void followWorkers(const std::shared_ptr<cell_leader> &leader);

/// Sends the start of a run that is noted in the store.
void sendStart(const std::shared_ptr<cell_leader> &leader, placed_run &run, const clock_reading &now);

/// Sends the stops that were requested, and withdraws runs that were never sent.
void sendStops(const std::shared_ptr<cell_leader> &leader, const clock_reading &now);

/// Ends the runs of workers that were not reached for so long that nothing can run on them any more.
void endExpiredRuns(cell_leader &leader, const clock_reading &now);

/// The worker with that id, added if the term does not know it yet. What earlier leaders started or extended may run
/// on an added worker for a while, also if it is never reached.
cell_worker &findOrAddWorker(cell_leader &leader, const worker_id &id);

} // namespace sesamespar
