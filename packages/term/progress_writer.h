// Writes the progress of jobs to the store, many jobs in one transaction that is conditional on the leader's term. A
// run is started, and the end of a run is acknowledged to the worker, only after the transaction with it was applied.
#pragma once

#include "term/cell_leader.h"

namespace sesamespar {

/// Schedules the write of changed progress, after a short delay that collects further changes.
void writeChanges(const std::shared_ptr<cell_leader> &leader, const clock_reading &now);

} // namespace sesamespar
