// The verb explain, which reads log files of daemons and calls no daemon.
#pragma once

#include "command_line.h"

namespace sesamespar {

/// Prints the timeline of one request from log files: its log lines in order of time, concurrent events of the cell,
/// and expected lines that are missing.
exit_status runExplain(const command_options &options);

} // namespace sesamespar
