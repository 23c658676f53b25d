// What a daemon of a cell does with the requests of callers and with the messages of other daemons. Runs on the control
// thread.
#pragma once

#include "connection/caller_port.h"
#include "process/cell_daemon.h"

namespace sesamespar {

/// Takes a message of another daemon.
void takeDaemonMessage(cell_daemon &daemon, const daemon_message &message, const clock_reading &now);

/// Takes a request of a caller. `done` is called once, perhaps later.
void takeCallerRequest(cell_daemon &daemon, caller_request request, caller_done done, const clock_reading &now);

/// Reads the state of a job from the store, or refuses at once while the store is lost.
void readStatus(
    cell_daemon &daemon, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now);

} // namespace sesamespar
