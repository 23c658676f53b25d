#include "standins/worker_host.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <random>

namespace sesamespar::standins {

namespace {

/// A control call that is waiting for events.
struct waiting_control {
    control_request request;
    worker_answer answer;
    worker_clock deadline;
};

/// A call that arrived during a pause.
struct held_call {
    worker_request request;
    worker_answer answer;
};

struct hosted_worker {
    worker_state state;
    worker_mode mode = worker_mode::Normal;
    std::int64_t clockOffset = 0;
    std::int64_t answersToLose = 0;
    std::vector<waiting_control> waiting;
    std::vector<held_call> held;
    std::vector<worker_answer> lostAnswers;
    std::optional<worker_clock> scheduledWake; ///< Earliest scheduled call of wakeWorker.
};

/// Answers to deliver after the lock is released, because delivery encodes and sends them.
using answer_outbox = std::vector<std::pair<worker_answer, result<worker_reply>>>;

} // namespace

struct worker_host : std::enable_shared_from_this<worker_host> {
    std::mutex mutex;
    std::shared_ptr<timer_queue> timers;
    std::vector<hosted_worker> workers;
    execution_recorder recorder;
    saved_progress progress;
    std::mt19937_64 random{std::random_device{}()};
    time_point start = std::chrono::steady_clock::now();
};

namespace {

/// Distance between the clocks of two workers in milliseconds. It makes tests fail if the scheduler uses a reading of
/// one worker's clock for another worker.
constexpr std::int64_t clockSpacing = 10000000;

worker_clock clockOf(const worker_host &host, const hosted_worker &worker, time_point now)
{
    return worker_clock(worker.clockOffset + std::chrono::duration_cast<milliseconds>(now - host.start).count());
}

time_point timePointOf(const worker_host &host, const hosted_worker &worker, worker_clock reading)
{
    return host.start + milliseconds(reading.value - worker.clockOffset);
}

void send(const answer_outbox &outbox)
{
    for (const auto &[answer, reply] : outbox) {
        answer(reply);
    }
}

result<worker_reply> noAnswerError()
{
    return makeError(error_kind::Unknown, "the worker did not answer the call");
}

void wakeWorker(worker_host &host, std::size_t index);

/// Earliest time at which the worker must act without a call.
std::optional<worker_clock> nextWake(const hosted_worker &worker)
{
    std::optional<worker_clock> due = nextDue(worker.state);
    // Calls to a paused worker are answered when the pause ends, not at a certain time.
    if (worker.mode == worker_mode::Paused) {
        return due;
    }
    for (const waiting_control &call : worker.waiting) {
        const worker_clock callDue = std::min(call.deadline, worker.state.leaseUntil);
        due = due ? std::min(*due, callDue) : callDue;
    }
    return due;
}

void scheduleWake(worker_host &host, std::size_t index)
{
    hosted_worker &worker = host.workers.at(index);
    const auto due = nextWake(worker);
    if (!due || (worker.scheduledWake && *worker.scheduledWake <= *due)) {
        return;
    }
    worker.scheduledWake = due;
    runAt(*host.timers, timePointOf(host, worker, *due), [weak = host.weak_from_this(), index] {
        if (const auto locked = weak.lock()) {
            wakeWorker(*locked, index);
        }
    });
}

/// Ends the tasks that are due on one worker, and answers its waiting calls that are ready.
void updateWorker(worker_host &host, std::size_t index, time_point now, answer_outbox &outbox)
{
    hosted_worker &worker = host.workers.at(index);
    const worker_clock reading = clockOf(host, worker, now);
    task_changes changes;
    advanceWorker(worker.state, reading, changes);
    recordChanges(host.recorder, worker.state, changes, readClocks().utc);
    if (worker.mode != worker_mode::Paused) {
        const auto ready = [&](const waiting_control &call) {
            const bool canAnswer = reading >= call.deadline || isReplyReady(worker.state, call.request, reading);
            if (canAnswer) {
                outbox.emplace_back(call.answer, worker_reply(answerControl(worker.state, call.request, reading)));
            }
            return canAnswer;
        };
        worker.waiting.erase(std::remove_if(worker.waiting.begin(), worker.waiting.end(), ready), worker.waiting.end());
    }
    scheduleWake(host, index);
}

/// Updates every worker whose scheduled time has passed, so that the recorder sees ends before later starts.
void updateDueWorkers(worker_host &host, time_point now, answer_outbox &outbox)
{
    for (std::size_t index = 0; index < host.workers.size(); ++index) {
        const hosted_worker &worker = host.workers.at(index);
        if (worker.scheduledWake && *worker.scheduledWake <= clockOf(host, worker, now)) {
            updateWorker(host, index, now, outbox);
        }
    }
}

void wakeWorker(worker_host &host, std::size_t index)
{
    answer_outbox outbox;
    {
        const std::lock_guard lock(host.mutex);
        host.workers.at(index).scheduledWake.reset();
        updateWorker(host, index, std::chrono::steady_clock::now(), outbox);
    }
    send(outbox);
}

/// Queues an answer for delivery, or withholds it while answers are to be lost.
void sendOrLoseAnswer(hosted_worker &worker, worker_answer answer, worker_reply reply, answer_outbox &outbox)
{
    if (worker.answersToLose > 0) {
        --worker.answersToLose;
        worker.lostAnswers.push_back(std::move(answer));
        return;
    }
    outbox.emplace_back(std::move(answer), std::move(reply));
}

void handleControl(hosted_worker &worker,
                   const control_request &request,
                   worker_answer answer,
                   worker_clock now,
                   answer_outbox &outbox)
{
    applyControl(worker.state, request, now);
    if (request.wait.count() > 0 && !isReplyReady(worker.state, request, now)) {
        worker.waiting.push_back({request, std::move(answer), worker_clock(now.value + request.wait.count())});
        return;
    }
    outbox.emplace_back(std::move(answer), worker_reply(answerControl(worker.state, request, now)));
}

void handleCommands(worker_host &host,
                    hosted_worker &worker,
                    const commands_request &request,
                    worker_answer answer,
                    worker_clock now,
                    answer_outbox &outbox)
{
    task_changes changes;
    commands_reply reply = runCommands(worker.state, request, now, host.progress, changes);
    recordChanges(host.recorder, worker.state, changes, readClocks().utc);
    sendOrLoseAnswer(worker, std::move(answer), std::move(reply), outbox);
}

void handleCall(worker_host &host,
                std::size_t index,
                const worker_request &request,
                worker_answer answer,
                time_point now,
                answer_outbox &outbox)
{
    hosted_worker &worker = host.workers.at(index);
    const worker_clock reading = clockOf(host, worker, now);
    if (const auto *control = std::get_if<control_request>(&request)) {
        handleControl(worker, *control, std::move(answer), reading, outbox);
    } else if (const auto *snapshot = std::get_if<snapshot_request>(&request)) {
        sendOrLoseAnswer(worker, std::move(answer), takeSnapshot(worker.state, *snapshot, reading), outbox);
    } else if (const auto *records = std::get_if<write_records_request>(&request)) {
        sendOrLoseAnswer(worker, std::move(answer), writeRecords(worker.state, *records, reading), outbox);
    } else if (const auto *commands = std::get_if<commands_request>(&request)) {
        handleCommands(host, worker, *commands, std::move(answer), reading, outbox);
    }
    updateWorker(host, index, now, outbox);
}

/// Drops all waiting and queued calls without an answer, like a failed machine.
void dropCalls(hosted_worker &worker)
{
    for (waiting_control &call : worker.waiting) {
        worker.lostAnswers.push_back(std::move(call.answer));
    }
    for (held_call &call : worker.held) {
        worker.lostAnswers.push_back(std::move(call.answer));
    }
    worker.waiting.clear();
    worker.held.clear();
}

/// Handles the calls that a pause queued, and fails those that were dropped or whose answer was lost.
void resumeCalls(worker_host &host, std::size_t index, time_point now, answer_outbox &outbox)
{
    hosted_worker &worker = host.workers.at(index);
    for (worker_answer &answer : worker.lostAnswers) {
        outbox.emplace_back(std::move(answer), noAnswerError());
    }
    worker.lostAnswers.clear();
    std::vector<held_call> held;
    held.swap(worker.held);
    for (held_call &call : held) {
        handleCall(host, index, call.request, std::move(call.answer), now, outbox);
    }
    updateWorker(host, index, now, outbox);
}

} // namespace

std::shared_ptr<worker_host> makeWorkerHost(std::shared_ptr<timer_queue> timers)
{
    auto host = std::make_shared<worker_host>();
    host->timers = std::move(timers);
    return host;
}

std::size_t addWorker(worker_host &host, const worker_id &name, const resources &capacity)
{
    const std::lock_guard lock(host.mutex);
    const std::size_t index = host.workers.size();
    hosted_worker &worker = host.workers.emplace_back();
    worker.state.name = name;
    worker.state.capacity = capacity;
    worker.state.instance = incarnation_id(host.random());
    worker.clockOffset = clockSpacing * static_cast<std::int64_t>(index + 1);
    trackWorker(host.recorder, name, capacity);
    return index;
}

void callHostedWorker(worker_host &host, std::size_t index, const worker_request &request, worker_answer answer)
{
    answer_outbox outbox;
    {
        const std::lock_guard lock(host.mutex);
        const time_point now = std::chrono::steady_clock::now();
        hosted_worker &worker = host.workers.at(index);
        updateDueWorkers(host, now, outbox);
        if (worker.mode == worker_mode::Paused) {
            worker.held.push_back({request, std::move(answer)});
        } else if (worker.mode == worker_mode::Vanished) {
            worker.lostAnswers.push_back(std::move(answer));
        } else {
            handleCall(host, index, request, std::move(answer), now, outbox);
        }
    }
    send(outbox);
}

void setWorkerMode(worker_host &host, std::size_t index, worker_mode mode)
{
    answer_outbox outbox;
    {
        const std::lock_guard lock(host.mutex);
        const time_point now = std::chrono::steady_clock::now();
        hosted_worker &worker = host.workers.at(index);
        worker.mode = mode;
        updateDueWorkers(host, now, outbox);
        if (mode == worker_mode::Vanished) {
            dropCalls(worker);
        } else if (mode == worker_mode::Normal) {
            resumeCalls(host, index, now, outbox);
        }
    }
    send(outbox);
}

void setFailsEveryTask(worker_host &host, std::size_t index, bool fails)
{
    const std::lock_guard lock(host.mutex);
    host.workers.at(index).state.failsEveryTask = fails;
}

void loseAnswers(worker_host &host, std::size_t index, std::int64_t count)
{
    const std::lock_guard lock(host.mutex);
    host.workers.at(index).answersToLose = count;
}

void restartHostedWorker(worker_host &host, std::size_t index)
{
    answer_outbox outbox;
    {
        const std::lock_guard lock(host.mutex);
        hosted_worker &worker = host.workers.at(index);
        task_changes changes;
        restartWorker(worker.state, incarnation_id(host.random()), changes);
        recordChanges(host.recorder, worker.state, changes, readClocks().utc);
        updateWorker(host, index, std::chrono::steady_clock::now(), outbox);
    }
    send(outbox);
}

std::string encodeHostReport(worker_host &host)
{
    answer_outbox outbox;
    execution_recorder copy;
    {
        const std::lock_guard lock(host.mutex);
        updateDueWorkers(host, std::chrono::steady_clock::now(), outbox);
        copy = host.recorder;
    }
    send(outbox);
    return encodeExecutionReport(copy, readClocks().utc);
}

} // namespace sesamespar::standins
