// Finds workers on which work stands still or runs several times slower than elsewhere, by the shares of work that
// their reports show, and moves what runs there.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// Share of its work that a run has done, in a report.
struct reported_percent {
    placed_run *run = nullptr;
    int percent = 0;
};

/// Takes the shares of one report. On a slow worker the runs that would end sooner elsewhere are stopped, and it gets
/// new runs one at a time only.
void assessSpeed(cell_state &state,
                 cell_worker &worker,
                 const std::vector<reported_percent> &reported,
                 const clock_reading &now);

} // namespace sesamespar
