// Interface to the placement advisor, which decides which workers may run a step of a job and issues tickets for
// them. The advisor serves one call at a time for each calling machine.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <functional>
#include <vector>

namespace sesamespar {

/// Maximum number of workers in one request.
constexpr std::size_t maxAdviceWorkers = 100;

/// Identifies a step of a job.
struct job_step_id {
    job_key job;
    std::uint32_t step = 0;

    auto operator<=>(const job_step_id &) const = default;
};

/// Request to find out which of these workers may run the step.
struct advice_request {
    job_step_id step;
    std::vector<worker_id> workers;
    std::uint32_t number = 0; ///< Among the requests for the step; not sent to the advisor.
};

/// A worker that may run the step, with its ticket.
struct advised_worker {
    worker_id worker;
    advice_ticket ticket;
};

/// Response of the advisor: the requested workers that may run the step.
struct advice_response {
    std::vector<advised_worker> suitable;
};

/// Times of a call to the advisor.
struct advice_call_times {
    milliseconds expected{0}; ///< A response is overdue afterwards; the connection may pass nothing.
    milliseconds longest{0}; ///< Bounds the whole call.
};

/// Time beyond the expected one for which a call continues, because a late response still counts.
constexpr milliseconds adviceLateness{3000};

/// Calls to the advisor. Errors: Overloaded if too many calls wait at the advisor, otherwise those of any HTTP call.
struct advice_port {
    std::function<void(const advice_request &, advice_call_times times, std::function<void(result<advice_response>)>)>
        callAdvisor;
};

} // namespace sesamespar
