// Sentences for callers and operators about why work waits or cannot run.
#pragma once

#include "term/scheduler.h"

namespace sesamespar {

/// Amount in words, for example "2.5 cores, 512 MiB, 1 accelerator"; absent parts are left out.
std::string describe(const resources &amount);

/// Which part of the need no worker holds even when it is empty, for example "it needs 4 accelerators, the most a
/// worker has is 2".
std::string largestShortfall(const scheduler &state, const resources &need);

/// Why a job waits, in one sentence; empty if it does not wait.
std::string describeWait(const scheduler &state, const job_id &job);

} // namespace sesamespar
