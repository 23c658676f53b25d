#include "harness/oracle.h"

#include "standins/task_directive.h"

#include <algorithm>
#include <sstream>

namespace sesamespar::harness {

namespace {

using faults = std::vector<std::string>;

template<typename... Parts>
void addFault(faults &found, const Parts &...parts)
{
    std::ostringstream text;
    (text << ... << parts);
    found.push_back(text.str());
}

const std::vector<recorded_start> &startsOf(const oracle_input &input, const job_id &id)
{
    static const std::vector<recorded_start> none;
    const auto known = input.seen.starts.find(id);
    return known == input.seen.starts.end() ? none : known->second;
}

/// A task that its answer calls succeeded must have succeeded at that worker, with that result.
void checkSuccess(const oracle_input &input, const told_answer &told, const task_record &task, faults &found)
{
    const std::vector<recorded_start> &starts = startsOf(input, told.request.id);
    const bool ran = std::any_of(starts.begin(), starts.end(), [&](const recorded_start &start) {
        return start.index == task.index && start.attempt == task.attempt && start.worker == task.worker
            && start.outcome == "succeeded";
    });
    if (!ran) {
        addFault(
            found, told.request.id, " task ", task.index, " is told as succeeded but did not succeed at ", task.worker);
    }
    if (task.result != standins::parseTaskDirective(told.request.payload).result) {
        addFault(found, told.request.id, " task ", task.index, " has the result of another task: ", task.result);
    }
}

void checkWholeAnswer(const oracle_input &input, const told_answer &told, faults &found)
{
    const job_answer &answer = told.answer;
    if (answer.id != told.request.id) {
        addFault(found, told.request.id, " got the answer to ", answer.id);
    }
    if (answer.status != answer_status::Done) {
        return;
    }
    if (answer.tasks.empty() || (told.request.tasks != 0 && answer.tasks.size() != told.request.tasks)) {
        addFault(found, told.request.id, " is done with ", answer.tasks.size(), " tasks of ", told.request.tasks);
    }
    for (const task_record &task : answer.tasks) {
        checkSuccess(input, told, task, found);
    }
}

bool saysNotRun(answer_status status)
{
    return status == answer_status::Refused || status == answer_status::Expired || status == answer_status::NotFound;
}

/// Keys whose every answer says that nothing ran must have no start.
void checkNotRun(const oracle_input &input, faults &found)
{
    std::map<job_id, bool> notRun;
    for (const told_answer &told : input.told) {
        const bool says = saysNotRun(told.answer.status);
        const auto known = notRun.emplace(told.request.id, says).first;
        known->second = known->second && says;
    }
    for (const auto &[id, says] : notRun) {
        if (says && !startsOf(input, id).empty()) {
            addFault(found, id, " was told as not run but was started");
        }
    }
    for (const told_answer &told : input.told) {
        for (const task_record &task : told.answer.tasks) {
            const std::vector<recorded_start> &starts = startsOf(input, told.request.id);
            const bool started = std::any_of(
                starts.begin(), starts.end(), [&](const recorded_start &start) { return start.index == task.index; });
            if (told.answer.status == answer_status::Cancelled && task.state == task_state::Cancelled
                && task.attempt.value == 0 && started) {
                addFault(found, told.request.id, " task ", task.index, " was told as never attempted but was started");
            }
        }
    }
}

void checkAtMostOnce(const oracle_input &input, faults &found)
{
    std::map<job_id, work_id> workOf;
    for (const told_answer &told : input.told) {
        workOf[told.request.id] = told.request.work;
    }
    for (const auto &[id, work] : workOf) {
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
                addFault(found, id, " task ", index, " must not be repeated but was started ", count, " times");
            }
        }
    }
}

void checkLeaving(const oracle_input &input, faults &found)
{
    for (const auto &[id, starts] : input.seen.starts) {
        for (const recorded_start &start : starts) {
            const auto leaving = input.leavingSince.find(start.worker);
            if (leaving != input.leavingSince.end() && start.at > leaving->second) {
                addFault(found, id, " was started at ", start.worker, ", which leaves");
            }
        }
    }
}

} // namespace

std::vector<std::string> invariantViolations(const oracle_input &input)
{
    faults found = input.seen.capacityViolations;
    found.insert(found.end(), input.seen.duplicateExecutions.begin(), input.seen.duplicateExecutions.end());
    for (const told_answer &told : input.told) {
        checkWholeAnswer(input, told, found);
    }
    checkNotRun(input, found);
    checkAtMostOnce(input, found);
    checkLeaving(input, found);
    return found;
}

} // namespace sesamespar::harness
