// What work really uses, learned from lagging samples, and what is done about tasks that outgrow their reservation.
#pragma once

#include "term/scheduler.h"

namespace sesamespar {

/// Declared need, raised to the learned use with a margin. It is the declared need alone if the raised one fits no
/// worker or not the team's quota, because the work could never run otherwise.
resources learnedNeed(const scheduler &state, const team_id &team, const work_id &work, const resources &declared);

/// Learns from the samples, grows reservations where there is room, and returns what to do where there is none.
std::vector<overuse_action> learnUsage(scheduler &state, const std::vector<usage_sample> &samples);

} // namespace sesamespar
