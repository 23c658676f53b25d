#include "term/leadership.h"

#include "base/log.h"
#include "term/job_lifecycle.h"
#include "term/journal.h"
#include "term/recovery.h"
#include "term/task_commands.h"

#include <algorithm>

namespace sesamespar {

namespace {

constexpr backoff_settings probeBackoff{milliseconds(100), milliseconds(1000)};

control_request makeControl(const leader &state, const worker &target, time_point now)
{
    control_request request;
    request.token = {target.epoch, state.holder, target.instance};
    request.sentAt = estimateClock(target, now);
    request.lease = state.timing.controlLease;
    request.after = target.lastHandledEvent;
    request.version = state.settings ? state.settings->version : config_version(0);
    request.roster = state.table.roster;
    return request;
}

void sendCall(leader &state,
              worker &target,
              worker_call_kind kind,
              worker_request request,
              milliseconds limit,
              time_point now,
              outbox &out)
{
    call_slot &slot = slotOf(target, kind);
    slot.serial = ++state.callSerial;
    slot.sentAt = now;
    out.push_back(call_worker{target.entry.name, target.entry.worker, slot.serial, std::move(request), limit});
}

void sendProbe(leader &state, worker &target, time_point now, outbox &out)
{
    control_request probe = makeControl(state, target, now);
    probe.token.epoch = epoch_number(0);
    probe.lease = milliseconds(0);
    sendCall(state, target, worker_call_kind::Control, probe, state.timing.callTimeout, now, out);
}

// Acquires the lease of a probed worker, or renews a lease that is held. Only a renewal waits for events.
void sendControl(leader &state, worker &target, time_point now, outbox &out)
{
    control_request request = makeControl(state, target, now);
    if (target.phase == worker_phase::Probed) {
        request.token.epoch = state.epoch;
    } else {
        request.wait = state.timing.renewal;
    }
    target.lastRenewal = now;
    sendCall(state, target, worker_call_kind::Control, request, request.wait + state.timing.callTimeout, now, out);
}

void sendSnapshot(leader &state, worker &target, time_point now, outbox &out)
{
    snapshot_request request;
    request.token = {target.epoch, state.holder, target.instance};
    request.page = target.nextPage;
    sendCall(state, target, worker_call_kind::Snapshot, request, state.timing.callTimeout, now, out);
}

// True if the current lease of the worker belongs to another holder and has not expired.
bool heldByOther(const leader &state, const worker &target, time_point now)
{
    return target.current.holder != state.holder && target.otherLeaseUntil > now;
}

void applyControlReply(leader &state, worker &target, const control_reply &reply, time_point now)
{
    target.clock = reply.clock;
    target.clockReadAt = now;
    target.current = reply.current;
    target.otherLeaseUntil = now + reply.remaining;
    target.capacity = reply.capacity;
    target.draining = target.draining || reply.draining;
    target.probeRequired = false;
    if (target.phase == worker_phase::Unknown || target.phase == worker_phase::Probed) {
        target.instance = reply.instance;
    }
    state.seenVersion = std::max(state.seenVersion, reply.version);
    state.seenRoster = std::max(state.seenRoster, reply.roster);
    if (reply.current.epoch >= state.epoch && reply.current.holder != state.holder) {
        state.epoch = epoch_number(reply.current.epoch.value + 1);
    }
}

bool takenByOther(const leader &state, const worker &target, const control_reply &reply)
{
    return target.epoch.value != 0 && reply.current.epoch > target.epoch && reply.current.holder != state.holder;
}

void beginReading(leader &state, worker &target, const control_reply &reply)
{
    target.epoch = reply.current.epoch;
    target.instance = reply.instance;
    target.phase = worker_phase::Reading;
    target.nextPage = 0;
    target.reported.clear();
    target.deferred.clear();
    target.markerMissing = true;
    target.markerPlaced = false;
    target.markerQueued = false;
    target.markerSent = false;
    state.dirtyWorkers.insert(target.entry.name);
}

void onProbed(leader &state, worker &target, const control_reply &reply, const clock_reading &now)
{
    if (target.phase == worker_phase::Unknown) {
        target.phase = worker_phase::Probed;
    }
    if (target.phase != worker_phase::Probed && reply.instance != target.instance) {
        settleRestartedWorker(state, target, now);
        target.phase = worker_phase::Probed;
        target.instance = reply.instance;
        target.epoch = epoch_number(0);
        target.leaseUntil = {};
    }
}

void handleTaskEvents(leader &state, worker &target, const std::vector<task_event> &events, const clock_reading &now)
{
    const bool reconciled = target.phase == worker_phase::Ready && state.phase == leader_phase::Leading;
    for (const task_event &event : events) {
        if (event.sequence <= target.lastHandledEvent) {
            continue;
        }
        target.lastHandledEvent = event.sequence;
        if (reconciled) {
            handleTaskEvent(state, target, event, now);
        } else {
            target.deferred.push_back(event);
        }
    }
}

void handleUsage(leader &state, worker &target, const std::vector<task_usage> &usage)
{
    std::vector<usage_sample> samples;
    for (const task_usage &entry : usage) {
        const task_key key{entry.task.job, entry.task.index};
        const auto placed = target.tasks.find(key);
        if (placed != target.tasks.end() && placed->second.task == entry.task) {
            samples.push_back({key, entry.used});
        }
    }
    if (samples.empty() || !state.decisions) {
        return;
    }
    for (const overuse_action &action : reportUsage(*state.decisions, samples)) {
        switch (action.action) {
        case overuse_action::kind::Throttle:
            queueThrottle(state, target, action.task, action.limit);
            break;
        case overuse_action::kind::Checkpoint:
            queueCheckpoint(state, target, action.task);
            break;
        case overuse_action::kind::Stop:
            queueStop(state, target, action.task);
            break;
        }
    }
}

void onGranted(leader &state, worker &target, const control_reply &reply, time_point sentAt, const clock_reading &now)
{
    // The sender's bound for the worker's clock is exact except for drift; the margin of one tenth allows for drift.
    target.leaseUntil = sentAt + state.timing.controlLease - state.timing.controlLease / 10;
    if (target.phase == worker_phase::Probed) {
        beginReading(state, target, reply);
        return;
    }
    handleTaskEvents(state, target, reply.events, now);
    handleUsage(state, target, reply.usage);
}

void onControlFailed(leader &state, worker &target, const error &problem, time_point now)
{
    call_slot &slot = slotOf(target, worker_call_kind::Control);
    target.probeRequired = true;
    slot.retryAt = now + backoffDelay(probeBackoff, slot.failures++, state.random);
    if (slot.failures == 1 && target.phase == worker_phase::Ready) {
        log_event("worker_unreachable", log_level::Warning)
            .with("worker", target.entry.name)
            .with("error", problem.message);
    }
}

// Leaves time for the leases of the former leader to expire and for calls to unresponsive workers to time out.
milliseconds takeoverLimit(const leader &state)
{
    return 3 * state.timing.controlLease;
}

// A rack may be missing, but its copies are waited for as long as the rack may only be slow.
bool mayActivate(const leader &state, time_point now)
{
    return unheldRacks(state.table, now, false).empty()
        || now >= state.takeoverAt + state.timing.controlLease + state.timing.callTimeout;
}

void onWorkerRead(leader &state, worker &target, const clock_reading &now)
{
    target.phase = worker_phase::Ready;
    if (state.phase == leader_phase::Leading) {
        offerWorker(state, target, now.monotonic);
        reconcileWorker(state, target, now);
    }
}

void clearState(leader &state)
{
    state.phase = leader_phase::Standby;
    for (auto &[name, target] : state.table.workers) {
        const vm_entry entry = target.entry;
        const bool listed = target.listed;
        const bool draining = target.draining;
        target = worker();
        target.entry = entry;
        target.listed = listed;
        target.draining = draining;
    }
    state.jobs = {};
    state.decisions.reset();
    state.recordPair.clear();
    state.jobsMissingCopies.clear();
    state.markedHolders.clear();
    state.markerRevision = {};
    state.delayedTasks.clear();
    state.delayedForgets.clear();
    state.dirtyJobs.clear();
    state.dirtyWorkers.clear();
    state.unreconciled.clear();
    state.unreconciledCopies.clear();
    state.incompleteSince.reset();
    state.archiveRead = false;
    state.releasing = false;
}

void releaseLease(leader &state, worker &target, time_point now, outbox &out)
{
    if (target.epoch.value == 0 || target.leaseUntil <= now) {
        return;
    }
    control_request request = makeControl(state, target, now);
    request.release = true;
    out.push_back(call_worker{
        target.entry.name, target.entry.worker, ++state.callSerial, std::move(request), state.timing.callTimeout});
}

void updateEntry(leader &state, worker &target, const vm_entry &entry, time_point now)
{
    const bool wasLive = target.entry.state == vm_state::Live;
    target.entry = entry;
    target.listed = true;
    if (wasLive && entry.state == vm_state::Leaving) {
        log_event("worker_leaving").with("worker", entry.name);
        replaceCopiesOn(state, entry.name, now);
    }
}

// Checkpoints the repeatable services and preemptible tasks of a worker that is draining or leaving, so that they
// move to other workers.
void checkpointMovableTasks(leader &state, worker &target)
{
    const bool leaving = target.draining || target.entry.state == vm_state::Leaving;
    if (!leaving || state.phase != leader_phase::Leading) {
        return;
    }
    for (auto &[key, placed] : target.tasks) {
        const job_ptr subject = findJob(state.jobs, key.job);
        const bool moves = subject && subject->record.repeatable
            && (subject->record.kind == work_kind::Service
                || policyOf(*state.settings, subject->record.kind).preemptible);
        if (moves) {
            queueCheckpoint(state, target, key);
        }
    }
}

} // namespace

void applyVmList(leader &state, const vm_list &list, const clock_reading &now, outbox &out)
{
    if (list.revision < state.table.roster) {
        return;
    }
    state.table.roster = list.revision;
    std::set<worker_id> present;
    for (const vm_entry &entry : list.vms) {
        if (entry.dataCentre == state.dataCentre) {
            present.insert(entry.name);
            updateEntry(state, state.table.workers[entry.name], entry, now.monotonic);
        }
    }
    for (auto &[name, target] : state.table.workers) {
        if (target.listed && present.count(name) == 0) {
            target.listed = false;
            log_event("worker_unlisted", log_level::Warning).with("worker", name);
            replaceCopiesOn(state, name, now.monotonic);
        }
        if (state.phase != leader_phase::Standby) {
            offerWorker(state, target, now.monotonic);
            driveWorker(state, target, now, out);
        }
    }
}

void markLeavingWorkers(leader &state, const std::vector<worker_id> &leaving)
{
    for (const worker_id &name : leaving) {
        const auto found = state.table.workers.find(name);
        if (found != state.table.workers.end() && !found->second.draining) {
            queueDrain(state, found->second);
            state.scheduleNeeded = true;
        }
    }
}

void considerTakeover(leader &state, bool candidate, epoch_number highest, const clock_reading &now, outbox &out)
{
    if (state.phase == leader_phase::TakingOver && !candidate) {
        stepDown(state, "another daemon is the candidate", now, out);
    }
    if (state.phase != leader_phase::Standby || !candidate || !state.settings || state.table.workers.empty()) {
        return;
    }
    state.phase = leader_phase::TakingOver;
    state.epoch = epoch_number(std::max(state.epoch, highest).value + 1);
    state.recordCounter = 0;
    state.takeoverAt = now.monotonic;
    state.incompleteSince.reset();
    state.decisions = makeScheduler(state.settings);
    log_event("takeover_started").with("data_centre", state.dataCentre).with("workers", state.table.workers.size());
    for (auto &[name, target] : state.table.workers) {
        driveWorker(state, target, now, out);
    }
}

void driveWorker(leader &state, worker &target, const clock_reading &now, outbox &out)
{
    if (state.phase == leader_phase::Standby || target.entry.worker.value.empty()) {
        return;
    }
    if (target.phase == worker_phase::Reading && !target.probeRequired
        && mayCall(target, worker_call_kind::Snapshot, now.monotonic)) {
        sendSnapshot(state, target, now.monotonic, out);
    }
    if (!mayCall(target, worker_call_kind::Control, now.monotonic)) {
        return;
    }
    // An expired lease is acquired again only after a probe, because a probe renews no task lease.
    const bool expired = target.leaseUntil != time_point() && target.leaseUntil <= now.monotonic;
    if (target.phase == worker_phase::Unknown || target.probeRequired) {
        sendProbe(state, target, now.monotonic, out);
    } else if (target.phase == worker_phase::Probed && heldByOther(state, target, now.monotonic)) {
        // Probes again when the other lease may have expired, or earlier in case it is released.
        slotOf(target, worker_call_kind::Control).retryAt =
            std::min(target.otherLeaseUntil, now.monotonic + state.timing.controlLease / 6);
        target.probeRequired = true;
    } else if (expired) {
        target.probeRequired = true;
        target.leaseUntil = {};
        sendProbe(state, target, now.monotonic, out);
    } else {
        sendControl(state, target, now.monotonic, out);
    }
}

void onControlEnded(
    leader &state, worker &target, const result<worker_reply> &outcome, const clock_reading &now, outbox &out)
{
    call_slot &slot = slotOf(target, worker_call_kind::Control);
    slot.serial = 0;
    const auto *reply = outcome ? std::get_if<control_reply>(&outcome.value()) : nullptr;
    if (reply == nullptr) {
        onControlFailed(state,
                        target,
                        outcome
                            ? makeError(error_kind::InvalidInput, "control call answered with a reply of another type")
                            : outcome.error(),
                        now.monotonic);
        offerWorker(state, target, now.monotonic);
        return;
    }
    slot.failures = 0;
    applyControlReply(state, target, *reply, now.monotonic);
    if (takenByOther(state, target, *reply)) {
        stepDown(state, "another daemon holds worker " + target.entry.name.value, now, out);
        return;
    }
    if (reply->granted) {
        onGranted(state, target, *reply, slot.sentAt, now);
    } else {
        onProbed(state, target, *reply, now);
    }
    offerWorker(state, target, now.monotonic);
    driveWorker(state, target, now, out);
}

void onSnapshotEnded(
    leader &state, worker &target, const result<worker_reply> &outcome, const clock_reading &now, outbox &out)
{
    call_slot &slot = slotOf(target, worker_call_kind::Snapshot);
    slot.serial = 0;
    const auto *reply = outcome ? std::get_if<snapshot_reply>(&outcome.value()) : nullptr;
    if (reply == nullptr || !reply->accepted) {
        slot.retryAt = now.monotonic + backoffDelay(probeBackoff, slot.failures++, state.random);
        return;
    }
    slot.failures = 0;
    if (target.phase != worker_phase::Reading) {
        return;
    }
    if (target.nextPage == 0) {
        target.lastHandledEvent = std::max(target.lastHandledEvent, reply->sequence);
    }
    target.reported.insert(target.reported.end(), reply->tasks.begin(), reply->tasks.end());
    for (const job_record &record : reply->records) {
        if (isCopyMarker(record)) {
            target.markerMissing = false;
            mergeCopyMarker(state, record);
        } else {
            mergeRecord(state, record, target.entry.name, now);
        }
    }
    target.nextPage = reply->nextPage;
    if (target.nextPage == 0) {
        onWorkerRead(state, target, now);
    }
    driveWorker(state, target, now, out);
}

void checkCompleteness(leader &state, const clock_reading &now, outbox &out)
{
    if (state.phase == leader_phase::Standby) {
        return;
    }
    if (isComplete(state, now.monotonic)) {
        state.incompleteSince.reset();
        if (state.phase == leader_phase::TakingOver && mayActivate(state, now.monotonic)) {
            activate(state, now);
        }
        return;
    }
    if (!state.incompleteSince) {
        state.incompleteSince = now.monotonic;
    }
    const bool leading = state.phase == leader_phase::Leading;
    const milliseconds limit = leading ? state.timing.controlLease : takeoverLimit(state);
    if (now.monotonic >= *state.incompleteSince + limit) {
        // Lets another daemon try, which may reach workers that this daemon does not.
        state.noTakeoverBefore = now.monotonic + takeoverLimit(state);
        stepDown(state,
                 leading ? "not complete for the length of a control lease" : "takeover did not complete in time",
                 now,
                 out);
    }
}

void stepDown(leader &state, const std::string &reason, const clock_reading &now, outbox &out)
{
    if (state.phase == leader_phase::Standby) {
        return;
    }
    log_event("leader_stepped_down", log_level::Warning)
        .with("data_centre", state.dataCentre)
        .with("epoch", state.epoch)
        .with("reason", reason);
    for (auto &[name, target] : state.table.workers) {
        releaseLease(state, target, now.monotonic, out);
    }
    for (const auto &[id, subject] : state.jobs.jobs) {
        for (const job_waiter &waiter : subject->waiters) {
            forward_answer message;
            message.correlation = waiter.correlation;
            message.answer.id = id;
            message.notLeader = true;
            out.push_back(send_peer{waiter.frontEnd, std::move(message)});
        }
    }
    ++state.counters.stepDowns;
    clearState(state);
}

void offerWorker(leader &state, worker &target, time_point now)
{
    // A worker that is read again after a restart stays registered with the scheduler, but receives no tasks until
    // it is read.
    const bool registered = target.phase == worker_phase::Ready || target.offered;
    if (!state.decisions || state.phase == leader_phase::Standby || !registered) {
        return;
    }
    const bool placeable = isPlaceable(target, now);
    worker_offer offer;
    offer.name = target.entry.name;
    offer.rack = target.entry.rack;
    offer.capacity = target.capacity;
    offer.placeable = placeable;
    if (!target.offered || placeable != target.placeable) {
        putWorker(*state.decisions, offer);
        state.scheduleNeeded = true;
    }
    target.offered = true;
    target.placeable = placeable;
    checkpointMovableTasks(state, target);
}

} // namespace sesamespar
