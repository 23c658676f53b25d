#include "term/job_table.h"

#include <algorithm>

namespace sesamespar {

namespace {

bool anyTask(const job_record &record, task_state state)
{
    return std::any_of(
        record.tasks.begin(), record.tasks.end(), [state](const task_record &task) { return task.state == state; });
}

answer_status statusOf(const job_record &record)
{
    if (!isFinished(record)) {
        return answer_status::Accepted;
    }
    // The least certain outcome of any task decides, so that the answer never claims more than the record shows.
    if (anyTask(record, task_state::Lost)) {
        return answer_status::Lost;
    }
    if (anyTask(record, task_state::Failed)) {
        return answer_status::Failed;
    }
    return anyTask(record, task_state::Cancelled) ? answer_status::Cancelled : answer_status::Done;
}

} // namespace

job_ptr findJob(const job_table &table, const job_id &id)
{
    const auto found = table.jobs.find(id);
    return found == table.jobs.end() ? nullptr : found->second;
}

void addJob(job_table &table, const job_ptr &added)
{
    table.jobs.emplace(added->record.request.id, added);
    table.byExpiry.emplace(added->record.request.expires, added->record.request.id);
}

void removeJob(job_table &table, const job_id &id)
{
    const auto found = table.jobs.find(id);
    if (found != table.jobs.end()) {
        table.byExpiry.erase({found->second->record.request.expires, id});
        table.jobs.erase(found);
    }
}

record_revision durableRevision(const job &subject)
{
    if (subject.copies.size() < 2) {
        return {};
    }
    return std::min(subject.copies.at(0).written, subject.copies.at(1).written);
}

job_answer answerFromRecord(const job_record &record)
{
    job_answer answer;
    answer.status = statusOf(record);
    answer.id = record.request.id;
    answer.tasks = record.tasks;
    return answer;
}

job_offer offerOf(const job_record &record)
{
    job_offer offer;
    offer.id = record.request.id;
    offer.work = record.request.work;
    offer.kind = record.kind;
    offer.need = record.need;
    offer.runTime = record.runTime;
    offer.repeatable = record.repeatable;
    offer.tasks = static_cast<std::uint32_t>(record.tasks.size());
    offer.preemptions = record.preemptions;
    return offer;
}

task_id attemptOf(const job_record &record, const task_record &task)
{
    return {record.request.id, task.index, task.attempt};
}

} // namespace sesamespar
