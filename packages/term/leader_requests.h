// Handling of job requests at the leader of the home data centre.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Handles a request that a front end forwarded. Every request is answered: with the outcome, the current state, a
/// refusal, or "not leader" if this daemon does not lead or cannot yet decide whether the job exists.
void onForwardRequest(
    leader &state, const daemon_id &frontEnd, const forward_request &request, const clock_reading &now, outbox &out);

} // namespace sesamespar
