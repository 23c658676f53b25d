// Requests about jobs as the leader of the home data centre decides them.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Handles a request that a front end sent on. Every request is answered: with the outcome, the present
/// state, a refusal, or the notice that this daemon does not lead or cannot know yet.
void onForwardRequest(
    leader &state, const daemon_id &frontEnd, const forward_request &request, const clock_reading &now, outbox &out);

} // namespace sesamespar
