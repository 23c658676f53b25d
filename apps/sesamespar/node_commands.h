// The verbs drain, nodes, dump and metrics.
#pragma once

#include "command_line.h"

namespace sesamespar {

/// Drains a VM: it gets no new tasks and its services move.
exit_status runDrain(const command_options &options);

/// Print the nodes page, the state dump and the metrics of a daemon.
exit_status runNodes(const command_options &options);
exit_status runDump(const command_options &options);
exit_status runMetrics(const command_options &options);

} // namespace sesamespar
