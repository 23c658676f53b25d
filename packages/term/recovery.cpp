#include "term/recovery.h"

#include "base/log.h"
#include "term/job_lifecycle.h"
#include "term/journal.h"
#include "term/leadership.h"
#include "term/task_commands.h"

#include <algorithm>
#include <sstream>

namespace sesamespar {

namespace {

// Archived records are ignored after this time past their expiry, because segments may still hold records that
// every daemon has dropped.
constexpr std::int64_t retentionAfterExpiryMs = 60000;

bool mayStillRun(const task_record &task)
{
    return task.state == task_state::Claimed || task.state == task_state::Running;
}

// An orphan holds capacity under a key of its own, because a later attempt at the same task may be placed as well.
task_key orphanKey(const worker &target, const task_id &task)
{
    std::ostringstream name;
    name << "orphan:" << target.entry.name << ':' << task;
    return {{task.job.team, idempotency_key(name.str())}, task.index};
}

void adoptOrphan(leader &state, worker &target, const worker_task &reported)
{
    const task_key key = orphanKey(target, reported.task);
    placed_task placed;
    placed.task = reported.task;
    placed.orphan = true;
    target.tasks[key] = placed;
    job_offer offer;
    offer.id = key.job;
    offer.need = reported.need;
    offer.tasks = 1;
    adoptTask(*state.decisions, offer, key.index, target.entry.name);
    queueStop(state, target, key);
    ++state.counters.orphansStopped;
    log_event("orphan_stopped", log_level::Warning).with("worker", target.entry.name).with("task", reported.task);
}

void adoptReported(leader &state, worker &target, job &subject, task_record &task, const worker_task &reported)
{
    const task_key key{subject.record.request.id, task.index};
    placed_task placed;
    placed.task = reported.task;
    placed.lease = policyOf(*state.settings, subject.record.kind).taskLease;
    target.tasks[key] = placed;
    attempt_progress &progress = subject.progress.at(task.index.value);
    progress.startQueued = true;
    progress.startArrived = true;
    job_offer offer = offerOf(subject.record);
    offer.need = reported.need;
    adoptTask(*state.decisions, offer, task.index, target.entry.name);
    if (task.state == task_state::Claimed) {
        task.state = task_state::Running;
    }
    if (subject.record.cancelRequested) {
        queueStop(state, target, key);
    }
}

void reconcileTask(leader &state, worker &target, const worker_task &reported, const clock_reading &now)
{
    const job_ptr subject = findJob(state.jobs, reported.task.job);
    const bool existing = subject && reported.task.index.value < subject->record.tasks.size();
    task_record *task = existing ? &subject->record.tasks.at(reported.task.index.value) : nullptr;
    const bool current = task != nullptr && task->attempt == reported.task.attempt && task->worker == target.entry.name;
    if (reported.ended) {
        taskEnded(state, target, reported.task, reported.last, reported.result, now);
    } else if (current && (!isFinal(task->state) || task->state == task_state::Lost)) {
        adoptReported(state, target, *subject, *task, reported);
    } else {
        adoptOrphan(state, target, reported);
    }
}

bool isReported(const worker &target, const task_id &task)
{
    return std::any_of(target.reported.begin(), target.reported.end(), [&](const worker_task &reported) {
        return reported.task == task;
    });
}

// Settles the tasks that the records place on this worker but that the worker did not report. The control lease
// fences commands of former leaders, so a start that has not arrived by now never will.
void settleUnreported(leader &state, worker &target, const clock_reading &now)
{
    const std::unordered_map<job_id, job_ptr> jobs = state.jobs.jobs;
    for (const auto &[id, subject] : jobs) {
        for (task_record &task : subject->record.tasks) {
            if (task.worker != target.entry.name || !mayStillRun(task)
                || isReported(target, attemptOf(subject->record, task))) {
                continue;
            }
            const bool mayHaveRun = task.instance != target.instance;
            settleMissingTask(state, *subject, task, mayHaveRun, now);
        }
    }
}

// Keeps up to two of the copies of the newest revision that were found, in different racks.
void restoreCopies(leader &state, job &subject, const std::vector<record_copy> &found)
{
    for (const record_copy &copy : found) {
        const worker *target = findWorker(state.table, copy.worker);
        const bool sameRack = std::any_of(subject.copies.begin(), subject.copies.end(), [&](const record_copy &other) {
            const worker *holder = findWorker(state.table, other.worker);
            return holder != nullptr && target != nullptr && holder->entry.rack == target->entry.rack;
        });
        if (target != nullptr && !sameRack && subject.copies.size() < 2) {
            subject.copies.push_back(copy);
        }
    }
}

void restoreJob(leader &state, const job_record &record, const clock_reading &now)
{
    const job_ptr restored(new job);
    restored->record = record;
    restored->progress.resize(record.tasks.size());
    restored->accepted = true;
    restored->arrivedAt = now.monotonic;
    for (attempt_progress &progress : restored->progress) {
        progress.waitingSince = now.monotonic;
        progress.startQueued = true;
        progress.startArrived = true;
        progress.forgotten = false;
    }
    restoreCopies(state, *restored, state.unreconciledCopies[record.request.id]);
    addJob(state.jobs, restored);
    // The former leader may have stopped before its latest records reached the archive.
    state.toArchive.push_back(record);
    state.dirtyJobs.insert(record.request.id);
}

// Registers the tasks that may run on workers that are not held, so that they are settled when their lease has
// certainly expired. A worker that has left the VM list gets a table entry for this purpose.
void placeUnreachableTasks(leader &state, const job &subject)
{
    for (const task_record &task : subject.record.tasks) {
        if (!mayStillRun(task)) {
            continue;
        }
        worker &target = state.table.workers[task.worker];
        if (target.entry.name != task.worker) {
            target.entry.name = task.worker;
            target.listed = false;
        }
        if (target.phase == worker_phase::Ready) {
            continue;
        }
        placed_task placed;
        placed.task = attemptOf(subject.record, task);
        placed.lease = policyOf(*state.settings, subject.record.kind).taskLease;
        target.tasks[{subject.record.request.id, task.index}] = placed;
        target.lastRenewal = std::max(target.lastRenewal, state.takeoverAt + state.timing.controlLease);
    }
}

// Settles a job that was found only in the archive, or in a copy that was read after the takeover. Its state may be
// outdated: any task that is not final there may have been started since. Repeatable tasks wait until no worker can
// still run them; the others are lost.
void settleWithoutReports(leader &state, job &subject, const clock_reading &now)
{
    const milliseconds lease = policyOf(*state.settings, subject.record.kind).taskLease;
    const time_point restartAt = state.takeoverAt + state.timing.controlLease + lease + lease / 10;
    for (task_record &task : subject.record.tasks) {
        if (isFinal(task.state)) {
            continue;
        }
        if (subject.record.repeatable) {
            task.state = task_state::Waiting;
            state.delayedTasks.emplace(restartAt, task_key{subject.record.request.id, task.index});
            subject.notQueuedBefore = restartAt;
        } else {
            task.state = task_state::Lost;
            task.result = "the record of its start was lost; the task may have run";
        }
    }
    recordChanged(state, subject, now.monotonic);
}

void updateService(leader &state, job &subject, const work_settings &work, const clock_reading &now)
{
    auto &tasks = subject.record.tasks;
    bool changed = subject.record.need != work.need;
    subject.record.need = work.need;
    while (tasks.size() < work.tasks) {
        task_record task;
        task.index = task_index(static_cast<std::uint32_t>(tasks.size()));
        tasks.push_back(task);
        attempt_progress progress;
        progress.waitingSince = now.monotonic;
        subject.progress.push_back(progress);
        changed = true;
    }
    for (task_record &task : tasks) {
        const bool wanted = task.index.value < work.tasks;
        worker *target = findWorker(state.table, task.worker);
        if (wanted && isFinal(task.state)) {
            task.state = task_state::Waiting;
            changed = true;
        } else if (!wanted && task.state == task_state::Waiting) {
            task.state = task_state::Cancelled;
            changed = true;
        } else if (!wanted && mayStillRun(task) && target != nullptr) {
            queueStop(state, *target, {subject.record.request.id, task.index});
        }
    }
    if (changed) {
        recordChanged(state, subject, now.monotonic);
        dequeue(*state.decisions, subject.record.request.id);
        queueWaitingTasks(state, subject, now);
    }
}

job_request serviceRequest(const work_settings &work)
{
    job_request request;
    request.id = {work.team, idempotency_key("service:" + work.name.value)};
    request.work = work.name;
    request.expires = utc_time(neverExpiresMs);
    return request;
}

bool isHomeDataCentre(const leader &state, const team_id &team)
{
    const team_settings *settings = findTeam(*state.settings, team);
    return settings != nullptr && settings->home == state.dataCentre;
}

void startOrUpdateService(leader &state, const work_settings &work, const clock_reading &now)
{
    const job_request request = serviceRequest(work);
    const job_ptr running = findJob(state.jobs, request.id);
    if (running && !running->record.cancelRequested) {
        updateService(state, *running, work, now);
        return;
    }
    if (running) {
        return;
    }
    const job_record record = makeRecord(request, work);
    const admission_verdict verdict = admit(*state.decisions, offerOf(record));
    if (!verdict.admitted || !startJob(state, record, now)) {
        log_event("service_not_started", log_level::Warning).with("work", work.name).with("reason", verdict.reason);
    }
}

} // namespace

job_record makeRecord(const job_request &request, const work_settings &work)
{
    job_record record;
    record.request = request;
    record.kind = work.kind;
    record.need = work.need;
    record.runTime = work.runTime;
    record.repeatable = work.repeatable || work.kind == work_kind::Service;
    const std::uint32_t count = request.tasks == 0 ? work.tasks : request.tasks;
    record.tasks.resize(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        record.tasks.at(index).index = task_index(index);
    }
    return record;
}

void mergeRecord(leader &state, const job_record &record, const worker_id &source, const clock_reading &now)
{
    const job_id &id = record.request.id;
    const bool archived = source.value.empty();
    if (archived && record.request.expires.value < now.utc.value - retentionAfterExpiryMs) {
        return;
    }
    if (record.revision.epoch >= state.epoch) {
        state.epoch = epoch_number(record.revision.epoch.value + 1);
    }
    const job_ptr existing = findJob(state.jobs, id);
    if (state.phase == leader_phase::Leading && existing) {
        // The copy of this worker was replaced while the worker was unreachable.
        const bool counted = std::any_of(existing->copies.begin(),
                                         existing->copies.end(),
                                         [&](const record_copy &copy) { return copy.worker == source; });
        worker *target = findWorker(state.table, source);
        if (!counted && target != nullptr) {
            target->queuedDrops.push_back({id, record.revision});
            state.dirtyWorkers.insert(source);
        }
        return;
    }
    job_record &newest = state.unreconciled[id];
    auto &copies = state.unreconciledCopies[id];
    if (newest.tasks.empty() || newest.revision < record.revision) {
        newest = record;
        copies.clear();
    }
    if (newest.revision == record.revision && !archived) {
        copies.push_back({source, record.revision, false});
    }
    if (state.phase == leader_phase::Leading) {
        restoreJob(state, newest, now);
        // The reports of the workers were reconciled without this job, so the state of its tasks is unknown.
        settleWithoutReports(state, *findJob(state.jobs, id), now);
        state.unreconciled.erase(id);
        state.unreconciledCopies.erase(id);
    }
}

void reconcileWorker(leader &state, worker &target, const clock_reading &now)
{
    for (const auto &[key, placed] : target.tasks) {
        releaseTask(*state.decisions, key);
    }
    target.tasks.clear();
    for (const worker_task &reported : target.reported) {
        reconcileTask(state, target, reported, now);
    }
    settleUnreported(state, target, now);
    for (const task_event &event : target.deferred) {
        handleTaskEvent(state, target, event, now);
    }
    target.reported.clear();
    target.deferred.clear();
    // The leader was complete without the records that this worker may have lost.
    target.markerMissing = false;
    state.scheduleNeeded = true;
}

void activate(leader &state, const clock_reading &now)
{
    state.phase = leader_phase::Leading;
    for (const auto &[id, record] : state.unreconciled) {
        restoreJob(state, record, now);
        if (state.unreconciledCopies[id].empty()) {
            settleWithoutReports(state, *findJob(state.jobs, id), now);
        }
    }
    const std::unordered_map<job_id, job_ptr> jobs = state.jobs.jobs;
    for (const auto &[id, subject] : jobs) {
        placeUnreachableTasks(state, *subject);
    }
    for (auto &[name, target] : state.table.workers) {
        if (target.phase == worker_phase::Ready) {
            offerWorker(state, target, now.monotonic);
            reconcileWorker(state, target, now);
        }
    }
    for (const auto &[id, subject] : jobs) {
        ensureCopies(state, *subject, now.monotonic);
        queueWaitingTasks(state, *subject, now);
    }
    state.unreconciled.clear();
    state.unreconciledCopies.clear();
    reconcileServices(state, now);
    ++state.counters.takeovers;
    log_event("leader_complete")
        .with("data_centre", state.dataCentre)
        .with("epoch", state.epoch)
        .with("jobs", state.jobs.jobs.size())
        .with("took_ms", elapsedBetween(state.takeoverAt, now.monotonic).count());
}

void reconcileServices(leader &state, const clock_reading &now)
{
    if (state.phase != leader_phase::Leading || !state.settings) {
        return;
    }
    for (const work_settings &work : state.settings->work) {
        if (work.kind == work_kind::Service && isHomeDataCentre(state, work.team)) {
            startOrUpdateService(state, work, now);
        }
    }
    const std::unordered_map<job_id, job_ptr> jobs = state.jobs.jobs;
    for (const auto &[id, subject] : jobs) {
        if (subject->record.kind != work_kind::Service) {
            continue;
        }
        const work_settings *work = findWork(*state.settings, subject->record.request.work);
        if (work == nullptr || work->kind != work_kind::Service || work->team != id.team) {
            cancelJob(state, *subject, now);
        }
    }
}

} // namespace sesamespar
