// Admission control of jobs. A job that can never run is refused permanently. A job that exceeds a queue limit is
// refused with a delay after which the caller may retry.
#pragma once

#include "term/scheduler.h"

namespace sesamespar {

/// Decides whether a job may enter the queue of its team and kind. See admit().
admission_verdict decideAdmission(const scheduler &state, const job_offer &job);

} // namespace sesamespar
