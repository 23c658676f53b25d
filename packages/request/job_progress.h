// How far a stepped job has come. The leader keeps it in the platform's store, so that the next leader goes on from
// there; a run is noted before its start is sent, and an end before the worker may forget it.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// State of a whole job, as callers see it.
enum class job_phase {
    Queued, ///< No task has started yet.
    Running,
    Completed, ///< All tasks are done.
    Failed, ///< A task has failed as often as its queue allows.
    Cancelled,
};

/// Name of a phase in the store, in logs and to callers: queued, running, completed, failed, cancelled.
const char *phaseName(job_phase phase);

/// Phase of that name, or nothing.
std::optional<job_phase> phaseOfName(std::string_view name);

/// True if the job needs no more work.
bool isFinal(job_phase phase);

/// State of one task.
enum class task_phase {
    Waiting, ///< Nothing runs; the last run, if any, is over.
    Placed, ///< The run was given to the worker and may be under way there.
    Done,
};

/// The latest run of a task.
struct task_progress {
    task_phase phase = task_phase::Waiting;
    run_number run; ///< 0 before the first.
    worker_id worker; ///< Of the latest run.
    worker_incarnation incarnation; ///< Life of the worker that was meant.
    std::uint32_t failures = 0; ///< Runs that ended as failed; those of a gang count once for each member.
    std::string checkpoint; ///< Opaque; empty for none.
};

/// What the store keeps of a job besides the request.
struct job_progress {
    job_phase phase = job_phase::Queued;
    std::vector<task_progress> tasks; ///< By position; empty once the job is final.
    utc_time ended; ///< When it became final.
};

} // namespace sesamespar
