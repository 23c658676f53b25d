// Which workers are set aside because every task fails there, and which work is to blame itself.
#pragma once

#include "term/scheduler.h"

namespace sesamespar {

/// Notes how a task ended. Returns true if a worker became or ceased to be set aside.
bool noteHealth(scheduler &state, const work_id &work, const worker_id &worker, bool succeeded, time_point now);

/// Lets workers get tasks again, one at a time, once they were set aside long enough.
void endSetAside(scheduler &state, time_point now);

/// Workers on which the work failed since its last success, or null if there are none.
const std::vector<worker_id> *failedWorkers(const scheduler &state, const work_id &work);

} // namespace sesamespar
