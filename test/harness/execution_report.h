// What the workers' witness reports, as tests read it.
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
    utc_time ended; ///< 0 while it runs.
    std::string outcome;
};

/// The whole report.
struct witness_view {
    std::vector<std::string> capacityViolations; ///< One sentence for each.
    std::vector<std::string> duplicateExecutions; ///< One sentence for each.
    std::map<job_id, std::vector<recorded_start>> starts;
    std::size_t running = 0; ///< Tasks that run now.
};

/// Reads the JSON of GET /test/report. Errors: InvalidInput if it has another form.
result<witness_view> readWitnessReport(const std::string &json);

} // namespace sesamespar::harness
