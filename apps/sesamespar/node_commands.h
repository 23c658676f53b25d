// The verbs drain, nodes, dump and metrics.
#pragma once

#include "command_line.h"

namespace sesamespar {

/// Drains a VM: no new tasks are placed on it, and its services move to other VMs.
exit_status runDrain(const command_options &options);

/// Print the nodes, the state dump and the metrics that a daemon serves.
exit_status runNodes(const command_options &options);
exit_status runDump(const command_options &options);
exit_status runMetrics(const command_options &options);

} // namespace sesamespar
