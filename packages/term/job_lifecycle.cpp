#include "term/job_lifecycle.h"

#include "base/log.h"
#include "term/journal.h"
#include "term/task_commands.h"

#include <algorithm>

namespace sesamespar {

namespace {

// A record is kept past the expiry of its job, so that daemons whose clocks differ by up to 30 s agree on which
// jobs have expired.
constexpr std::int64_t recordRetentionMs = 60000;
// The retry delay doubles with each attempt, so that a faulty task does not occupy its worker.
constexpr backoff_settings retryBackoff{milliseconds(200), milliseconds(10000)};

task_record *findAttempt(leader &state, const task_id &id, job_ptr &subject)
{
    subject = findJob(state.jobs, id.job);
    if (!subject || id.index.value >= subject->record.tasks.size()) {
        return nullptr;
    }
    task_record &task = subject->record.tasks.at(id.index.value);
    return task.attempt == id.attempt ? &task : nullptr;
}

task_key keyOf(const task_id &id)
{
    return {id.job, id.index};
}

void releasePlacement(leader &state, worker &target, const task_id &id)
{
    const auto placed = target.tasks.find(keyOf(id));
    if (placed == target.tasks.end() || placed->second.task != id) {
        return;
    }
    if (state.decisions) {
        releaseTask(*state.decisions, keyOf(id));
    }
    target.tasks.erase(placed);
    state.scheduleNeeded = true;
}

void releaseOrphan(leader &state, worker &target, const task_id &id)
{
    for (auto placed = target.tasks.begin(); placed != target.tasks.end(); ++placed) {
        if (placed->second.orphan && placed->second.task == id) {
            if (state.decisions) {
                releaseTask(*state.decisions, placed->first);
            }
            target.tasks.erase(placed);
            state.scheduleNeeded = true;
            return;
        }
    }
}

bool isService(const job &subject)
{
    return subject.record.kind == work_kind::Service;
}

bool mayRetry(const leader &state, const job &subject, const task_record &task)
{
    if (subject.record.cancelRequested || !subject.record.repeatable) {
        return false;
    }
    return isService(subject) || task.attempt.value < policyOf(*state.settings, subject.record.kind).attempts;
}

void countFinal(leader &state, task_state final)
{
    switch (final) {
    case task_state::Succeeded:
        ++state.counters.tasksSucceeded;
        break;
    case task_state::Failed:
        ++state.counters.tasksFailed;
        break;
    case task_state::Lost:
        ++state.counters.tasksLost;
        break;
    default:
        break;
    }
}

void makeFinal(
    leader &state, job &subject, task_record &task, task_state final, const std::string &outcome, time_point now)
{
    task.state = final;
    task.result = outcome;
    countFinal(state, final);
    recordChanged(state, subject, now);
}

void makeWaiting(leader &state, job &subject, task_record &task, milliseconds delay, const clock_reading &now)
{
    task.state = task_state::Waiting;
    attempt_progress &progress = subject.progress.at(task.index.value);
    progress = {};
    progress.waitingSince = now.monotonic;
    ++state.counters.tasksRestarted;
    recordChanged(state, subject, now.monotonic);
    if (delay > milliseconds(0)) {
        state.delayedTasks.emplace(now.monotonic + delay, task_key{subject.record.request.id, task.index});
    } else {
        queueWaitingTasks(state, subject, now);
    }
}

milliseconds retryDelay(leader &state, const task_record &task)
{
    return backoffDelay(retryBackoff, task.attempt.value == 0 ? 0 : task.attempt.value - 1, state.random);
}

void cancelTask(leader &state, job &subject, task_record &task, const std::string &why, const clock_reading &now)
{
    if (isFinal(task.state)) {
        return;
    }
    worker *target = findWorker(state.table, task.worker);
    if (task.state == task_state::Waiting) {
        makeFinal(state, subject, task, task_state::Cancelled, why, now.monotonic);
    } else if (task.state == task_state::Claimed && target != nullptr && withdrawStart(state, *target, subject, task)) {
        releasePlacement(state, *target, attemptOf(subject.record, task));
        makeFinal(state, subject, task, task_state::Cancelled, why, now.monotonic);
    } else if (target != nullptr) {
        queueStop(state, *target, {subject.record.request.id, task.index});
    }
}

// A gang runs as a whole or not at all: when one member has failed or is lost, the others are cancelled or stopped.
void endGang(leader &state, job &subject, const std::string &why, const clock_reading &now)
{
    if (state.decisions) {
        dequeue(*state.decisions, subject.record.request.id);
    }
    for (task_record &task : subject.record.tasks) {
        cancelTask(state, subject, task, why, now);
    }
}

void stopGangMembers(leader &state, job &subject)
{
    for (const task_record &task : subject.record.tasks) {
        worker *target = findWorker(state.table, task.worker);
        if ((task.state == task_state::Claimed || task.state == task_state::Running) && target != nullptr) {
            queueStop(state, *target, {subject.record.request.id, task.index});
        }
    }
}

void taskFailed(leader &state, job &subject, task_record &task, const std::string &outcome, const clock_reading &now)
{
    const bool gang = subject.record.kind == work_kind::Gang;
    if (mayRetry(state, subject, task)) {
        if (gang) {
            stopGangMembers(state, subject);
        }
        makeWaiting(state, subject, task, retryDelay(state, task), now);
        return;
    }
    makeFinal(state, subject, task, task_state::Failed, outcome, now.monotonic);
    if (gang) {
        endGang(state, subject, "another task of the gang failed", now);
    }
}

void taskInterrupted(leader &state, job &subject, task_record &task, const std::string &why, const clock_reading &now)
{
    if (subject.record.cancelRequested) {
        makeFinal(state, subject, task, task_state::Cancelled, why, now.monotonic);
    } else if (subject.record.repeatable) {
        makeWaiting(state, subject, task, milliseconds(0), now);
    } else {
        makeFinal(state, subject, task, task_state::Failed, why, now.monotonic);
    }
}

void applyEnd(leader &state,
              job &subject,
              task_record &task,
              task_event_kind how,
              const std::string &outcome,
              const clock_reading &now)
{
    switch (how) {
    case task_event_kind::Started:
        break;
    case task_event_kind::Succeeded:
        if (isService(subject) && !subject.record.cancelRequested) {
            makeWaiting(state, subject, task, retryDelay(state, task), now);
        } else {
            makeFinal(state, subject, task, task_state::Succeeded, outcome, now.monotonic);
        }
        break;
    case task_event_kind::Failed:
        taskFailed(state, subject, task, outcome, now);
        break;
    case task_event_kind::Stopped:
        taskInterrupted(state, subject, task, "stopped", now);
        break;
    case task_event_kind::Checkpointed:
        ++subject.record.preemptions;
        taskInterrupted(state, subject, task, "checkpointed", now);
        break;
    case task_event_kind::LeaseExpired:
        taskInterrupted(state, subject, task, "stopped by the worker because its lease expired", now);
        break;
    }
}

void reportOutcomeToScheduler(
    leader &state, const job &subject, const worker &target, task_event_kind how, time_point now)
{
    if (state.decisions && (how == task_event_kind::Succeeded || how == task_event_kind::Failed)) {
        reportOutcome(
            *state.decisions, subject.record.request.work, target.entry.name, how == task_event_kind::Succeeded, now);
        state.scheduleNeeded = true;
    }
}

void sendDurableStarts(leader &state, job &subject, const record_revision &durable, const clock_reading &now)
{
    for (task_record &task : subject.record.tasks) {
        attempt_progress &progress = subject.progress.at(task.index.value);
        if (task.state != task_state::Claimed || progress.startQueued || durable < progress.claim) {
            continue;
        }
        worker *target = findWorker(state.table, task.worker);
        if (target == nullptr) {
            continue;
        }
        queueStart(state, *target, subject, task);
        const auto waited = elapsedBetween(progress.waitingSince, now.monotonic);
        state.waits.push_back({subject.record.kind, waited});
    }
}

void forgetEndedAttempts(leader &state, job &subject, time_point now)
{
    for (const task_record &task : subject.record.tasks) {
        attempt_progress &progress = subject.progress.at(task.index.value);
        if (!progress.forgotten) {
            forgetLater(state, task.worker, attemptOf(subject.record, task), now);
        }
        progress.forgotten = true;
    }
}

void expireWaitingTasks(leader &state, job &subject, const clock_reading &now)
{
    bool expired = false;
    for (task_record &task : subject.record.tasks) {
        if (task.state == task_state::Waiting) {
            makeFinal(state, subject, task, task_state::Cancelled, "expired before it started", now.monotonic);
            expired = true;
        }
    }
    if (expired && state.decisions) {
        dequeue(*state.decisions, subject.record.request.id);
    }
}

} // namespace

bool startJob(leader &state, const job_record &record, const clock_reading &now)
{
    const job_ptr added(new job);
    added->record = record;
    added->progress.resize(record.tasks.size());
    added->arrivedAt = now.monotonic;
    for (attempt_progress &progress : added->progress) {
        progress.waitingSince = now.monotonic;
    }
    if (!ensureCopies(state, *added, now.monotonic)) {
        return false;
    }
    addJob(state.jobs, added);
    recordChanged(state, *added, now.monotonic);
    added->firstRevision = added->record.revision;
    queueWaitingTasks(state, *added, now);
    return true;
}

void claimTask(leader &state, const placement &decision, const clock_reading &now)
{
    const job_ptr subject = findJob(state.jobs, decision.task.job);
    worker *target = findWorker(state.table, decision.worker);
    if (!subject || target == nullptr) {
        releaseTask(*state.decisions, decision.task);
        return;
    }
    task_record &task = subject->record.tasks.at(decision.task.index.value);
    task.state = task_state::Claimed;
    task.attempt = attempt_number(task.attempt.value + 1);
    task.worker = decision.worker;
    task.instance = target->instance;
    task.result.clear();
    attempt_progress &progress = subject->progress.at(task.index.value);
    progress.startQueued = false;
    progress.startArrived = false;
    progress.forgotten = true;
    placed_task placed;
    placed.task = attemptOf(subject->record, task);
    placed.lease = policyOf(*state.settings, subject->record.kind).taskLease;
    target->tasks[decision.task] = placed;
    recordChanged(state, *subject, now.monotonic);
    progress.claim = subject->record.revision;
    ++state.counters.placements;
}

void taskStarted(leader &state, worker &target, const task_id &id)
{
    job_ptr subject;
    task_record *task = findAttempt(state, id, subject);
    if (task != nullptr && task->worker == target.entry.name && task->state == task_state::Claimed) {
        // Not recorded, because the recorded claim already implies that the task may run there.
        task->state = task_state::Running;
    }
}

void startRejected(leader &state, worker &target, const rejected_start &rejected, const clock_reading &now)
{
    log_event("start_rejected", log_level::Warning)
        .with("worker", target.entry.name)
        .with("task", rejected.task)
        .with("reason", rejected.reason);
    releasePlacement(state, target, rejected.task);
    job_ptr subject;
    task_record *task = findAttempt(state, rejected.task, subject);
    if (task == nullptr || task->state != task_state::Claimed) {
        return;
    }
    if (subject->record.cancelRequested) {
        makeFinal(state, *subject, *task, task_state::Cancelled, "cancelled before it started", now.monotonic);
        return;
    }
    if (subject->record.kind == work_kind::Gang) {
        stopGangMembers(state, *subject);
    }
    makeWaiting(state, *subject, *task, retryDelay(state, *task), now);
}

void taskEnded(leader &state,
               worker &target,
               const task_id &id,
               task_event_kind how,
               const std::string &outcome,
               const clock_reading &now)
{
    releasePlacement(state, target, id);
    releaseOrphan(state, target, id);
    job_ptr subject;
    task_record *task = findAttempt(state, id, subject);
    const bool lateOutcome = task != nullptr && task->state == task_state::Lost
        && (how == task_event_kind::Succeeded || how == task_event_kind::Failed);
    if (task == nullptr || task->worker != target.entry.name || (isFinal(task->state) && !lateOutcome)) {
        if (task == nullptr || subject->outcomeRecorded) {
            forgetLater(state, target.entry.name, id, now.monotonic);
        }
        return;
    }
    reportOutcomeToScheduler(state, *subject, target, how, now.monotonic);
    applyEnd(state, *subject, *task, how, outcome, now);
    if (isFinal(task->state)) {
        // The worker keeps the outcome until it is recorded on both copies.
        subject->progress.at(task->index.value).forgotten = false;
    } else {
        forgetLater(state, target.entry.name, id, now.monotonic);
    }
}

void handleTaskEvent(leader &state, worker &target, const task_event &event, const clock_reading &now)
{
    if (event.kind == task_event_kind::Started) {
        taskStarted(state, target, event.task);
    } else {
        taskEnded(state, target, event.task, event.kind, event.result, now);
    }
}

void settleMissingTask(leader &state, job &subject, task_record &task, bool mayHaveRun, const clock_reading &now)
{
    if (task.state != task_state::Claimed && task.state != task_state::Running) {
        return;
    }
    if (worker *target = findWorker(state.table, task.worker)) {
        releasePlacement(state, *target, attemptOf(subject.record, task));
    }
    if (subject.record.repeatable || !mayHaveRun) {
        if (subject.record.cancelRequested) {
            makeFinal(state,
                      subject,
                      task,
                      task_state::Cancelled,
                      "cancelled; the task is no longer on its worker",
                      now.monotonic);
            return;
        }
        if (subject.record.kind == work_kind::Gang) {
            stopGangMembers(state, subject);
        }
        makeWaiting(state, subject, task, milliseconds(0), now);
        return;
    }
    makeFinal(state, subject, task, task_state::Lost, "its worker was lost; the task may have run", now.monotonic);
    if (subject.record.kind == work_kind::Gang) {
        endGang(state, subject, "another task of the gang was lost", now);
    }
}

namespace {

// Settles every task placed on the worker for which `isOver` returns true.
template<typename Predicate>
void settlePlaced(leader &state, worker &target, const clock_reading &now, const Predicate &isOver)
{
    const std::map<task_key, placed_task> placed = target.tasks;
    for (const auto &[key, entry] : placed) {
        job_ptr subject;
        task_record *task = entry.orphan ? nullptr : findAttempt(state, entry.task, subject);
        const bool unsent = task != nullptr && task->state == task_state::Claimed && isUnsent(*subject, target, *task);
        if (!isOver(entry, subject.get(), unsent)) {
            continue;
        }
        if (task == nullptr || isFinal(task->state) || task->worker != target.entry.name) {
            releaseOrphan(state, target, entry.task);
            releasePlacement(state, target, entry.task);
            continue;
        }
        if (unsent) {
            withdrawStart(state, target, *subject, *task);
        }
        settleMissingTask(state, *subject, *task, !unsent, now);
    }
}

} // namespace

void settleRestartedWorker(leader &state, worker &target, const clock_reading &now)
{
    log_event("worker_restarted", log_level::Warning)
        .with("worker", target.entry.name)
        .with("tasks", target.tasks.size());
    settlePlaced(state, target, now, [](const placed_task &, const job *, bool) { return true; });
    target.queued = {};
    target.sent = {};
    target.lastHandledEvent = event_sequence(0);
    replaceCopiesOn(state, target.entry.name, now.monotonic);
}

void settleUnheldWorker(leader &state, worker &target, const clock_reading &now)
{
    const bool unlisted = !target.listed;
    // A task whose start was never sent can be placed elsewhere once the worker has not been held for one control
    // lease.
    const bool unreachable = target.unheldSince && now.monotonic >= *target.unheldSince + state.timing.controlLease;
    settlePlaced(state, target, now, [&](const placed_task &entry, const job *subject, bool unsent) {
        if (unsent && (unreachable || unlisted)) {
            return true;
        }
        if (unlisted && subject != nullptr && !subject->record.repeatable) {
            return true;
        }
        // The margin of one tenth allows for clocks that run at different speeds.
        const milliseconds bound = entry.lease + entry.lease / 10;
        return now.monotonic >= target.lastRenewal + bound;
    });
}

void cancelJob(leader &state, job &subject, const clock_reading &now)
{
    if (!subject.record.cancelRequested) {
        subject.record.cancelRequested = true;
        recordChanged(state, subject, now.monotonic);
    }
    if (state.decisions) {
        dequeue(*state.decisions, subject.record.request.id);
    }
    for (task_record &task : subject.record.tasks) {
        cancelTask(state, subject, task, "cancelled before it started", now);
    }
}

void queueWaitingTasks(leader &state, job &subject, const clock_reading &now)
{
    if (!state.decisions || subject.record.cancelRequested || subject.notQueuedBefore > now.monotonic) {
        return;
    }
    std::vector<task_index> waiting;
    std::size_t open = 0;
    for (const task_record &task : subject.record.tasks) {
        open += isFinal(task.state) ? 0 : 1;
        if (task.state == task_state::Waiting) {
            waiting.push_back(task.index);
        }
    }
    if (waiting.empty() || (subject.record.kind == work_kind::Gang && waiting.size() != open)) {
        return;
    }
    enqueue(*state.decisions, offerOf(subject.record), waiting, now.monotonic);
    state.scheduleNeeded = true;
}

void queueDelayedTasks(leader &state, const clock_reading &now)
{
    while (!state.delayedTasks.empty() && state.delayedTasks.begin()->first <= now.monotonic) {
        const task_key key = state.delayedTasks.begin()->second;
        state.delayedTasks.erase(state.delayedTasks.begin());
        if (const job_ptr subject = findJob(state.jobs, key.job)) {
            queueWaitingTasks(state, *subject, now);
        }
    }
}

void answerWaiters(job &subject, bool outcomeKnown, outbox &out)
{
    std::vector<job_waiter> remaining;
    for (const job_waiter &waiter : subject.waiters) {
        forward_answer message;
        message.correlation = waiter.correlation;
        message.answer = answerFromRecord(subject.record);
        message.final = outcomeKnown || !waiter.wantsOutcome;
        if (!message.final) {
            remaining.push_back(waiter);
        }
        out.push_back(send_peer{waiter.frontEnd, std::move(message)});
    }
    subject.waiters = std::move(remaining);
}

void advanceJob(leader &state, job &subject, const clock_reading &now, outbox &out)
{
    const record_revision durable = durableRevision(subject);
    if (!subject.accepted && durable >= subject.firstRevision) {
        subject.accepted = true;
        state.toArchive.push_back(subject.record);
        if (!isFinished(subject.record)) {
            answerWaiters(subject, false, out);
        }
    }
    if (!subject.accepted) {
        return;
    }
    sendDurableStarts(state, subject, durable, now);
    if (isFinished(subject.record) && !subject.outcomeRecorded && durable >= subject.record.revision) {
        subject.outcomeRecorded = true;
        state.toArchive.push_back(subject.record);
        forgetEndedAttempts(state, subject, now.monotonic);
        answerWaiters(subject, true, out);
    }
}

void expireJobs(leader &state, const clock_reading &now)
{
    std::vector<job_id> removed;
    for (const auto &[expires, id] : state.jobs.byExpiry) {
        if (expires > now.utc) {
            break;
        }
        const job_ptr subject = findJob(state.jobs, id);
        expireWaitingTasks(state, *subject, now);
        if (subject->outcomeRecorded && now.utc.value - expires.value > recordRetentionMs) {
            removed.push_back(id);
        }
    }
    for (const job_id &id : removed) {
        dropCopies(state, *findJob(state.jobs, id));
        removeJob(state.jobs, id);
    }
}

} // namespace sesamespar
