// What the leader tells the other daemons about the queues: how much waits. No queue turns jobs away by it at present.
#pragma once

#include "request/cell_load.h"
#include "term/cell_state.h"

namespace sesamespar {

/// Counts what waits in each queue.
cell_load countLoad(const cell_state &state);

} // namespace sesamespar
