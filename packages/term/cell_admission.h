// Decides which queues turn new jobs away, because what they have accepted already uses up the room until the new
// jobs could no longer be served in time.
#pragma once

#include "request/cell_load.h"
#include "term/cell_state.h"

namespace sesamespar {

/// Counts what waits and judges each queue.
cell_load judgeLoad(const cell_state &state, const clock_reading &now);

} // namespace sesamespar
