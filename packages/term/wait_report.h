// Log lines that say what long-waiting steps wait for.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// Logs, for up to some of the steps that have waited longest without a run, which workers they know of, how much of
/// that is free, and what they wait for.
void logWaitingSteps(cell_state &state, const clock_reading &now);

} // namespace sesamespar
