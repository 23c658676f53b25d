// What callers ask of a cell and what they are told, apart from the encoding of either.
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

/// Time kept back of a caller's patience for the way of the answer.
constexpr milliseconds answerMargin{250};

/// Time within which an answer still reaches a caller who waits that long.
constexpr milliseconds timeToAnswer(milliseconds timeout)
{
    return std::max(timeout - answerMargin, milliseconds(1));
}

/// Hands in a job.
struct submit_call {
    stepped_job job;
    std::string problem; ///< Why the body is not a job; empty if it is. An unknown queue is reported before it.
};

/// Asks for a job's state, or cancels it.
struct status_call {
};
struct cancel_call {
};

/// Asks how many jobs of a queue wait.
struct count_call {
};

/// A request of a caller. The queue follows from host and path; the rest of the path is the job's key.
struct caller_request {
    std::string host; ///< Without port.
    std::string path;
    milliseconds timeout{0}; ///< How long the caller waits for the answer.
    std::variant<status_call, submit_call, cancel_call, count_call> call;
};

/// The job is stored and will be run.
struct job_accepted {
};
/// The state of a job.
struct job_status {
    job_phase phase = job_phase::Queued;
};
/// The job is cancelled.
struct job_cancelled {
};
/// Jobs of the queue of which no task has started.
struct queue_count {
    std::uint64_t pending = 0;
};
/// No queue has that host and path.
struct no_such_queue {
};
/// No such job exists.
struct no_such_job {
};
/// Nothing was done and nothing will be; come again after `retryAfter`.
struct call_refused {
    std::string reason;
    milliseconds retryAfter{0};
};
/// Whether it was done cannot be told; ask again.
struct outcome_unknown {
    std::string reason;
};
/// The request itself is wrong; it will never be accepted.
struct call_malformed {
    std::string problem;
};

/// Any answer.
using caller_answer = std::variant<job_accepted,
                                   job_status,
                                   job_cancelled,
                                   queue_count,
                                   no_such_queue,
                                   no_such_job,
                                   call_refused,
                                   outcome_unknown,
                                   call_malformed>;

/// Called once with the answer.
using caller_done = std::function<void(const caller_answer &)>;

} // namespace sesamespar
