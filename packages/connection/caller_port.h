// Requests of callers to a cell and the answers to them, independent of their encoding.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "request/job_progress.h"
#include "request/stepped_job.h"

#include <algorithm>
#include <functional>
#include <string>
#include <variant>

namespace sesamespar {

/// Part of a caller's timeout that is reserved for the transfer of the answer.
constexpr milliseconds answerMargin{250};

/// Time within which an answer must be ready to reach a caller with that timeout; at least 1 ms.
constexpr milliseconds timeToAnswer(milliseconds timeout)
{
    return std::max(timeout - answerMargin, milliseconds(1));
}

/// Submits a job.
struct submit_call {
    stepped_job job;
    std::string problem; ///< Why the body is not a valid job, or empty. An unknown queue takes precedence.
};

/// Queries the state of a job.
struct status_call {
};
/// Cancels a job.
struct cancel_call {
};

/// Queries the number of waiting jobs of a queue.
struct count_call {
};

/// A request of a caller. Host and path select the queue; the rest of the path is the key of the job.
struct caller_request {
    std::string host; ///< Without port.
    std::string path;
    api_key key; ///< Empty if the request carries none.
    milliseconds timeout{0}; ///< How long the caller waits for the answer.
    std::variant<status_call, submit_call, cancel_call, count_call> call;
};

/// The job is stored and will run.
struct job_accepted {
};
/// The state of a job.
struct job_status {
    job_phase phase = job_phase::Queued;
};
/// The job is cancelled.
struct job_cancelled {
};
/// Number of jobs of the queue that have no started task.
struct queue_count {
    std::uint64_t pending = 0;
};
/// No queue is configured for the host and path.
struct no_such_queue {
};
/// The queue is not public and the request carries no API key that is valid for it.
struct key_rejected {
};
/// The job does not exist.
struct no_such_job {
};
/// Why a call was refused.
enum class refusal_cause {
    Unavailable, ///< The daemon cannot serve the call, for example because the store is down.
    Load, ///< The cell or the organisation has too much work.
};

/// The call had no effect and will have none; the caller may retry after `retryAfter`.
struct call_refused {
    std::string reason;
    milliseconds retryAfter{0};
    refusal_cause cause = refusal_cause::Unavailable;
};
/// The call may or may not have taken effect; the caller should query the job again.
struct outcome_unknown {
    std::string reason;
};
/// The request is invalid; a retry cannot succeed.
struct call_malformed {
    std::string problem;
};

/// Answer to any call.
using caller_answer = std::variant<job_accepted,
                                   job_status,
                                   job_cancelled,
                                   queue_count,
                                   no_such_queue,
                                   key_rejected,
                                   no_such_job,
                                   call_refused,
                                   outcome_unknown,
                                   call_malformed>;

/// Called once with the answer.
using caller_done = std::function<void(const caller_answer &)>;

} // namespace sesamespar
