// Acquires, renews and releases the control leases on the workers of a data centre, and decides when a daemon
// becomes leader and when it steps down.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Applies a VM list: adds and updates the workers of this data centre and marks those that left the list. An
/// older list than the current one is ignored.
void applyVmList(leader &state, const vm_list &list, const clock_reading &now, outbox &out);

/// Starts draining workers that other daemons report as leaving or draining.
void markLeavingWorkers(leader &state, const std::vector<worker_id> &leaving);

/// Begins a takeover if this daemon is the candidate and is on standby; abandons an incomplete takeover if it is no
/// longer the candidate. `highest` is the highest epoch that any daemon of the data centre has seen.
void considerTakeover(leader &state, bool candidate, epoch_number highest, const clock_reading &now, outbox &out);

/// Makes the calls to a worker that are due: a probe, the control call, or the next page of its snapshot.
void driveWorker(leader &state, worker &target, const clock_reading &now, outbox &out);

/// Handles the end of a control call.
void onControlEnded(
    leader &state, worker &target, const result<worker_reply> &outcome, const clock_reading &now, outbox &out);

/// Handles the end of a snapshot call.
void onSnapshotEnded(
    leader &state, worker &target, const result<worker_reply> &outcome, const clock_reading &now, outbox &out);

/// Activates the leader when it becomes complete; steps down when it has not been complete for one control lease,
/// or for three control leases during a takeover.
void checkCompleteness(leader &state, const clock_reading &now, outbox &out);

/// Releases the leases that are still held and clears the state. Waiting front ends receive "not leader", so that
/// they retry with the next leader. `reason` is logged.
void stepDown(leader &state, const std::string &reason, const clock_reading &now, outbox &out);

/// Passes changes of a worker to the scheduler, and checkpoints the movable tasks of a worker that is draining or
/// leaving.
void offerWorker(leader &state, worker &target, time_point now);

} // namespace sesamespar
