// Explanations for callers and operators why work waits or cannot run.
#pragma once

#include "term/scheduler.h"

namespace sesamespar {

/// Formats an amount, for example "2.5 cores, 512 MiB, 1 accelerator". Memory and accelerators are omitted if they are
/// zero.
std::string describe(const resources &amount);

/// Describes the part of the need that exceeds every worker's usable capacity, for example "it needs 4 accelerators,
/// the most a worker holds is 2".
std::string largestShortfall(const scheduler &state, const resources &need);

/// Reason why a job waits, in one sentence; empty if it does not wait.
std::string describeWait(const scheduler &state, const job_id &job);

} // namespace sesamespar
