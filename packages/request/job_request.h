// Requests of callers about a job, which is one execution of declared work under an idempotency key.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace sesamespar {

/// Largest payload of a job in bytes.
constexpr std::size_t maxPayloadBytes = 16384;
/// Longest key, and longest name of a team or of work, in bytes.
constexpr std::size_t maxNameBytes = 128;
/// Longest time that a caller may ask to wait for an outcome.
constexpr milliseconds maxCallerWait{60000};

/// Expiry of jobs that have none, such as services: the end of the year 9999, the latest time in messages.
constexpr std::int64_t neverExpiresMs = 253402300799999;

/// A job as described by its caller. A request that differs in any field under the same key is a conflict.
struct job_request {
    job_id id;
    work_id work;
    utc_time expires; ///< After this time the job is never started and its outcome is discarded.
    std::uint32_t tasks = 0; ///< 0 takes the number that the work declares.
    std::string payload; ///< Opaque to the scheduler; passed to each task.

    bool operator==(const job_request &) const = default;
};

/// Submits a job and optionally waits for its outcome.
struct submit_request {
    job_request job;
    milliseconds wait{0}; ///< Longest wait for the outcome; 0 responds as soon as the job is accepted.
};

/// Queries the current state or the outcome of a job.
struct status_request {
    job_id id;
    milliseconds wait{0}; ///< Longest wait for the outcome before the response gives the current state.
};

/// Cancels a job. The response shows whether any task may have run.
struct cancel_request {
    job_id id;
};

} // namespace sesamespar
