// Start of a term: reads the progress of all jobs, follows the accepted jobs, and takes over the runs that earlier
// terms have placed. A run whose worker was not reached yet keeps its task from being placed again.
#pragma once

#include "term/cell_leader.h"

namespace sesamespar {

/// Begins to read. The leader is `recovered` once all jobs are known.
void recoverCell(const std::shared_ptr<cell_leader> &leader);

} // namespace sesamespar
