// Decides which waiting tasks are placed on which workers, and about which workers the advisor has to be asked.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// Questions that the advisor can take at present. It serves one call at a time for each machine that calls, so a
/// question that waits there delays those that are more urgent but come later.
struct advice_capacity {
    std::size_t free = 0; ///< Machines that have no question under way.
    std::size_t freeForLong = 0; ///< Of these, how many may take a long question.
};

/// A question that takes longer than this is long. The quick queues' questions take 10 to 100 ms, those of the gangs
/// of large tasks 550 ms and more.
constexpr std::chrono::duration<double, std::milli> longAdvice{200};

/// Time that the advisor needs for a question about that many workers.
std::chrono::duration<double, std::milli> adviceTime(const advice_timing &terms, std::size_t workers);

/// What has to follow from a pass.
struct placement_outcome {
    std::vector<placed_run *> placed; ///< Each has to be noted in the store before its start is sent.
    std::vector<advice_question> questions;
};

/// Places what waits, in the order of what it is worth to the callers: jobs that can meet their objective before
/// late ones, urgent queues before others, those with the least time left first. Room that a step will take once its
/// tickets have come is not given to steps behind it. No more questions are put than the advisor can take.
placement_outcome placeWaiting(cell_state &state, advice_capacity capacity, const clock_reading &now);

/// Takes an answer of the advisor. `lifetime` is that of the tickets, counted from `sentAt` on.
void takeAdvice(cell_state &state, const advice_question &question, const advice_answer &answer, time_point sentAt);

/// Notes that a question got no answer, and when it may be asked again.
void adviceFailed(cell_state &state, const advice_question &question, time_point askAgainAt);

} // namespace sesamespar
