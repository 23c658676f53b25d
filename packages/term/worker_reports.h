// Applies reports of workers: which runs are in progress, which have ended, and which are orphans.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// A run that a worker reports and that this term did not place on the worker. It must be stopped.
struct orphan_run {
    run_task task;
    run_number run;
};

/// Applies a report. `sentAt` is when the poll was sent, in uptime: a run that is missing in the report has ended only
/// if the last order about it was answered before that, and a report of another incarnation than the current one is
/// later only if the current one was known by then; otherwise the report is ignored. At most one poll of a worker is
/// open at a time. Returns the orphan runs.
std::vector<orphan_run> applyReport(
    cell_state &state, cell_worker &worker, const worker_report &report, time_point sentAt, const clock_reading &now);

/// Handles a new incarnation of the worker. The runs of the earlier incarnation have ended, but an order that was in
/// progress may have reached the new one; the next report shows which runs exist.
void beginWorkerIncarnation(cell_state &state,
                            cell_worker &worker,
                            worker_incarnation incarnation,
                            const clock_reading &now);

/// Advances the worker's `seenEnds` over all ends whose changes are stored.
void advanceSeenEnds(cell_state &state, cell_worker &worker);

} // namespace sesamespar
