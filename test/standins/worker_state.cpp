#include "standins/worker_state.h"

#include <algorithm>

namespace sesamespar::standins {

namespace {

constexpr std::size_t pageSize = 256;

worker_clock addDuration(worker_clock start, milliseconds duration)
{
    return worker_clock(start.value + duration.count());
}

void addEvent(worker_state &worker, const task_id &task, task_event_kind kind, const std::string &result)
{
    ++worker.lastEvent.value;
    worker.events.push_back({worker.lastEvent, task, kind, result});
}

std::string outcomeName(task_event_kind kind)
{
    switch (kind) {
    case task_event_kind::Started:
        return "started";
    case task_event_kind::Succeeded:
        return "succeeded";
    case task_event_kind::Failed:
        return "failed";
    case task_event_kind::Stopped:
        return "stopped";
    case task_event_kind::Checkpointed:
        return "checkpointed";
    case task_event_kind::LeaseExpired:
        return "lease_lapsed";
    }
    return "unknown";
}

void endTask(worker_state &worker, local_task &task, task_event_kind kind, std::string result, task_changes &changes)
{
    task.ended = true;
    task.last = kind;
    task.result = std::move(result);
    addEvent(worker, task.command.task, kind, task.result);
    changes.push_back({task.command.task, task.command.need, false, outcomeName(kind)});
}

bool canAcquireControl(const worker_state &worker, const control_request &request, worker_clock now)
{
    const control_token &token = request.token;
    if (token.epoch.value == 0 || token.instance != worker.instance) {
        return false;
    }
    if (token.epoch == worker.current.epoch) {
        return token.holder == worker.current.holder;
    }
    return token.epoch > worker.current.epoch && now >= worker.leaseUntil;
}

void renewTasks(worker_state &worker, worker_clock sentAt)
{
    for (auto &entry : worker.tasks) {
        local_task &task = entry.second;
        task.leaseUntil = std::max(task.leaseUntil, addDuration(sentAt, task.command.lease));
    }
}

void removeHandledEvents(worker_state &worker, event_sequence handled)
{
    while (!worker.events.empty() && worker.events.front().sequence <= handled) {
        worker.events.pop_front();
    }
}

std::vector<task_usage> dueUsage(worker_state &worker, worker_clock now)
{
    std::vector<task_usage> due;
    for (auto &entry : worker.tasks) {
        local_task &task = entry.second;
        if (task.ended || now < task.usageDue) {
            continue;
        }
        resources used = task.command.need;
        used.processors = task.directive.use.value_or(used.processors);
        if (task.throttle) {
            used.processors = std::min(used.processors, *task.throttle);
        }
        due.push_back({entry.first, used});
        task.usageDue = addDuration(now, worker.usageLag);
    }
    return due;
}

/// Reason to reject a start, or nothing if the start is acceptable.
std::optional<std::string> findRejectionReason(const worker_state &worker,
                                               const commands_request &request,
                                               const start_command &start,
                                               worker_clock now)
{
    if (worker.stoppedBeforeStart.contains(start.task)) {
        return "the task was stopped before its start arrived";
    }
    if (addDuration(request.sentAt, start.lease) <= now) {
        return "the lease of the task expired before its start arrived";
    }
    return std::nullopt;
}

local_task makeTask(const worker_state &worker,
                    const commands_request &request,
                    const start_command &start,
                    worker_clock now,
                    const saved_progress &progress)
{
    local_task task;
    task.command = start;
    task.directive = parseTaskDirective(start.payload);
    task.started = now;
    task.leaseUntil = addDuration(request.sentAt, start.lease);
    task.usageDue = addDuration(now, worker.usageLag);
    milliseconds runTime = task.directive.runTime.value_or(start.runTime);
    if (runTime.count() > 0) {
        const auto saved = progress.find({start.task.job, start.task.index});
        runTime = saved == progress.end() ? runTime : std::max(runTime - saved->second, milliseconds(1));
        task.finishes = addDuration(now, runTime);
    }
    return task;
}

void startTask(worker_state &worker,
               const commands_request &request,
               const start_command &start,
               worker_clock now,
               const saved_progress &progress,
               task_changes &changes,
               commands_reply &reply)
{
    if (worker.tasks.contains(start.task)) {
        return;
    }
    if (auto reason = findRejectionReason(worker, request, start, now)) {
        reply.rejected.push_back({start.task, std::move(*reason)});
        return;
    }
    worker.tasks.emplace(start.task, makeTask(worker, request, start, now, progress));
    addEvent(worker, start.task, task_event_kind::Started, {});
    changes.push_back({start.task, start.need, true, {}});
}

void stopTask(worker_state &worker, const task_id &id, task_changes &changes)
{
    const auto found = worker.tasks.find(id);
    if (found == worker.tasks.end()) {
        if (worker.stoppedBeforeStart.insert(id).second) {
            addEvent(worker, id, task_event_kind::Stopped, {});
        }
        return;
    }
    if (!found->second.ended) {
        endTask(worker, found->second, task_event_kind::Stopped, {}, changes);
    }
}

void checkpointTask(
    worker_state &worker, const task_id &id, worker_clock now, saved_progress &progress, task_changes &changes)
{
    const auto found = worker.tasks.find(id);
    if (found == worker.tasks.end() || found->second.ended) {
        return;
    }
    progress[{id.job, id.index}] += milliseconds(now.value - found->second.started.value);
    endTask(worker, found->second, task_event_kind::Checkpointed, {}, changes);
}

void removeEndedTask(worker_state &worker, const task_id &id)
{
    const auto found = worker.tasks.find(id);
    if (found != worker.tasks.end() && found->second.ended) {
        worker.tasks.erase(found);
    }
}

/// Tasks of a snapshot: running and ended tasks, then tasks that were stopped before their start.
std::vector<worker_task> allTasks(const worker_state &worker)
{
    std::vector<worker_task> all;
    for (const auto &entry : worker.tasks) {
        const local_task &task = entry.second;
        all.push_back({entry.first, task.command.need, task.ended, task.last, task.result});
    }
    for (const task_id &id : worker.stoppedBeforeStart) {
        all.push_back({id, {}, true, task_event_kind::Stopped, {}});
    }
    return all;
}

template<typename Element>
std::vector<Element> pageOf(const std::vector<Element> &all, std::uint64_t page)
{
    const std::size_t first = std::min<std::size_t>(page * pageSize, all.size());
    const std::size_t last = std::min(first + pageSize, all.size());
    return {all.begin() + static_cast<std::ptrdiff_t>(first), all.begin() + static_cast<std::ptrdiff_t>(last)};
}

} // namespace

bool holdsControl(const worker_state &worker, const control_token &token, worker_clock now)
{
    return token.epoch.value != 0 && token.instance == worker.instance && token.epoch == worker.current.epoch
        && token.holder == worker.current.holder && now < worker.leaseUntil;
}

void applyControl(worker_state &worker, const control_request &request, worker_clock now)
{
    if (canAcquireControl(worker, request, now)) {
        worker.current = request.token;
        if (request.release) {
            worker.leaseUntil = now;
        } else {
            worker.leaseUntil = std::max(worker.leaseUntil, addDuration(request.sentAt, request.lease));
            renewTasks(worker, request.sentAt);
            removeHandledEvents(worker, request.after);
        }
    }
    if (request.token.epoch.value != 0) {
        worker.version = std::max(worker.version, request.version);
        worker.roster = std::max(worker.roster, request.roster);
    }
}

control_reply answerControl(worker_state &worker, const control_request &request, worker_clock now)
{
    control_reply reply;
    const bool holds = holdsControl(worker, request.token, now);
    const bool released =
        request.release && worker.current.epoch == request.token.epoch && worker.current.holder == request.token.holder;
    reply.granted = holds || released;
    reply.current = worker.current;
    reply.remaining = milliseconds(std::max<std::int64_t>(worker.leaseUntil.value - now.value, 0));
    reply.clock = now;
    reply.instance = worker.instance;
    reply.capacity = worker.capacity;
    reply.draining = worker.draining;
    reply.version = worker.version;
    reply.roster = worker.roster;
    if (!holds) {
        return reply;
    }
    for (const task_event &event : worker.events) {
        if (event.sequence > request.after && reply.events.size() < pageSize) {
            reply.events.push_back(event);
        }
    }
    reply.usage = dueUsage(worker, now);
    return reply;
}

bool isReplyReady(const worker_state &worker, const control_request &request, worker_clock now)
{
    return !holdsControl(worker, request.token, now) || worker.lastEvent > request.after;
}

snapshot_reply takeSnapshot(worker_state &worker, const snapshot_request &request, worker_clock now)
{
    snapshot_reply reply;
    reply.accepted = holdsControl(worker, request.token, now);
    reply.current = worker.current;
    if (!reply.accepted) {
        return reply;
    }
    if (request.page == 0) {
        worker.snapshotEvent = worker.lastEvent;
    }
    reply.sequence = worker.snapshotEvent;
    const std::vector<worker_task> tasks = allTasks(worker);
    std::vector<job_record> records;
    for (const auto &entry : worker.records) {
        records.push_back(entry.second);
    }
    reply.tasks = pageOf(tasks, request.page);
    reply.records = pageOf(records, request.page);
    const bool more = std::max(tasks.size(), records.size()) > (request.page + 1) * pageSize;
    reply.nextPage = more ? request.page + 1 : 0;
    return reply;
}

write_records_reply writeRecords(worker_state &worker, const write_records_request &request, worker_clock now)
{
    if (!holdsControl(worker, request.token, now)) {
        return {false, worker.current};
    }
    for (const job_record &record : request.put) {
        const auto found = worker.records.find(record.request.id);
        if (found == worker.records.end() || found->second.revision < record.revision) {
            worker.records[record.request.id] = record;
        }
    }
    for (const record_drop &drop : request.drop) {
        const auto found = worker.records.find(drop.id);
        if (found != worker.records.end() && found->second.revision <= drop.revision) {
            worker.records.erase(found);
        }
    }
    return {true, worker.current};
}

commands_reply runCommands(worker_state &worker,
                           const commands_request &request,
                           worker_clock now,
                           saved_progress &progress,
                           task_changes &changes)
{
    commands_reply reply;
    reply.accepted = holdsControl(worker, request.token, now) && now <= addDuration(request.sentAt, request.validity);
    reply.current = worker.current;
    reply.clock = now;
    if (!reply.accepted) {
        return reply;
    }
    worker.draining = worker.draining || request.drain;
    for (const task_id &id : request.stop) {
        stopTask(worker, id, changes);
    }
    for (const task_id &id : request.checkpoint) {
        checkpointTask(worker, id, now, progress, changes);
    }
    for (const start_command &start : request.start) {
        startTask(worker, request, start, now, progress, changes, reply);
    }
    for (const throttle_command &throttle : request.throttle) {
        const auto found = worker.tasks.find(throttle.task);
        if (found != worker.tasks.end()) {
            found->second.throttle = throttle.limit;
        }
    }
    for (const task_id &id : request.forget) {
        removeEndedTask(worker, id);
    }
    return reply;
}

void advanceWorker(worker_state &worker, worker_clock now, task_changes &changes)
{
    for (auto &entry : worker.tasks) {
        local_task &task = entry.second;
        if (task.ended) {
            continue;
        }
        // A task that finished before its lease expired counts as finished, even if this call comes after the expiry.
        if (task.finishes && *task.finishes <= now && *task.finishes <= task.leaseUntil) {
            const bool failed = task.directive.fails || worker.failsEveryTask;
            endTask(worker,
                    task,
                    failed ? task_event_kind::Failed : task_event_kind::Succeeded,
                    task.directive.result,
                    changes);
        } else if (task.leaseUntil <= now) {
            endTask(worker, task, task_event_kind::LeaseExpired, {}, changes);
        }
    }
}

std::optional<worker_clock> nextDue(const worker_state &worker)
{
    std::optional<worker_clock> due;
    for (const auto &entry : worker.tasks) {
        const local_task &task = entry.second;
        if (!task.ended) {
            const worker_clock nextEvent = std::min(task.finishes.value_or(task.leaseUntil), task.leaseUntil);
            due = due ? std::min(*due, nextEvent) : nextEvent;
        }
    }
    return due;
}

void restartWorker(worker_state &worker, incarnation_id instance, task_changes &changes)
{
    for (const auto &entry : worker.tasks) {
        if (!entry.second.ended) {
            changes.push_back({entry.first, entry.second.command.need, false, "instance_gone"});
        }
    }
    worker_state restarted;
    restarted.name = worker.name;
    restarted.capacity = worker.capacity;
    restarted.failsEveryTask = worker.failsEveryTask;
    restarted.usageLag = worker.usageLag;
    restarted.instance = instance;
    worker = std::move(restarted);
}

} // namespace sesamespar::standins
