// Report of the workers' execution recorder, as tests read it.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <map>
#include <string>
#include <vector>

namespace sesamespar::harness {

/// One start of a task at a worker.
struct recorded_start {
    task_index index;
    attempt_number attempt;
    worker_id worker;
    utc_time at;
    utc_time ended; ///< 0 while the task runs.
    std::string outcome;
};

/// The decoded report.
struct execution_report {
    std::vector<std::string> capacityViolations; ///< One message per violation.
    std::vector<std::string> duplicateExecutions; ///< One message per violation.
    std::map<job_id, std::vector<recorded_start>> starts;
    std::size_t running = 0; ///< Number of tasks that are running.
};

/// Decodes the JSON response to GET /test/report. Errors: InvalidInput if it is malformed.
result<execution_report> readExecutionReport(const std::string &json);

} // namespace sesamespar::harness
