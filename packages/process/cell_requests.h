// Handles the requests of callers and the messages of other daemons. Runs on the control thread.
#pragma once

#include "connection/caller_port.h"
#include "process/cell_daemon.h"

namespace sesamespar {

/// Handles a message of another daemon. Requests are answered to the address that the message names.
void handleDaemonMessage(cell_daemon &daemon, const daemon_message &message, const clock_reading &now);

/// Handles a request of a caller. `done` is called exactly once, before or after the return.
void handleCallerRequest(cell_daemon &daemon, caller_request request, caller_done done, const clock_reading &now);

/// Answer to a request whose handling an unexpected error has ended. A submission is refused if no part of the daemon
/// has taken the job over, so that it can neither be stored nor relayed; any other outcome is unknown.
caller_answer answerAfterError(const cell_daemon &daemon, const caller_request &request);

/// Reads the state of a job from the store, or refuses the request at once while the store is lost.
void readStatus(
    cell_daemon &daemon, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now);

/// Passes stored jobs to the leader, which may be this daemon. They are dropped if the leader is unknown; its watch on
/// the store reports them then.
void announceToLeader(cell_daemon &daemon, const accepted_jobs &message, const clock_reading &now);

} // namespace sesamespar
