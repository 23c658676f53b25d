// Reserves workers for a starved job, so that neither a large task nor a gang waits forever behind small tasks that
// fit first. Only one reservation exists at a time, so that two gangs cannot deadlock on each other's workers.
#pragma once

#include "term/job_queue.h"

namespace sesamespar {

/// Reserves workers for the job that has gone longest without progress. Does nothing if a reservation exists, no job is
/// starved, or too few workers are large enough.
void startCapacityReservation(scheduler &state, time_point now);

/// Ends the reservation, if there is one; its workers become available to all work.
void endCapacityReservation(scheduler &state);

/// True if work of that priority must not use the reserved workers. Also true if there is no reservation.
bool mustAvoidReservedWorkers(const scheduler &state, int priority, time_point now);

/// True if the reservation has lasted so long that it also takes precedence over guarantees and work of higher
/// priority.
bool isCapacityReservationStrict(const scheduler &state, time_point now);

} // namespace sesamespar
