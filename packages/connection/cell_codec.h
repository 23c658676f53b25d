// Encoding of what a cell keeps in the platform's store: accepted jobs, their progress, and the load of the queues.
// Values are JSON, so that an operator can read them.
#pragma once

#include "base/result.h"
#include "request/accepted_job.h"
#include "request/cell_load.h"
#include "request/job_progress.h"

#include <string>
#include <string_view>

namespace sesamespar {

/// Value of an accepted job, without its key.
std::string encodeAcceptedJob(const accepted_job &job);

/// Reads what encodeAcceptedJob wrote. Errors: InvalidInput.
result<accepted_job> decodeAcceptedJob(const job_key &key, std::string_view text);

/// Value of a job's progress. Tasks without a run yet take no room; final jobs keep their phase only.
std::string encodeProgress(const job_progress &progress);

/// Reads what encodeProgress wrote; the caller sizes `tasks` by the job. Errors: InvalidInput.
result<job_progress> decodeProgress(std::string_view text);

/// Reads the phase alone. Errors: InvalidInput.
result<job_phase> decodePhase(std::string_view text);

std::string encodeLoad(const cell_load &load);

/// Reads what encodeLoad wrote. Errors: InvalidInput.
result<cell_load> decodeLoad(std::string_view text);

} // namespace sesamespar
