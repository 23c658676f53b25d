#include "request/job_progress.h"

namespace sesamespar {

const char *phaseName(job_phase phase)
{
    constexpr const char *names[] = {"queued", "running", "completed", "failed", "cancelled"};
    return names[static_cast<std::size_t>(phase)];
}

bool isFinal(job_phase phase)
{
    return phase == job_phase::Completed || phase == job_phase::Failed || phase == job_phase::Cancelled;
}

} // namespace sesamespar
