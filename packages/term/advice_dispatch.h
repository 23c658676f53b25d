// Questions to the placement advisor. The advisor serves one call at a time for each machine that calls, so the
// leader spreads its questions over all daemons, by the time that those handed over before still need.
#pragma once

#include "term/cell_leader.h"
#include "term/job_placement.h"

namespace sesamespar {

/// Daemons that have no question under way.
advice_capacity adviceCapacity(const cell_leader &leader, const clock_reading &now);

/// Hands a question to the daemon with the least left to do.
void requestAdvice(const std::shared_ptr<cell_leader> &leader, advice_request request, const clock_reading &now);

/// Takes the answer that another daemon, or the advisor itself, has sent.
void takeAdviceResponse(cell_leader &leader,
                        correlation_id correlation,
                        const result<advice_answer> &answer,
                        const clock_reading &now);

/// Gives up questions whose answer is overdue.
void expireAdviceRequests(cell_leader &leader, const clock_reading &now);

} // namespace sesamespar
