// The leader's role as the daemon drives it: events in, effects out.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Interval at which an active leader looks for leases that lapse, retries that are due and jobs that expire.
constexpr milliseconds leaderTick{100};

/// Puts a configuration in force at the leader.
void useConfiguration(leader &state, const configuration_ptr &settings, const clock_reading &now);

/// Handles the end of a call to a worker. Late ends of calls of an earlier takeover are ignored.
void onWorkerCallEnded(leader &state, const worker_call_ended &ended, const clock_reading &now, outbox &out);

/// Drains a VM of this data centre. Unknown names are ignored.
void drainWorker(leader &state, const worker_id &name);

/// Takes over, renews, retries and expires what is due. `candidate` tells whether this daemon should lead.
void onTick(leader &state, bool candidate, epoch_number highestEpoch, const clock_reading &now, outbox &out);

/// Decides and sends what the events since the last call allow: placements, record writes, commands, answers.
/// Called after each batch of events.
void finishEvents(leader &state, const clock_reading &now, outbox &out);

/// Prepares to give the leases up: takes no new jobs and starts, and steps down when nothing is under way
/// or the limit has passed.
void beginRelease(leader &state, time_point limit);

} // namespace sesamespar
