// Capacity that is kept for one job at a time that has waited too long, so that neither a large task nor a gang
// starves behind small tasks that always fit first. With a single hold two gangs cannot wait for each other.
#pragma once

#include "term/job_queue.h"

namespace sesamespar {

/// Starts a hold for the job that has gone longest without progress, if there is one and none is held yet.
void startHold(scheduler &state, time_point now);

/// Ends the hold; its workers are open to all work again.
void endHold(scheduler &state);

/// True if work of that priority must leave the held workers alone.
bool isHoldClosedTo(const scheduler &state, int priority, time_point now);

/// True if the hold has lasted so long that it also goes before guarantees and work of higher priority.
bool isHoldStrict(const scheduler &state, time_point now);

} // namespace sesamespar
