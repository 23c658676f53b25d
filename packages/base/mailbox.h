// Queue of the control thread. Traffic threads post tasks; the control thread runs them in order and fires timers. It
// sleeps while no task is queued and no timer is due.
#pragma once

#include "base/time.h"
#include "base/timer_service.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace sesamespar {

/// Maximum number of callers' requests in the queue. At 0.2 ms each, a full queue is processed within half a second.
constexpr std::size_t maxQueuedRequests = 2048;

/// A task of the control thread. `now` is read immediately before it runs.
using control_task = std::function<void(const clock_reading &now)>;

/// Tasks that wait for the control thread.
struct mailbox {
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<control_task> tasks;
    std::size_t requests = 0; ///< Callers' requests among the tasks.
};

/// Posts the completion of a call, or a signal. The calls in flight bound the number of such tasks.
void post(mailbox &box, control_task task);

/// Posts a caller's request. Returns false and posts nothing if maxQueuedRequests are queued already.
bool postRequest(mailbox &box, control_task task);

/// Returns a callback for traffic threads that posts its argument, an answer, to the control thread, which then calls
/// `handler(answer, now)`. The handler runs once for each call of the callback.
template<typename Handler>
auto onControlThread(mailbox &box, Handler handler)
{
    return [&box, handler = std::move(handler)](auto answer) {
        post(box, [handler, answer = std::move(answer)](const clock_reading &now) { handler(answer, now); });
    };
}

/// What runs besides the tasks and the timers.
struct mailbox_handlers {
    control_task afterBatch; ///< Runs after each batch of tasks and timers.
    control_task onError; ///< Runs after an exception left a task, a timer or `afterBatch`. May be empty.
};

/// Runs the tasks, then the timers that are due, then `afterBatch`. An exception ends only the task or timer that it
/// left, and is logged.
void runBatch(std::deque<control_task> &tasks,
              timer_service &timers,
              const mailbox_handlers &handlers,
              const std::function<clock_reading()> &readClock);

/// Runs batches until a task or a timer sets `finished`.
void runMailbox(mailbox &box, timer_service &timers, const bool &finished, const mailbox_handlers &handlers);

} // namespace sesamespar
