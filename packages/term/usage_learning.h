// Estimates the real need of work from usage samples, and handles tasks that exceed their reservation.
#pragma once

#include "term/scheduler.h"

namespace sesamespar {

/// Declared need, raised to the measured peak use plus a margin. The declared need is returned unchanged if the raised
/// one fits on no worker or exceeds the team's quota, because the work could never run otherwise.
resources learnedNeed(const scheduler &state, const team_id &team, const work_id &work, const resources &declared);

/// Updates the peaks of the work, grows reservations where the worker has free capacity, and returns the actions
/// against tasks whose use still exceeds their reservation.
std::vector<overuse_action> learnUsage(scheduler &state, const std::vector<usage_sample> &samples);

} // namespace sesamespar
