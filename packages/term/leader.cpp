#include "term/leader.h"

#include "base/log.h"
#include "term/job_lifecycle.h"
#include "term/journal.h"
#include "term/leadership.h"
#include "term/recovery.h"
#include "term/task_commands.h"

#include <algorithm>

namespace sesamespar {

namespace {

// Limits one pass, so that a long queue does not delay answers and lease renewals.
constexpr std::size_t maxPlacementsPerPass = 512;

void onCommandsReply(
    leader &state, worker &target, const worker_call_ended &ended, const clock_reading &now, outbox &out)
{
    const commands_outcome outcome = onCommandsEnded(state, target, ended.outcome, now.monotonic);
    if (outcome.fenced) {
        stepDown(state, "commands fenced by worker " + target.entry.name.value, now, out);
        return;
    }
    for (const rejected_start &rejected : outcome.rejected) {
        startRejected(state, target, rejected, now);
    }
    for (const task_id &task : outcome.started) {
        taskStarted(state, target, task);
    }
}

void placeTasks(leader &state, const clock_reading &now)
{
    const bool mayStart = state.phase == leader_phase::Leading && !state.releasing && state.decisions
        && state.settings->version >= state.seenVersion;
    if (!state.scheduleNeeded || !mayStart) {
        return;
    }
    state.scheduleNeeded = false;
    const schedule_result decided = schedule(*state.decisions, now.monotonic, maxPlacementsPerPass);
    for (const placement &decision : decided.placements) {
        claimTask(state, decision, now);
    }
    for (const preemption &decision : decided.preemptions) {
        if (worker *target = findWorker(state.table, decision.worker)) {
            queueCheckpoint(state, *target, decision.task);
        }
    }
    state.scheduleNeeded = decided.placements.size() == maxPlacementsPerPass;
}

void advanceDirtyJobs(leader &state, const clock_reading &now, outbox &out)
{
    const std::unordered_set<job_id> dirty = std::move(state.dirtyJobs);
    state.dirtyJobs.clear();
    for (const job_id &id : dirty) {
        if (const job_ptr subject = findJob(state.jobs, id)) {
            advanceJob(state, *subject, now, out);
        }
    }
}

bool hasQueued(const worker &target)
{
    const queued_commands &queued = target.queued;
    return !target.queuedPuts.empty() || !target.queuedDrops.empty() || target.markerQueued || !queued.start.empty()
        || !queued.stop.empty() || !queued.checkpoint.empty() || !queued.throttle.empty() || !queued.forget.empty()
        || queued.drain;
}

void flushDirtyWorkers(leader &state, const clock_reading &now, outbox &out)
{
    for (auto name = state.dirtyWorkers.begin(); name != state.dirtyWorkers.end();) {
        worker *target = findWorker(state.table, *name);
        if (target == nullptr) {
            name = state.dirtyWorkers.erase(name);
            continue;
        }
        flushRecords(state, *target, now.monotonic, out);
        flushCommands(state, *target, now.monotonic, out);
        // Writes and commands that wait for a retry are sent by a later pass. The end of a call of the other kind does
        // not mark the worker again.
        name = hasQueued(*target) ? std::next(name) : state.dirtyWorkers.erase(name);
    }
}

void settleWorkers(leader &state, const clock_reading &now)
{
    for (auto found = state.table.workers.begin(); found != state.table.workers.end();) {
        worker &target = found->second;
        if (state.phase == leader_phase::Leading && !isHeld(target, now.monotonic)) {
            settleUnheldWorker(state, target, now);
        }
        const bool held = isHeld(target, now.monotonic);
        if (!target.listed && !held && target.tasks.empty()) {
            if (target.offered && state.decisions) {
                removeWorker(*state.decisions, target.entry.name);
            }
            found = state.table.workers.erase(found);
        } else {
            offerWorker(state, target, now.monotonic);
            ++found;
        }
    }
}

void repairCopies(leader &state, const clock_reading &now)
{
    for (auto &[name, target] : state.table.workers) {
        if (isHeld(target, now.monotonic)) {
            target.unheldSince.reset();
            target.copiesReplaced = false;
            continue;
        }
        if (!target.unheldSince) {
            target.unheldSince = now.monotonic;
        }
        // Copies stay where they are during a short loss of the lease, because replacing them rewrites every record.
        if (!target.copiesReplaced && now.monotonic >= *target.unheldSince + state.timing.controlLease) {
            target.copiesReplaced = true;
            replaceCopiesOn(state, name, now.monotonic);
        }
    }
    ensureMissingCopies(state, now.monotonic);
}

void finishRelease(leader &state, const clock_reading &now, outbox &out)
{
    const bool busy = std::any_of(state.table.workers.begin(), state.table.workers.end(), [](const auto &entry) {
        const worker &target = entry.second;
        return hasQueued(target) || target.calls.at(static_cast<std::size_t>(worker_call_kind::Records)).serial != 0
            || target.calls.at(static_cast<std::size_t>(worker_call_kind::Commands)).serial != 0;
    });
    if (!busy || now.monotonic >= state.releaseLimit) {
        stepDown(state, "released", now, out);
    }
}

} // namespace

void useConfiguration(leader &state, const configuration_ptr &settings, const clock_reading &now)
{
    state.settings = settings;
    if (state.decisions) {
        applyConfiguration(*state.decisions, settings);
        state.scheduleNeeded = true;
    }
    reconcileServices(state, now);
}

void onWorkerCallEnded(leader &state, const worker_call_ended &ended, const clock_reading &now, outbox &out)
{
    worker *target = findWorker(state.table, ended.worker);
    if (target == nullptr || ended.serial == 0 || slotOf(*target, ended.kind).serial != ended.serial) {
        return;
    }
    switch (ended.kind) {
    case worker_call_kind::Control:
        onControlEnded(state, *target, ended.outcome, now, out);
        break;
    case worker_call_kind::Snapshot:
        onSnapshotEnded(state, *target, ended.outcome, now, out);
        break;
    case worker_call_kind::Records:
        if (!onRecordsEnded(state, *target, ended.outcome, now.monotonic)) {
            stepDown(state, "record write fenced by worker " + target->entry.name.value, now, out);
        }
        break;
    case worker_call_kind::Commands:
        onCommandsReply(state, *target, ended, now, out);
        break;
    }
    if (state.phase == leader_phase::TakingOver) {
        checkCompleteness(state, now, out);
    }
}

void drainWorker(leader &state, const worker_id &name)
{
    if (worker *target = findWorker(state.table, name)) {
        queueDrain(state, *target);
        log_event("worker_draining").with("worker", name);
    }
}

void onTick(leader &state, bool candidate, epoch_number highestEpoch, const clock_reading &now, outbox &out)
{
    const bool eligible = candidate && now.monotonic >= state.noTakeoverBefore && !state.releasing;
    considerTakeover(state, eligible, highestEpoch, now, out);
    if (state.phase == leader_phase::Standby) {
        return;
    }
    checkCompleteness(state, now, out);
    for (auto &[name, target] : state.table.workers) {
        driveWorker(state, target, now, out);
    }
    settleWorkers(state, now);
    if (state.phase == leader_phase::Leading) {
        repairCopies(state, now);
        markRepairedWorkers(state, now.monotonic);
        queueDelayedTasks(state, now);
        queueDueForgets(state, now.monotonic);
        expireJobs(state, now);
        // Fair shares and worker health also change with time, without an event.
        state.scheduleNeeded = true;
    }
    if (state.releasing) {
        finishRelease(state, now, out);
    }
}

void finishEvents(leader &state, const clock_reading &now, outbox &out)
{
    placeTasks(state, now);
    advanceDirtyJobs(state, now, out);
    flushDirtyWorkers(state, now, out);
    state.recordPair.clear();
}

void beginRelease(leader &state, time_point limit)
{
    if (state.phase != leader_phase::Standby) {
        state.releasing = true;
        state.releaseLimit = limit;
    }
}

} // namespace sesamespar
