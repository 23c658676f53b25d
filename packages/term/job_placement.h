// Decides which waiting tasks are placed on which workers, and about which workers the advisor has to be asked.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// What has to follow from a pass.
struct placement_outcome {
    std::vector<placed_run *> placed; ///< Each has to be noted in the store before its start is sent.
    std::vector<advice_question> questions;
};

/// Places what waits, in the order of what it is worth to the callers: jobs that can meet their objective before
/// late ones, urgent queues before others, those with the least time left first. Room that a step will take once its
/// tickets have come is not given to steps behind it.
placement_outcome placeWaiting(cell_state &state, const clock_reading &now);

/// Takes an answer of the advisor. `lifetime` is that of the tickets, counted from `sentAt` on.
void takeAdvice(cell_state &state, const advice_question &question, const advice_answer &answer, time_point sentAt);

/// Notes that a question got no answer, and when it may be asked again.
void adviceFailed(cell_state &state, const advice_question &question, time_point askAgainAt);

} // namespace sesamespar
