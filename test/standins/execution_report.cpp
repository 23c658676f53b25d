#include "standins/execution_recorder.h"

#include <cpprest/json.h>

namespace sesamespar::standins {

namespace {

using web::json::value;

value text(const std::string &plain)
{
    return value::string(plain);
}

value number(std::int64_t plain)
{
    return value::number(plain);
}

value toJson(const resources &amount)
{
    return value::object({{"millicores", number(amount.processors.value)},
                          {"mebibytes", number(amount.memory.value)},
                          {"accelerators", number(amount.accelerator.value)}});
}

value toJson(const task_start &start)
{
    return value::object({{"index", number(start.index.value)},
                          {"attempt", number(start.attempt.value)},
                          {"worker", text(start.worker.value)},
                          {"at_ms", number(start.at.value)},
                          {"ended_ms", number(start.ended.value_or(utc_time(0)).value)},
                          {"outcome", text(start.outcome)},
                          {"draining", value::boolean(start.draining)}});
}

value toJson(const capacity_violation &single)
{
    return value::object({{"worker", text(single.worker.value)},
                          {"team", text(single.task.job.team.value)},
                          {"key", text(single.task.job.key.value)},
                          {"index", number(single.task.index.value)},
                          {"need", toJson(single.need)},
                          {"capacity", toJson(single.capacity)},
                          {"at_ms", number(single.at.value)}});
}

value toJson(const duplicate_execution &single)
{
    return value::object({{"team", text(single.job.team.value)},
                          {"key", text(single.job.key.value)},
                          {"index", number(single.index.value)},
                          {"first", text(single.first.value)},
                          {"second", text(single.second.value)},
                          {"at_ms", number(single.at.value)}});
}

template<typename List>
value arrayOf(const List &list)
{
    std::vector<value> elements;
    elements.reserve(list.size());
    for (const auto &element : list) {
        elements.push_back(toJson(element));
    }
    return value::array(std::move(elements));
}

value jobsOf(const execution_recorder &recorder)
{
    std::vector<value> jobs;
    jobs.reserve(recorder.starts.size());
    for (const auto &entry : recorder.starts) {
        jobs.push_back(value::object({{"team", text(entry.first.team.value)},
                                      {"key", text(entry.first.key.value)},
                                      {"starts", arrayOf(entry.second)}}));
    }
    return value::array(std::move(jobs));
}

value workersOf(const execution_recorder &recorder)
{
    std::vector<value> workers;
    workers.reserve(recorder.workers.size());
    for (const auto &entry : recorder.workers) {
        workers.push_back(value::object({{"name", text(entry.first.value)},
                                         {"running", number(static_cast<std::int64_t>(entry.second.running.size()))},
                                         {"peak_tasks", number(static_cast<std::int64_t>(entry.second.peakTasks))},
                                         {"starts", number(static_cast<std::int64_t>(entry.second.starts))}}));
    }
    return value::array(std::move(workers));
}

} // namespace

std::string encodeExecutionReport(const execution_recorder &recorder, utc_time now)
{
    return value::object({{"now_ms", number(now.value)},
                          {"overfills", arrayOf(recorder.capacityViolations)},
                          {"double_runs", arrayOf(recorder.duplicateExecutions)},
                          {"workers", workersOf(recorder)},
                          {"jobs", jobsOf(recorder)}})
        .serialize();
}

} // namespace sesamespar::standins
