// The placement advisor: knows which workers may run a step of a job, and gives tickets for them. It serves one
// call at a time for each machine that calls it.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <functional>
#include <vector>

namespace sesamespar {

/// Most workers in one question.
constexpr std::size_t maxAdviceWorkers = 100;

/// A step of a job.
struct job_step_id {
    job_key job;
    std::uint32_t step = 0;

    auto operator<=>(const job_step_id &) const = default;
};

/// Which of these workers may run the step?
struct advice_request {
    job_step_id step;
    std::vector<worker_id> workers;
};

/// A worker that may run the step, with its ticket.
struct advised_worker {
    worker_id worker;
    advice_ticket ticket;
};

/// The answer: those of the workers asked about that may run the step.
struct advice_answer {
    std::vector<advised_worker> suitable;
};

/// Asks the advisor. Errors: Overloaded if too many calls wait there, otherwise as for any HTTP call.
struct advice_port {
    std::function<void(const advice_request &, milliseconds limit, std::function<void(result<advice_answer>)>)>
        callAdvisor;
};

} // namespace sesamespar
