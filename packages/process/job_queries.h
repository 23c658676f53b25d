// Reads the states of jobs from the store and stores cancellations, on behalf of callers.
#pragma once

#include "connection/caller_port.h"
#include "connection/cell_context.h"

namespace sesamespar {

/// Reads the state of a job: the phase in its progress, or Queued if the job is stored without progress.
void queryJob(
    cell_context &context, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now);

/// Stores the cancellation of a job. Answers no_such_job if the job is final or not stored; a job that is not stored
/// can't be stored afterwards, until its record is removed like that of a final job.
void requestCancel(
    cell_context &context, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now);

} // namespace sesamespar
