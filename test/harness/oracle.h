// Compares all answers that callers got with what the workers' witness saw.
#pragma once

#include "harness/execution_report.h"
#include "request/job_answer.h"
#include "request/job_request.h"
#include "version/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace sesamespar::harness {

/// One submission and its answer.
struct told_answer {
    job_request request;
    job_answer answer;
};

/// What the checks need to know.
struct oracle_input {
    witness_view seen;
    std::vector<told_answer> told;
    configuration_ptr settings; ///< May be null; then no work counts as non-repeatable.
    std::map<worker_id, utc_time> leavingSince; ///< VMs and the time after which they must get no task.
};

/// One sentence for each invariant that was broken, in the order of docs/design.md 1.1; empty if none was.
/// Covers 1 to 6; graceful shutdown and configuration have tests of their own.
std::vector<std::string> invariantViolations(const oracle_input &input);

} // namespace sesamespar::harness
