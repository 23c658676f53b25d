// Test oracle: checks the answers that callers received against the recorded executions on the workers.
#pragma once

#include "harness/execution_report.h"
#include "request/job_answer.h"
#include "request/job_request.h"
#include "version/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace sesamespar::harness {

/// A submission and the answer that the caller received.
struct received_answer {
    job_request request;
    job_answer answer;
};

/// Input of the checks.
struct oracle_input {
    execution_report executions;
    std::vector<received_answer> received;
    configuration_ptr settings; ///< May be null; all work then counts as repeatable.
    std::map<worker_id, utc_time> noStartsAfter; ///< Leaving VMs, and the time after which no task may start on them.
};

/// One message per violation of an invariant, in the order of docs/design.md 1.1; empty if there is none. Covers the
/// invariants 1 to 6; graceful shutdown and configuration have separate tests.
std::vector<std::string> invariantViolations(const oracle_input &input);

} // namespace sesamespar::harness
