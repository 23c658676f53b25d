// A job as the daemon that accepted it stored it.
#pragma once

#include "request/stepped_job.h"
#include "version/cell_configuration.h"

namespace sesamespar {

/// Never changes after it was stored.
struct accepted_job {
    job_key key;
    stepped_job job;
    queue_policy policy; ///< Of its queue at the time.
    utc_time acceptedAt;
};

} // namespace sesamespar
