#include "request/job_progress.h"

namespace sesamespar {

bool isFinal(job_phase phase)
{
    return phase == job_phase::Completed || phase == job_phase::Failed || phase == job_phase::Cancelled;
}

} // namespace sesamespar
