// Progress of a stepped job. The leader keeps it in the platform's store, so that the next leader can continue the job.
// A run is stored before its start is sent, and an end before it is acknowledged to the worker.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// State of a job as a whole, as callers see it.
enum class job_phase {
    Queued, ///< No task has started yet.
    Running,
    Completed, ///< All tasks are done.
    Failed, ///< A task has used up the attempts that its queue allows.
    Cancelled,
    Withdrawn, ///< Cancelled before it was accepted; callers are told that there is no such job.
};

/// Name of a phase in the store, in logs and to callers: queued, running, completed, failed, cancelled, withdrawn.
const char *phaseName(job_phase phase);

/// Inverse of phaseName(). Returns nothing for any other name.
std::optional<job_phase> phaseFromName(std::string_view name);

/// True for the phases that never change again.
bool isFinal(job_phase phase);

/// State of one task.
enum class task_phase {
    Waiting, ///< No run is active; the last run, if any, has ended.
    Placed, ///< The run is assigned to the worker and may be active there.
    Done,
};

/// The latest run of a task.
struct task_progress {
    task_phase phase = task_phase::Waiting;
    run_number run; ///< 0 before the first run.
    worker_id worker; ///< Worker of the latest run.
    worker_incarnation incarnation; ///< Incarnation of the worker that the run is assigned to.
    std::uint32_t failures = 0; ///< Failed runs; a failed run of a gang counts once for each member.
    std::string checkpoint; ///< Opaque; empty for none.
};

/// Stored state of a job besides the request.
struct job_progress {
    job_phase phase = job_phase::Queued;
    std::vector<task_progress> tasks; ///< All tasks, step by step; empty once the job is final.
    utc_time ended; ///< When the job became final.
    /// Organisation of the job, and the need of its runs that had not provably ended when it became final. Empty and 0
    /// if it belongs to none. The next leader counts them until they must have ended.
    organisation_id organisation;
    resources unended;
};

} // namespace sesamespar
