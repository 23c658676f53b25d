// Decides on which workers waiting tasks are placed, and which requests to the advisor this needs.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// Number of requests that the advisor can accept at present. It serves one call at a time for each calling machine, so
/// a request that waits at the advisor delays more urgent ones that arrive later.
struct advice_capacity {
    std::size_t free = 0; ///< Machines without a request in progress.
    std::size_t freeForLong = 0; ///< How many of these may send a long request.
    std::size_t machines = 0; ///< Machines that can call the advisor at all.
};

/// True if the requests of a queue are long, whatever number of workers they name. Long requests may use a part of the
/// advisor's machines only, so that they delay no short ones.
bool takesLong(const advice_timing &timing);

/// Actions that result from a placement pass.
struct placement_outcome {
    std::vector<placed_run *> placed; ///< Each must be written to the store before its start is sent.
    std::vector<advice_request> adviceRequests;
};

/// Places waiting tasks in the order of their value to the callers: jobs that can meet their objective before late
/// ones, urgent queues before others, then those with the least time left. Capacity for a step whose tickets are
/// requested is not given to later steps. Issues no more requests than the advisor can accept.
placement_outcome placeWaiting(cell_state &state, advice_capacity capacity, const clock_reading &now);

/// Applies a response of the advisor. The validity of the tickets is counted from `sentAt`.
void applyAdvice(cell_state &state, const advice_request &request, const advice_response &response, time_point sentAt);

/// Handles a request that got no response; the next one for the step may be sent from `nextAdviceAt` on.
void onAdviceFailed(cell_state &state, const advice_request &request, time_point nextAdviceAt);

} // namespace sesamespar
