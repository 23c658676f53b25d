// Computes the load of the queues that the leader publishes to the other daemons. No queue refuses jobs because of it
// at present.
#pragma once

#include "request/cell_load.h"
#include "term/cell_state.h"

namespace sesamespar {

/// Counts the waiting jobs of each queue.
cell_load countLoad(const cell_state &state);

} // namespace sesamespar
