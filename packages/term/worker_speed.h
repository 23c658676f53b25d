// Detects workers on which work makes no progress or runs several times slower than elsewhere, from the completed
// shares of work in their reports, and moves their runs.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// Completed share of the work of a run in a report.
struct reported_percent {
    placed_run *run = nullptr;
    int percent = 0;
};

/// Updates the speed of a worker from the shares of one report. A slow worker gets only one new run at a time, and its
/// runs that would end sooner elsewhere are stopped.
void assessSpeed(cell_state &state,
                 cell_worker &worker,
                 const std::vector<reported_percent> &reported,
                 const clock_reading &now);

} // namespace sesamespar
