// Entry points of the leader role for the daemon: events in, effects out.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Interval at which an active leader handles expired leases, due retries and expired jobs.
constexpr milliseconds leaderTick{100};

/// Applies a configuration to the leader, its scheduler and its services.
void useConfiguration(leader &state, const configuration_ptr &settings, const clock_reading &now);

/// Handles the end of a call to a worker. Calls of an earlier takeover are ignored.
void onWorkerCallEnded(leader &state, const worker_call_ended &ended, const clock_reading &now, outbox &out);

/// Starts draining a VM of this data centre. Unknown names are ignored.
void drainWorker(leader &state, const worker_id &name);

/// Performs the periodic work: takeover, lease renewal, retries and expiry. `candidate` is true if this daemon
/// should lead; `highestEpoch` is the highest epoch that any daemon of the data centre has seen.
void onTick(leader &state, bool candidate, epoch_number highestEpoch, const clock_reading &now, outbox &out);

/// Places waiting tasks and sends the record writes, commands and answers that result from the events since the
/// last call. Called after each batch of events.
void finishEvents(leader &state, const clock_reading &now, outbox &out);

/// Begins to release the leases: accepts no new jobs, starts no tasks, and steps down when no call is under way or
/// `limit` has passed.
void beginRelease(leader &state, time_point limit);

} // namespace sesamespar
