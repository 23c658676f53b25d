// Worker health: quarantines workers on which tasks fail repeatedly, and detects work that fails on any worker.
#pragma once

#include "term/scheduler.h"

namespace sesamespar {

/// Updates the health of a worker and a work after a task ended. Returns true if the quarantine of a worker began or
/// ended.
bool updateHealth(scheduler &state, const work_id &work, const worker_id &worker, bool succeeded, time_point now);

/// Ends expired quarantines. The workers are on probation, with one task at a time, until a task succeeds.
void endQuarantines(scheduler &state, time_point now);

/// Returns the workers on which the work failed since its last success, or null if there are none.
const std::vector<worker_id> *failedWorkers(const scheduler &state, const work_id &work);

} // namespace sesamespar
