// Takes, renews and releases the control leases on the workers of a data centre, and decides when a daemon
// becomes leader and when it ceases to be one.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Follows the VM list: adds and updates the workers of this data centre and marks those that left it.
void applyVmList(leader &state, const vm_list &list, const clock_reading &now, outbox &out);

/// Marks workers that are leaving or drained as other daemons know.
void markLeavingWorkers(leader &state, const std::vector<worker_id> &leaving);

/// Begins a takeover if this daemon is the candidate and does not lead; gives up one that is not complete if
/// it is no longer the candidate. `highest` is the highest epoch that any daemon of the data centre has seen.
void considerTakeover(leader &state, bool candidate, epoch_number highest, const clock_reading &now, outbox &out);

/// Makes the calls to the worker that are due: a probe, the control call, or the next page of its snapshot.
void driveWorker(leader &state, worker &target, const clock_reading &now, outbox &out);

/// Handles the end of a control call.
void onControlEnded(
    leader &state, worker &target, const result<worker_reply> &outcome, const clock_reading &now, outbox &out);

/// Handles the end of a snapshot call.
void onSnapshotEnded(
    leader &state, worker &target, const result<worker_reply> &outcome, const clock_reading &now, outbox &out);

/// Activates the leader when it has become complete; steps down when it has not been for a control lease.
void checkCompleteness(leader &state, const clock_reading &now, outbox &out);

/// Forgets everything and releases the leases that are still held. Those who wait for answers are told to
/// ask the next leader.
void stepDown(leader &state, const std::string &reason, const clock_reading &now, outbox &out);

/// Tells the scheduler what has changed about the worker since it was told last.
void offerWorker(leader &state, worker &target, time_point now);

} // namespace sesamespar
