// Computes the load of the queues that the leader publishes to the other daemons, which refuse jobs because of it.
#pragma once

#include "request/cell_load.h"
#include "term/cell_state.h"

namespace sesamespar {

/// Counts the waiting jobs of each queue.
cell_load countLoad(const cell_state &state);

/// Adds the backlog of each full pool of workers, so that front ends can refuse jobs that would be completed too late.
/// Adds nothing unless the policy for overload is in force.
void addBacklog(cell_load &load, cell_state &state, const clock_reading &now);

} // namespace sesamespar
