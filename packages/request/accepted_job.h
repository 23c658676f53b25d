// An accepted job as its daemon stores it in the platform's store.
#pragma once

#include "request/stepped_job.h"
#include "version/cell_configuration.h"

#include <optional>

namespace sesamespar {

/// Immutable once stored.
struct accepted_job {
    job_key key;
    stepped_job job;
    queue_policy policy; ///< Policy of the job's queue at acceptance.
    utc_time acceptedAt;
    organisation_id organisation; ///< Empty in a cell without organisations and for a job of a public queue.
    /// Daemon that has the payload if it is stored under a key of its own; `job.payload` is empty then.
    std::optional<daemon_id> payloadHolder;
};

} // namespace sesamespar
