// What follows from a worker's report: which runs are under way, which are over, and which must not be there.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// A run that a worker reports and that this term did not place there. It has to be stopped.
struct orphan_run {
    run_task task;
    run_number run;
};

/// Takes a report. `sentAt` is when the poll was sent, in uptime: a run that is missing is over only if the last
/// order about it was answered before. Returns the runs that must be stopped.
std::vector<orphan_run> applyReport(
    cell_state &state, cell_worker &worker, const worker_report &report, time_point sentAt, const clock_reading &now);

/// Takes note of another life of the worker. What ran in the earlier one is over, but an order that was under way may
/// have reached the new life; the next report tells.
void beginWorkerIncarnation(cell_state &state, cell_worker &worker, worker_incarnation incarnation);

/// Moves the worker's seen ends on over all ends whose changes are stored.
void advanceSeenEnds(cell_state &state, cell_worker &worker);

} // namespace sesamespar
