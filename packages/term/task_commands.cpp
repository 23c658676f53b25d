#include "term/task_commands.h"

#include "base/log.h"

#include <algorithm>

namespace sesamespar {

namespace {

// Limits one call; further starts are sent when it has been answered.
constexpr std::size_t maxStartsPerCall = 256;

bool isEmpty(const queued_commands &commands)
{
    return commands.start.empty() && commands.stop.empty() && commands.checkpoint.empty() && commands.throttle.empty()
        && commands.forget.empty() && !commands.drain;
}

template<typename Command>
void prepend(std::vector<Command> &queued, std::vector<Command> &sent)
{
    queued.insert(queued.begin(), std::make_move_iterator(sent.begin()), std::make_move_iterator(sent.end()));
    sent.clear();
}

void requeueSent(worker &target)
{
    prepend(target.queued.start, target.sent.start);
    prepend(target.queued.stop, target.sent.stop);
    prepend(target.queued.checkpoint, target.sent.checkpoint);
    prepend(target.queued.throttle, target.sent.throttle);
    prepend(target.queued.forget, target.sent.forget);
    target.queued.drain = target.queued.drain || target.sent.drain;
    target.sent = {};
}

attempt_progress *progressOf(leader &state, const task_id &task)
{
    const job_ptr subject = findJob(state.jobs, task.job);
    if (!subject || task.index.value >= subject->progress.size()
        || subject->record.tasks.at(task.index.value).attempt != task.attempt) {
        return nullptr;
    }
    return &subject->progress.at(task.index.value);
}

void markArrived(leader &state, const worker &target)
{
    for (const start_command &start : target.sent.start) {
        if (attempt_progress *progress = progressOf(state, start.task)) {
            progress->startArrived = true;
        }
    }
}

std::vector<start_command>::iterator findStart(std::vector<start_command> &starts, const task_id &task)
{
    return std::find_if(starts.begin(), starts.end(), [&](const start_command &start) { return start.task == task; });
}

// True while the record still places this attempt on the worker and its start is not confirmed. A start that was
// queued for an unreachable worker must not be sent after its task was settled and placed elsewhere.
bool isCurrent(const leader &state, const worker &target, const start_command &start)
{
    const job_ptr subject = findJob(state.jobs, start.task.job);
    if (!subject || start.task.index.value >= subject->record.tasks.size()) {
        return false;
    }
    const task_record &task = subject->record.tasks.at(start.task.index.value);
    return task.attempt == start.task.attempt && task.worker == target.entry.name && task.state == task_state::Claimed;
}

commands_request takeQueued(leader &state, worker &target, time_point now)
{
    queued_commands &queued = target.queued;
    target.sent = {};
    queued.start.erase(std::remove_if(queued.start.begin(),
                                      queued.start.end(),
                                      [&](const start_command &start) { return !isCurrent(state, target, start); }),
                       queued.start.end());
    const auto count = static_cast<std::ptrdiff_t>(std::min(queued.start.size(), maxStartsPerCall));
    target.sent.start.assign(queued.start.begin(), queued.start.begin() + count);
    queued.start.erase(queued.start.begin(), queued.start.begin() + count);
    target.sent.stop.swap(queued.stop);
    target.sent.checkpoint.swap(queued.checkpoint);
    target.sent.throttle.swap(queued.throttle);
    target.sent.forget.swap(queued.forget);
    std::swap(target.sent.drain, queued.drain);

    commands_request request;
    request.token = {target.epoch, state.holder, target.instance};
    request.sentAt = estimateClock(target, now);
    request.validity = state.timing.controlLease;
    request.start = target.sent.start;
    request.stop = target.sent.stop;
    request.checkpoint = target.sent.checkpoint;
    request.throttle = target.sent.throttle;
    request.forget = target.sent.forget;
    request.drain = target.sent.drain;
    return request;
}

placed_task *placedOn(worker &target, const task_key &task)
{
    const auto found = target.tasks.find(task);
    return found == target.tasks.end() ? nullptr : &found->second;
}

} // namespace

void queueStart(leader &state, worker &target, job &subject, task_record &task)
{
    start_command start;
    start.task = attemptOf(subject.record, task);
    start.need = subject.record.need;
    start.runTime = subject.record.runTime;
    start.lease = policyOf(*state.settings, subject.record.kind).taskLease;
    start.work = subject.record.request.work;
    start.payload = subject.record.request.payload;
    target.queued.start.push_back(std::move(start));
    subject.progress.at(task.index.value).startQueued = true;
    state.dirtyWorkers.insert(target.entry.name);
}

bool isUnsent(const job &subject, const worker &target, const task_record &task)
{
    const task_id id = attemptOf(subject.record, task);
    const auto &sent = target.sent.start;
    const bool underWay =
        std::any_of(sent.begin(), sent.end(), [&](const start_command &start) { return start.task == id; });
    return !underWay && !subject.progress.at(task.index.value).startArrived;
}

bool withdrawStart(leader &state, worker &target, job &subject, const task_record &task)
{
    if (!isUnsent(subject, target, task)) {
        return false;
    }
    attempt_progress &progress = subject.progress.at(task.index.value);
    const task_id id = attemptOf(subject.record, task);
    const auto queued = findStart(target.queued.start, id);
    if (queued != target.queued.start.end()) {
        target.queued.start.erase(queued);
    }
    progress.startQueued = false;
    state.dirtyWorkers.insert(target.entry.name);
    return true;
}

void queueStop(leader &state, worker &target, const task_key &task)
{
    placed_task *placed = placedOn(target, task);
    if (placed != nullptr && !placed->stopRequested) {
        placed->stopRequested = true;
        target.queued.stop.push_back(placed->task);
        state.dirtyWorkers.insert(target.entry.name);
    }
}

void queueCheckpoint(leader &state, worker &target, const task_key &task)
{
    placed_task *placed = placedOn(target, task);
    if (placed != nullptr && !placed->stopRequested) {
        placed->stopRequested = true;
        target.queued.checkpoint.push_back(placed->task);
        state.dirtyWorkers.insert(target.entry.name);
    }
}

void queueThrottle(leader &state, worker &target, const task_key &task, millicores limit)
{
    const placed_task *placed = placedOn(target, task);
    if (placed != nullptr) {
        target.queued.throttle.push_back({placed->task, limit});
        state.dirtyWorkers.insert(target.entry.name);
    }
}

void forgetLater(leader &state, const worker_id &target, const task_id &task, time_point now)
{
    // Workers reject commands after their validity; the margin of one tenth allows for clocks that run at different
    // speeds.
    const milliseconds validity = state.timing.controlLease + state.timing.controlLease / 10;
    state.delayedForgets.emplace(now + validity, ended_attempt{target, task});
}

void queueDueForgets(leader &state, time_point now)
{
    while (!state.delayedForgets.empty() && state.delayedForgets.begin()->first <= now) {
        const ended_attempt &due = state.delayedForgets.begin()->second;
        const auto found = state.table.workers.find(due.worker);
        if (found != state.table.workers.end()) {
            found->second.queued.forget.push_back(due.task);
            state.dirtyWorkers.insert(due.worker);
        }
        state.delayedForgets.erase(state.delayedForgets.begin());
    }
}

void queueDrain(leader &state, worker &target)
{
    if (!target.draining) {
        target.draining = true;
        target.queued.drain = true;
        state.dirtyWorkers.insert(target.entry.name);
    }
}

void flushCommands(leader &state, worker &target, time_point now, outbox &out)
{
    if (!isHeld(target, now) || !mayCall(target, worker_call_kind::Commands, now) || isEmpty(target.queued)) {
        return;
    }
    commands_request request = takeQueued(state, target, now);
    if (!request.start.empty()) {
        // A start grants the task its first lease, as a renewal does.
        target.lastRenewal = now;
    }
    call_slot &slot = slotOf(target, worker_call_kind::Commands);
    slot.serial = ++state.callSerial;
    slot.sentAt = now;
    out.push_back(
        call_worker{target.entry.name, target.entry.worker, slot.serial, std::move(request), state.timing.callTimeout});
}

commands_outcome onCommandsEnded(leader &state, worker &target, const result<worker_reply> &outcome, time_point now)
{
    constexpr backoff_settings backoff{milliseconds(50), milliseconds(1000)};
    commands_outcome ended;
    call_slot &slot = slotOf(target, worker_call_kind::Commands);
    slot.serial = 0;
    const auto *reply = outcome ? std::get_if<commands_reply>(&outcome.value()) : nullptr;
    if (reply != nullptr && reply->accepted) {
        slot.failures = 0;
        markArrived(state, target);
        ended.rejected = reply->rejected;
        for (const start_command &start : target.sent.start) {
            ended.started.push_back(start.task);
        }
        target.sent = {};
        if (!isEmpty(target.queued)) {
            state.dirtyWorkers.insert(target.entry.name);
        }
        return ended;
    }
    const bool neverSent = !outcome && outcome.error().kind == error_kind::Unreachable;
    if (reply == nullptr && !neverSent) {
        markArrived(state, target);
    }
    if (slot.failures == 0) {
        log_event("commands_failed", log_level::Warning)
            .with("worker", target.entry.name)
            .with("error", outcome ? "the worker did not accept the commands" : outcome.error().message);
    }
    slot.retryAt = now + backoffDelay(backoff, slot.failures++, state.random);
    requeueSent(target);
    state.dirtyWorkers.insert(target.entry.name);
    ended.fenced = reply != nullptr && reply->current.epoch > target.epoch;
    return ended;
}

} // namespace sesamespar
