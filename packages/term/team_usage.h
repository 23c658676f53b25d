// Use of capacity by teams and kinds, and the limits on it: quotas, caps, guarantees and weighted shares.
#pragma once

#include "term/job_queue.h"

#include <string>

namespace sesamespar {

/// Updates weight and quota of a queue's team from the current configuration.
void applyTeamSettings(scheduler &state, team_queue &queue);

/// Dominant share of a queue: the share of the fleet that is reserved for its tasks in the dimension where it is
/// largest, in billionths, divided by the weight of the team.
std::int64_t weightedShare(const scheduler &state, const team_queue &queue);

/// Adds `amount`, which may be negative, to the use of a queue, its team and its kind.
void addUsage(scheduler &state, team_queue &queue, const resources &amount);

/// Updates start rates and recent demand of all kinds to `now`.
void updateDemand(scheduler &state, time_point now);

/// Returns the limit that keeps `tasks` tasks of that need from being placed now, or None.
block_reason checkLimits(const scheduler &state, const team_queue &queue, const resources &need, std::int64_t tasks);

/// True if a kind still has its guaranteed share after the preemptions under way and one more preemption, which
/// releases `less`.
bool keepsGuarantee(const scheduler &state, work_kind kind, const resources &less);

/// True if `tasks` more tasks of that need are within the team's quota.
bool quotaCanHold(const team_queue &queue, const resources &need, std::int64_t tasks);

/// True if that many millicores are within the cap of the kind.
bool capCanHold(const scheduler &state, work_kind kind, std::int64_t processors);

} // namespace sesamespar
