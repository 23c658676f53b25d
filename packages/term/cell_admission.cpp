#include "term/cell_admission.h"

namespace sesamespar {

cell_load countLoad(const cell_state &state)
{
    cell_load load;
    for (const auto &[key, job] : state.jobs) {
        if (!isFinal(job->progress.phase)) {
            queue_load &queue = load.queues[job->accepted.policy.queue];
            // A job counts as waiting until a worker has begun one of its tasks: a placed task may not have reached its
            // worker, for example after the loss of all daemons.
            queue.pending += job->begun ? 0 : 1;
        }
    }
    return load;
}

} // namespace sesamespar
