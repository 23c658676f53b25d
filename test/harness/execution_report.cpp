#include "harness/execution_report.h"

#include <cpprest/json.h>

namespace sesamespar::harness {

namespace {

using web::json::value;

job_id jobOf(const value &json)
{
    return {team_id(json.at("team").as_string()), idempotency_key(json.at("key").as_string())};
}

recorded_start startOf(const value &json)
{
    recorded_start start;
    start.index = task_index(json.at("index").as_number().to_uint32());
    start.attempt = attempt_number(json.at("attempt").as_number().to_uint32());
    start.worker = worker_id(json.at("worker").as_string());
    start.at = utc_time(json.at("at_ms").as_number().to_int64());
    start.ended = utc_time(json.at("ended_ms").as_number().to_int64());
    start.outcome = json.at("outcome").as_string();
    return start;
}

execution_report read(const value &report)
{
    execution_report view;
    for (const value &single : report.at("overfills").as_array()) {
        view.capacityViolations.push_back("the tasks of a worker exceeded its capacity: " + single.serialize());
    }
    for (const value &single : report.at("double_runs").as_array()) {
        view.duplicateExecutions.push_back("two copies of a task ran concurrently: " + single.serialize());
    }
    for (const value &job : report.at("jobs").as_array()) {
        std::vector<recorded_start> &starts = view.starts[jobOf(job)];
        for (const value &start : job.at("starts").as_array()) {
            starts.push_back(startOf(start));
        }
    }
    for (const value &worker : report.at("workers").as_array()) {
        view.running += worker.at("running").as_number().to_uint64();
    }
    return view;
}

} // namespace

result<execution_report> readExecutionReport(const std::string &json)
{
    try {
        return read(value::parse(json));
    } catch (const std::exception &problem) {
        return makeError(error_kind::InvalidInput,
                         std::string("the report of the execution recorder is malformed: ") + problem.what());
    }
}

} // namespace sesamespar::harness
