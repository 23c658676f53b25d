#include "term/cell_admission.h"

namespace sesamespar {

cell_load judgeLoad(const cell_state &state, const clock_reading &)
{
    cell_load load;
    for (const auto &[key, job] : state.jobs) {
        if (!isFinal(job->progress.phase)) {
            queue_load &queue = load.queues[job->accepted.policy.queue];
            queue.pending += job->progress.phase == job_phase::Queued ? 1 : 0;
        }
    }
    return load;
}

} // namespace sesamespar
