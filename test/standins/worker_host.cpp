#include "standins/worker_host.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <random>

namespace sesamespar::standins {

namespace {

/// A control call that waits for events.
struct waiting_control {
    control_request request;
    worker_answer answer;
    worker_clock deadline;
};

/// A call that came in during a pause.
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
    std::vector<worker_answer> lost;
    std::optional<worker_clock> wake; ///< Earliest wake that is scheduled.
};

/// Answers that are given after the lock is released, since they encode and send.
using answer_outbox = std::vector<std::pair<worker_answer, result<worker_reply>>>;

} // namespace

struct worker_host : std::enable_shared_from_this<worker_host> {
    std::mutex mutex;
    std::shared_ptr<timer_queue> timers;
    std::vector<hosted_worker> workers;
    execution_recorder seen;
    saved_progress progress;
    std::mt19937_64 random{std::random_device{}()};
    time_point start = std::chrono::steady_clock::now();
};

namespace {

/// Workers' clocks lie this far apart, so that a reading of one that is used for another shows.
constexpr std::int64_t clockSpacing = 10000000;

worker_clock clockOf(const worker_host &host, const hosted_worker &worker, time_point now)
{
    return worker_clock(worker.clockOffset + std::chrono::duration_cast<milliseconds>(now - host.start).count());
}

time_point pointOf(const worker_host &host, const hosted_worker &worker, worker_clock reading)
{
    return host.start + milliseconds(reading.value - worker.clockOffset);
}

void send(const answer_outbox &outbox)
{
    for (const auto &[answer, reply] : outbox) {
        answer(reply);
    }
}

result<worker_reply> notAnswered()
{
    return makeError(error_kind::Unknown, "the worker gives no answer");
}

void wakeWorker(worker_host &host, std::size_t index);

/// Earliest time at which the worker has something to do by itself.
std::optional<worker_clock> nextWake(const hosted_worker &worker)
{
    std::optional<worker_clock> due = nextDue(worker.state);
    // The calls of a paused worker are answered when its pause ends, not at a time.
    if (worker.mode == worker_mode::Paused) {
        return due;
    }
    for (const waiting_control &single : worker.waiting) {
        const worker_clock own = std::min(single.deadline, worker.state.leaseUntil);
        due = due ? std::min(*due, own) : own;
    }
    return due;
}

void scheduleWake(worker_host &host, std::size_t index)
{
    hosted_worker &worker = host.workers.at(index);
    const auto due = nextWake(worker);
    if (!due || (worker.wake && *worker.wake <= *due)) {
        return;
    }
    worker.wake = due;
    runAt(*host.timers, pointOf(host, worker, *due), [weak = host.weak_from_this(), index] {
        if (const auto alive = weak.lock()) {
            wakeWorker(*alive, index);
        }
    });
}

/// Ends what is due on one worker and answers the calls that need not wait any longer.
void settleWorker(worker_host &host, std::size_t index, time_point now, answer_outbox &outbox)
{
    hosted_worker &worker = host.workers.at(index);
    const worker_clock reading = clockOf(host, worker, now);
    task_changes changes;
    advanceWorker(worker.state, reading, changes);
    recordChanges(host.seen, worker.state, changes, readClocks().utc);
    if (worker.mode != worker_mode::Paused) {
        const auto ready = [&](const waiting_control &single) {
            const bool over = reading >= single.deadline || isReplyReady(worker.state, single.request, reading);
            if (over) {
                outbox.emplace_back(single.answer, worker_reply(answerControl(worker.state, single.request, reading)));
            }
            return over;
        };
        worker.waiting.erase(std::remove_if(worker.waiting.begin(), worker.waiting.end(), ready), worker.waiting.end());
    }
    scheduleWake(host, index);
}

/// Settles every worker whose time has come, so that the witness sees ends before later starts.
void settleDue(worker_host &host, time_point now, answer_outbox &outbox)
{
    for (std::size_t index = 0; index < host.workers.size(); ++index) {
        const hosted_worker &worker = host.workers.at(index);
        if (worker.wake && *worker.wake <= clockOf(host, worker, now)) {
            settleWorker(host, index, now, outbox);
        }
    }
}

void wakeWorker(worker_host &host, std::size_t index)
{
    answer_outbox outbox;
    {
        const std::lock_guard lock(host.mutex);
        host.workers.at(index).wake.reset();
        settleWorker(host, index, std::chrono::steady_clock::now(), outbox);
    }
    send(outbox);
}

/// Gives an answer, or withholds it if the worker is to lose it.
void giveAnswer(hosted_worker &worker, worker_answer answer, worker_reply reply, answer_outbox &outbox)
{
    if (worker.answersToLose > 0) {
        --worker.answersToLose;
        worker.lost.push_back(std::move(answer));
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
    recordChanges(host.seen, worker.state, changes, readClocks().utc);
    giveAnswer(worker, std::move(answer), std::move(reply), outbox);
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
        giveAnswer(worker, std::move(answer), takeSnapshot(worker.state, *snapshot, reading), outbox);
    } else if (const auto *records = std::get_if<write_records_request>(&request)) {
        giveAnswer(worker, std::move(answer), writeRecords(worker.state, *records, reading), outbox);
    } else if (const auto *commands = std::get_if<commands_request>(&request)) {
        handleCommands(host, worker, *commands, std::move(answer), reading, outbox);
    }
    settleWorker(host, index, now, outbox);
}

/// Ends the calls that wait or are held as a lost machine does: nothing comes back.
void dropCalls(hosted_worker &worker)
{
    for (waiting_control &single : worker.waiting) {
        worker.lost.push_back(std::move(single.answer));
    }
    for (held_call &single : worker.held) {
        worker.lost.push_back(std::move(single.answer));
    }
    worker.waiting.clear();
    worker.held.clear();
}

/// Handles the calls held by a pause and fails those that were dropped or whose answer was lost.
void resumeCalls(worker_host &host, std::size_t index, time_point now, answer_outbox &outbox)
{
    hosted_worker &worker = host.workers.at(index);
    for (worker_answer &single : worker.lost) {
        outbox.emplace_back(std::move(single), notAnswered());
    }
    worker.lost.clear();
    std::vector<held_call> held;
    held.swap(worker.held);
    for (held_call &single : held) {
        handleCall(host, index, single.request, std::move(single.answer), now, outbox);
    }
    settleWorker(host, index, now, outbox);
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
    trackWorker(host.seen, name, capacity);
    return index;
}

void callHostedWorker(worker_host &host, std::size_t index, const worker_request &request, worker_answer answer)
{
    answer_outbox outbox;
    {
        const std::lock_guard lock(host.mutex);
        const time_point now = std::chrono::steady_clock::now();
        hosted_worker &worker = host.workers.at(index);
        settleDue(host, now, outbox);
        if (worker.mode == worker_mode::Paused) {
            worker.held.push_back({request, std::move(answer)});
        } else if (worker.mode == worker_mode::Vanished) {
            worker.lost.push_back(std::move(answer));
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
        settleDue(host, now, outbox);
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
        recordChanges(host.seen, worker.state, changes, readClocks().utc);
        settleWorker(host, index, std::chrono::steady_clock::now(), outbox);
    }
    send(outbox);
}

std::string hostReport(worker_host &host)
{
    answer_outbox outbox;
    execution_recorder copy;
    {
        const std::lock_guard lock(host.mutex);
        settleDue(host, std::chrono::steady_clock::now(), outbox);
        copy = host.seen;
    }
    send(outbox);
    return encodeWitnessReport(copy, readClocks().utc);
}

} // namespace sesamespar::standins
