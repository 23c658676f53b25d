#include "process/control_loop.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

namespace sesamespar {

namespace {

// Bounds a batch, so that due timers fire between batches under load.
constexpr std::size_t maxBatch = 512;
// Interval at which a finished daemon checks whether the last answers are written.
constexpr milliseconds flushCheck{10};

bool isBounded(const control_event &event)
{
    return std::holds_alternative<front_end_request>(event) || std::holds_alternative<peer_message>(event);
}

std::vector<control_event> takeBatch(control_queue &queue, std::optional<time_point> due)
{
    std::unique_lock<std::mutex> lock(queue.mutex);
    const auto hasEvents = [&queue] {
        return !queue.events.empty();
    };
    if (due) {
        queue.arrived.wait_until(lock, *due, hasEvents);
    } else {
        queue.arrived.wait(lock, hasEvents);
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(queue.events.size(), maxBatch));
    const auto end = queue.events.begin() + count;
    std::vector<control_event> batch(std::make_move_iterator(queue.events.begin()), std::make_move_iterator(end));
    queue.events.erase(queue.events.begin(), end);
    return batch;
}

/// Passes effects to the traffic threads.
struct dispatcher {
    daemon_state &state;
    control_queue &queue;
    const traffic &outside;
    bool ended = false;

    void operator()(answer_front_end &answer)
    {
        answerFrontEnd(*outside.frontEnd, answer.id, answer.answer);
    }

    void operator()(send_peer &send)
    {
        peer_message message{state.settings.name, state.incarnation, std::move(send.payload)};
        if (send.peer == state.settings.name) {
            pushEvent(queue, std::move(message));
        } else {
            sendPeer(*outside.links, send.peer, message);
        }
    }

    void operator()(call_worker &call)
    {
        const auto kind = static_cast<worker_call_kind>(call.request.index());
        auto done = [&target = queue, name = call.worker, kind, serial = call.serial](result<worker_reply> outcome) {
            pushEvent(target, worker_call_ended{name, kind, serial, std::move(outcome)});
        };
        callWorker(*outside.calls, call.target, call.request, call.limit, std::move(done));
    }

    void operator()(call_store &call)
    {
        auto done = [&target = queue, user = call.user, serial = call.serial](result<store_reply> outcome) {
            pushEvent(target, store_call_ended{user, serial, std::move(outcome)});
        };
        callStore(*outside.calls, call.request, call.limit, std::move(done));
    }

    void operator()(refuse_requests &)
    {
        refuseNewRequests(*outside.frontEnd);
    }

    void operator()(end_process &)
    {
        ended = true;
    }
};

void runBatch(daemon_state &state, const std::vector<control_event> &batch, outbox &out)
{
    const clock_reading now = readClocks();
    for (const control_event &event : batch) {
        handleEvent(state, event, now, out);
    }
    handleTimers(state, now, out);
    finishBatch(state, now, out);
    if (!batch.empty()) {
        recordTime(*state.measurements, "decision_ms", std::chrono::steady_clock::now() - now.monotonic);
    }
}

void handleBatch(dispatcher &dispatch, const std::vector<control_event> &batch)
{
    outbox out;
    runBatch(dispatch.state, batch, out);
    for (effect &requested : out) {
        std::visit(dispatch, requested);
    }
}

/// Handles events until all answers are written or the limit has passed. Requests that the front end received before it
/// refused others can still be in the queue.
void serveLastRequests(dispatcher &dispatch, time_point limit)
{
    time_point now = std::chrono::steady_clock::now();
    while (openRequests(*dispatch.outside.frontEnd) > 0 && now < limit) {
        handleBatch(dispatch, takeBatch(dispatch.queue, now + flushCheck));
        now = std::chrono::steady_clock::now();
    }
}

} // namespace

bool pushEvent(control_queue &queue, control_event event)
{
    {
        const std::lock_guard<std::mutex> lock(queue.mutex);
        if (isBounded(event) && queue.events.size() >= maxQueuedEvents) {
            return false;
        }
        queue.events.push_back(std::move(event));
    }
    queue.arrived.notify_one();
    return true;
}

void runControlLoop(daemon_state &state, control_queue &queue, const traffic &outside)
{
    dispatcher dispatch{state, queue, outside};
    while (!dispatch.ended) {
        handleBatch(dispatch, takeBatch(queue, nextDue(state.timers)));
    }
    serveLastRequests(dispatch, std::chrono::steady_clock::now() + state.settings.timing.callTimeout);
    log_event("shutdown_finished").with("open_requests", openRequests(*outside.frontEnd));
}

} // namespace sesamespar
