// Encoding of the values that a cell keeps in the platform's store: accepted jobs, their progress, and the load of the
// queues. Values are JSON, so that an operator can read them.
#pragma once

#include "base/result.h"
#include "request/accepted_job.h"
#include "request/cell_load.h"
#include "request/job_progress.h"

#include <string>
#include <string_view>

namespace sesamespar {

/// Encodes an accepted job without its key.
std::string encodeAcceptedJob(const accepted_job &job);

/// Decodes the output of encodeAcceptedJob. Errors: InvalidInput.
result<accepted_job> decodeAcceptedJob(const job_key &key, std::string_view text);

/// Encodes the progress of a job. Tasks that have had no run are omitted; of final jobs only the phase and the time of
/// the end are written.
std::string encodeProgress(const job_progress &progress);

/// Decodes the output of encodeProgress. Trailing tasks without a run are missing; the caller resizes `tasks` to the
/// number of tasks of the job. Errors: InvalidInput.
result<job_progress> decodeProgress(std::string_view text);

/// Decodes only the phase from the output of encodeProgress. Errors: InvalidInput.
result<job_phase> decodePhase(std::string_view text);

std::string encodeLoad(const cell_load &load);

/// Decodes the output of encodeLoad. Errors: InvalidInput.
result<cell_load> decodeLoad(std::string_view text);

} // namespace sesamespar
