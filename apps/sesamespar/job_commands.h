// The verbs submit, status and cancel.
#pragma once

#include "command_line.h"

namespace sesamespar {

/// Submits the job that a file or stdin describes.
exit_status runSubmit(const command_options &options);

/// Prints the state of a job.
exit_status runStatus(const command_options &options);

/// Cancels a job.
exit_status runCancel(const command_options &options);

} // namespace sesamespar
