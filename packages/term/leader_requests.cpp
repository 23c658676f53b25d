#include "term/leader_requests.h"

#include "base/log.h"
#include "term/job_lifecycle.h"
#include "term/recovery.h"

namespace sesamespar {

namespace {

// Destination of the answer to one request.
struct reply_path {
    daemon_id frontEnd;
    correlation_id correlation;
};

void reply(const reply_path &path, job_answer answer, bool final, outbox &out)
{
    forward_answer message;
    message.correlation = path.correlation;
    message.answer = std::move(answer);
    message.final = final;
    out.push_back(send_peer{path.frontEnd, std::move(message)});
}

void replyNotLeader(const reply_path &path, const job_id &id, outbox &out)
{
    forward_answer message;
    message.correlation = path.correlation;
    message.answer.id = id;
    message.notLeader = true;
    out.push_back(send_peer{path.frontEnd, std::move(message)});
}

job_answer
makeAnswer(const job_id &id, answer_status status, std::string reason, milliseconds retryAfter = milliseconds(0))
{
    job_answer answer;
    answer.id = id;
    answer.status = status;
    answer.reason = std::move(reason);
    answer.retryAfter = retryAfter;
    return answer;
}

void addWaiter(job &subject, const reply_path &path, bool wantsOutcome)
{
    for (job_waiter &waiter : subject.waiters) {
        if (waiter.frontEnd == path.frontEnd && waiter.correlation == path.correlation) {
            waiter.wantsOutcome = waiter.wantsOutcome || wantsOutcome;
            return;
        }
    }
    if (subject.waiters.size() < maxWaitersPerJob) {
        subject.waiters.push_back({path.frontEnd, path.correlation, wantsOutcome});
    }
}

job_answer describe(const leader &state, const job &subject)
{
    job_answer answer = answerFromRecord(subject.record);
    if (answer.status == answer_status::Accepted && state.decisions) {
        answer.reason = explainWait(*state.decisions, subject.record.request.id);
    }
    return answer;
}

// Answers with the current state of the record. A caller that waits is registered for the outcome.
void replyCurrentState(const leader &state, job &subject, const reply_path &path, bool wantsOutcome, outbox &out)
{
    if (subject.outcomeRecorded) {
        reply(path, describe(state, subject), true, out);
        return;
    }
    if (!subject.accepted || wantsOutcome) {
        addWaiter(subject, path, wantsOutcome);
    }
    if (subject.accepted) {
        // A finished record that is not yet on both copies could still be lost with this leader, so its outcome is not
        // reported.
        job_answer answer = describe(state, subject);
        answer.status = answer_status::Accepted;
        reply(path, std::move(answer), !wantsOutcome, out);
    }
}

void refuse(leader &state, const reply_path &path, const job_id &id, const admission_verdict &verdict, outbox &out)
{
    ++state.counters.refused;
    reply(path, makeAnswer(id, answer_status::Refused, verdict.reason, verdict.retryAfter), true, out);
}

void submitNew(
    leader &state, const submit_request &submit, const reply_path &path, const clock_reading &now, outbox &out)
{
    constexpr milliseconds retryWithoutRacks{2000};
    const job_id &id = submit.job.id;
    const work_settings *work = findWork(*state.settings, submit.job.work);
    if (work == nullptr || work->team != id.team || work->kind == work_kind::Service) {
        refuse(state,
               path,
               id,
               {false,
                "team \"" + id.team.value + "\" has no work \"" + submit.job.work.value + "\" that can be submitted",
                {}},
               out);
        return;
    }
    const job_record record = makeRecord(submit.job, *work);
    const admission_verdict verdict = admit(*state.decisions, offerOf(record));
    if (!verdict.admitted) {
        refuse(state, path, id, verdict, out);
        return;
    }
    if (!startJob(state, record, now)) {
        refuse(state,
               path,
               id,
               {false, "fewer than two racks have a worker that can store the job record", retryWithoutRacks},
               out);
        return;
    }
    ++state.counters.submitted;
    addWaiter(*findJob(state.jobs, id), path, submit.wait > milliseconds(0));
}

void onSubmit(
    leader &state, const submit_request &submit, const reply_path &path, const clock_reading &now, outbox &out)
{
    const job_id &id = submit.job.id;
    const job_ptr existing = findJob(state.jobs, id);
    if (existing && existing->record.request == submit.job) {
        replyCurrentState(state, *existing, path, submit.wait > milliseconds(0), out);
    } else if (existing) {
        ++state.counters.conflicts;
        reply(path,
              makeAnswer(id, answer_status::Conflict, "the key is already used by a request with different content"),
              true,
              out);
    } else if (submit.job.expires <= now.utc) {
        reply(path, makeAnswer(id, answer_status::Expired, "the request has expired"), true, out);
    } else if (!isComplete(state, now.monotonic) || state.releasing) {
        replyNotLeader(path, id, out);
    } else {
        submitNew(state, submit, path, now, out);
    }
}

// A key without a job may be recorded on a worker that has not been read yet.
void replyUnknownKey(
    const leader &state, const job_id &id, const reply_path &path, const clock_reading &now, outbox &out)
{
    if (isComplete(state, now.monotonic)) {
        reply(path, makeAnswer(id, answer_status::NotFound, "no job exists under this key"), true, out);
    } else {
        replyNotLeader(path, id, out);
    }
}

void onStatus(
    leader &state, const status_request &status, const reply_path &path, const clock_reading &now, outbox &out)
{
    const job_ptr existing = findJob(state.jobs, status.id);
    if (existing) {
        replyCurrentState(state, *existing, path, status.wait > milliseconds(0), out);
    } else {
        replyUnknownKey(state, status.id, path, now, out);
    }
}

void onCancel(
    leader &state, const cancel_request &cancel, const reply_path &path, const clock_reading &now, outbox &out)
{
    const job_ptr existing = findJob(state.jobs, cancel.id);
    if (!existing) {
        replyUnknownKey(state, cancel.id, path, now, out);
        return;
    }
    if (existing->record.kind == work_kind::Service) {
        reply(path,
              makeAnswer(cancel.id,
                         answer_status::Refused,
                         "a service cannot be cancelled; remove it from the configuration instead"),
              true,
              out);
        return;
    }
    if (!isFinished(existing->record)) {
        cancelJob(state, *existing, now);
    }
    replyCurrentState(state, *existing, path, true, out);
}

const job_id &idOf(const job_call &call)
{
    if (const auto *submit = std::get_if<submit_request>(&call)) {
        return submit->job.id;
    }
    if (const auto *status = std::get_if<status_request>(&call)) {
        return status->id;
    }
    return std::get<cancel_request>(call).id;
}

} // namespace

void onForwardRequest(
    leader &state, const daemon_id &frontEnd, const forward_request &request, const clock_reading &now, outbox &out)
{
    const reply_path path{frontEnd, request.correlation};
    if (state.phase != leader_phase::Leading) {
        replyNotLeader(path, idOf(request.call), out);
    } else if (const auto *submit = std::get_if<submit_request>(&request.call)) {
        onSubmit(state, *submit, path, now, out);
    } else if (const auto *status = std::get_if<status_request>(&request.call)) {
        onStatus(state, *status, path, now, out);
    } else {
        onCancel(state, std::get<cancel_request>(request.call), path, now, out);
    }
}

} // namespace sesamespar
