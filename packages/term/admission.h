// Admission: which jobs may enter the queues. A job that could never run is refused for good, one that finds a queue
// full is told when to come back.
#pragma once

#include "term/scheduler.h"

namespace sesamespar {

/// Decides whether a job may enter. Does not change the state.
admission_verdict decideAdmission(const scheduler &state, const job_offer &job);

} // namespace sesamespar
