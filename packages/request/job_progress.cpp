#include "request/job_progress.h"

namespace sesamespar {

const char *phaseName(job_phase phase)
{
    constexpr const char *names[] = {"queued", "running", "completed", "failed", "cancelled", "withdrawn"};
    return names[static_cast<std::size_t>(phase)];
}

std::optional<job_phase> phaseFromName(std::string_view name)
{
    for (const job_phase phase : {job_phase::Queued,
                                  job_phase::Running,
                                  job_phase::Completed,
                                  job_phase::Failed,
                                  job_phase::Cancelled,
                                  job_phase::Withdrawn}) {
        if (name == phaseName(phase)) {
            return phase;
        }
    }
    return std::nullopt;
}

bool isFinal(job_phase phase)
{
    return phase != job_phase::Queued && phase != job_phase::Running;
}

} // namespace sesamespar
