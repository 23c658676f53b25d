// Answers callers who ask for the state of a job or cancel it, from what the store holds.
#pragma once

#include "connection/caller_port.h"
#include "connection/cell_context.h"

namespace sesamespar {

/// Reads the state of a job: its progress, or "queued" if it has none yet.
void queryJob(
    cell_context &context, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now);

/// Stores that the job is cancelled, unless it is final.
void requestCancel(
    cell_context &context, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now);

} // namespace sesamespar
