// Dispatch of requests to the placement advisor. The advisor serves one call at a time for each calling machine, so the
// leader distributes its requests over all daemons by the remaining time of the requests already sent to each.
#pragma once

#include "term/cell_leader.h"
#include "term/job_placement.h"

namespace sesamespar {

/// Number of usable daemons without a request in progress.
advice_capacity adviceCapacity(const cell_leader &leader, const clock_reading &now);

/// Sends a request through the daemon with the smallest backlog. It is repeated through more daemons while none
/// responds.
void requestAdvice(const std::shared_ptr<cell_leader> &leader, advice_request request, const clock_reading &now);

/// Handles the response of another daemon.
void handleProxyResponse(cell_leader &leader, const advice_proxy_response &response, const clock_reading &now);

/// Handles the response of another daemon or of the advisor itself.
void handleAdviceResponse(cell_leader &leader,
                          correlation_id correlation,
                          const result<advice_response> &response,
                          const clock_reading &now);

/// Repeats requests whose responses are overdue, and gives those up that were repeated often.
void expireAdviceRequests(cell_leader &leader, const clock_reading &now);

/// Notes whether the daemon at an address can be reached. Requests that wait for an unreachable one are repeated.
void setProxyReachable(cell_leader &leader, const address &at, bool reachable, const clock_reading &now);

} // namespace sesamespar
