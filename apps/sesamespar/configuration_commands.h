// The verbs check, apply and show.
#pragma once

#include "command_line.h"

namespace sesamespar {

/// Checks a configuration file without calling a daemon.
exit_status runCheck(const command_options &options);

/// Applies a configuration file atomically and prints the version in force.
exit_status runApply(const command_options &options);

/// Prints the configuration in force.
exit_status runShow(const command_options &options);

} // namespace sesamespar
