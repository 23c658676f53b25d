#include "harness/oracle.h"

#include "standins/task_directive.h"

#include <algorithm>
#include <sstream>

namespace sesamespar::harness {

namespace {

using violations = std::vector<std::string>;

template<typename... Parts>
void addViolation(violations &found, const Parts &...parts)
{
    std::ostringstream text;
    (text << ... << parts);
    found.push_back(text.str());
}

const std::vector<recorded_start> &startsOf(const oracle_input &input, const job_id &id)
{
    static const std::vector<recorded_start> none;
    const auto known = input.executions.starts.find(id);
    return known == input.executions.starts.end() ? none : known->second;
}

/// Checks that a task reported as succeeded did succeed on that worker, with that result.
void checkSuccess(const oracle_input &input,
                  const received_answer &received,
                  const task_record &task,
                  violations &found)
{
    const std::vector<recorded_start> &starts = startsOf(input, received.request.id);
    const bool ran = std::any_of(starts.begin(), starts.end(), [&](const recorded_start &start) {
        return start.index == task.index && start.attempt == task.attempt && start.worker == task.worker
            && start.outcome == "succeeded";
    });
    if (!ran) {
        addViolation(found,
                     received.request.id,
                     " task ",
                     task.index,
                     " is reported as succeeded but did not succeed at ",
                     task.worker);
    }
    if (task.result != standins::parseTaskDirective(received.request.payload).result) {
        addViolation(found,
                     received.request.id,
                     " task ",
                     task.index,
                     " has a result that differs from its payload: ",
                     task.result);
    }
}

void checkAnswer(const oracle_input &input, const received_answer &received, violations &found)
{
    const job_answer &answer = received.answer;
    if (answer.id != received.request.id) {
        addViolation(found, received.request.id, " received the answer to ", answer.id);
    }
    if (answer.status != answer_status::Done) {
        return;
    }
    if (answer.tasks.empty() || (received.request.tasks != 0 && answer.tasks.size() != received.request.tasks)) {
        addViolation(found,
                     received.request.id,
                     " is reported as done with ",
                     answer.tasks.size(),
                     " tasks of ",
                     received.request.tasks);
    }
    for (const task_record &task : answer.tasks) {
        checkSuccess(input, received, task, found);
    }
}

bool reportsNotRun(answer_status status)
{
    return status == answer_status::Refused || status == answer_status::Expired || status == answer_status::NotFound;
}

/// Checks that a job has no start if every answer to its key reports that it did not run.
void checkNotRun(const oracle_input &input, violations &found)
{
    std::map<job_id, bool> notRun;
    for (const received_answer &received : input.received) {
        const bool reported = reportsNotRun(received.answer.status);
        const auto known = notRun.emplace(received.request.id, reported).first;
        known->second = known->second && reported;
    }
    for (const auto &[id, reported] : notRun) {
        if (reported && !startsOf(input, id).empty()) {
            addViolation(found, id, " was reported as not run but was started");
        }
    }
    for (const received_answer &received : input.received) {
        for (const task_record &task : received.answer.tasks) {
            const std::vector<recorded_start> &starts = startsOf(input, received.request.id);
            const bool started = std::any_of(
                starts.begin(), starts.end(), [&](const recorded_start &start) { return start.index == task.index; });
            if (received.answer.status == answer_status::Cancelled && task.state == task_state::Cancelled
                && task.attempt.value == 0 && started) {
                addViolation(found,
                             received.request.id,
                             " task ",
                             task.index,
                             " was reported as never attempted but was started");
            }
        }
    }
}

void checkAtMostOnce(const oracle_input &input, violations &found)
{
    std::map<job_id, work_id> workByJob;
    for (const received_answer &received : input.received) {
        workByJob[received.request.id] = received.request.work;
    }
    for (const auto &[id, work] : workByJob) {
        const work_settings *declared = input.settings ? findWork(*input.settings, work) : nullptr;
        if (declared == nullptr || declared->repeatable) {
            continue;
        }
        std::map<task_index, int> counts;
        for (const recorded_start &start : startsOf(input, id)) {
            ++counts[start.index];
        }
        for (const auto &[index, count] : counts) {
            if (count > 1) {
                addViolation(found, id, " task ", index, " is not repeatable but was started ", count, " times");
            }
        }
    }
}

void checkLeavingWorkers(const oracle_input &input, violations &found)
{
    for (const auto &[id, starts] : input.executions.starts) {
        for (const recorded_start &start : starts) {
            const auto leaving = input.noStartsAfter.find(start.worker);
            if (leaving != input.noStartsAfter.end() && start.at > leaving->second) {
                addViolation(found, id, " was started at ", start.worker, ", a VM that was leaving");
            }
        }
    }
}

} // namespace

std::vector<std::string> invariantViolations(const oracle_input &input)
{
    violations found = input.executions.capacityViolations;
    found.insert(found.end(), input.executions.duplicateExecutions.begin(), input.executions.duplicateExecutions.end());
    for (const received_answer &received : input.received) {
        checkAnswer(input, received, found);
    }
    checkNotRun(input, found);
    checkAtMostOnce(input, found);
    checkLeavingWorkers(input, found);
    return found;
}

} // namespace sesamespar::harness
