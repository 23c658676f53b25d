// An accepted job as its daemon stores it in the platform's store.
#pragma once

#include "request/stepped_job.h"
#include "version/cell_configuration.h"

namespace sesamespar {

/// Immutable once stored.
struct accepted_job {
    job_key key;
    stepped_job job;
    queue_policy policy; ///< Policy of the job's queue at acceptance.
    utc_time acceptedAt;
};

} // namespace sesamespar
