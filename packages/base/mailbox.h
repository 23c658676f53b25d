// The queue of the control thread: traffic threads post what has to be decided, the control thread takes it in order
// and fires timers. It sleeps while there is nothing to do.
#pragma once

#include "base/time.h"
#include "base/timer_service.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace sesamespar {

/// Most callers' requests that wait for the control thread. At 0.2 ms each they are decided within half a second.
constexpr std::size_t maxQueuedRequests = 2048;

/// One thing to decide.
using control_task = std::function<void(const clock_reading &now)>;

/// The queue.
struct mailbox {
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<control_task> tasks;
    std::size_t requests = 0; ///< Callers' requests among the tasks.
};

/// Posts the end of a call or a signal; bounded by the calls under way.
void post(mailbox &box, control_task task);

/// Posts a caller's request. False, with nothing posted, if too many wait.
bool postRequest(mailbox &box, control_task task);

/// Makes a callback for traffic threads that posts the answer it gets; the control thread then calls
/// `take(answer, now)`. `take` is called as often as the callback is.
template<typename Handler>
auto onControlThread(mailbox &box, Handler handler)
{
    return [&box, handler = std::move(handler)](auto answer) {
        post(box, [handler, answer = std::move(answer)](const clock_reading &now) { handler(answer, now); });
    };
}

/// Runs tasks and timers until `over` is set by one of them. After each batch of tasks, `settle` runs once.
void runMailbox(mailbox &box, timer_service &timers, const bool &finished, const control_task &afterBatch);

} // namespace sesamespar
