// Recovery at the start of a term: reads the progress of all jobs, subscribes to the accepted jobs, and restores the
// runs that earlier terms placed. A task is not placed again while its restored run may exist on an unreached worker.
#pragma once

#include "term/cell_leader.h"

namespace sesamespar {

/// Starts the recovery. Sets `recovered` of the leader when all jobs have been read.
void recoverCell(const std::shared_ptr<cell_leader> &leader);

/// Adds jobs that another daemon has stored, before the watch on the store reports them. Jobs that are malformed, known
/// or finished are left out.
void learnStoredJobs(cell_leader &leader, const accepted_jobs &message, const clock_reading &now);

} // namespace sesamespar
