// What teams and kinds hold, and the limits that follow from it: quotas, caps, guarantees and weighted shares.
#pragma once

#include "term/job_queue.h"

#include <string>

namespace sesamespar {

/// Takes weight and quota of a queue's team from the configuration in force.
void applyTeamSettings(scheduler &state, team_queue &queue);

/// Share of the fleet that a queue's tasks hold in the dimension where it is largest, in billionths, divided by the
/// weight of the team.
std::int64_t weightedShare(const scheduler &state, const team_queue &queue);

/// Adds to what a queue's team and kind hold; a negative amount takes away.
void countUse(scheduler &state, team_queue &queue, const resources &amount);

/// Brings rates of starts and recent demand up to `now`.
void updateDemand(scheduler &state, time_point now);

/// Why `tasks` tasks of that need may not be placed now, or None.
block_reason checkLimits(const scheduler &state, const team_queue &queue, const resources &need, std::int64_t tasks);

/// True if a kind still holds its guarantee after the decided preemptions and one more task with that reservation.
bool keepsGuarantee(const scheduler &state, work_kind kind, const resources &less);

/// True if the team's quota has room for `tasks` more tasks of that need.
bool quotaCanHold(const team_queue &queue, const resources &need, std::int64_t tasks);

/// True if the kind's cap could hold that many millicores when nothing else of it runs.
bool capCanHold(const scheduler &state, work_kind kind, std::int64_t processors);

} // namespace sesamespar
