// The verb explain, which reads the logs of daemons and calls none of them.
#pragma once

#include "command_line.h"

namespace sesamespar {

/// Prints the life of one request from log files: its lines by time, what happened around it, and what is missing.
exit_status runExplain(const command_options &options);

} // namespace sesamespar
