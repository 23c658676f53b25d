// The control thread: dequeues events from a bounded queue, passes them to the parts of the daemon, and passes the
// resulting effects to the traffic threads. Sleeps until an event arrives or a timer is due.
#pragma once

#include "connection/front_end.h"
#include "connection/outgoing_calls.h"
#include "connection/peer_links.h"
#include "process/daemon_state.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>

namespace sesamespar {

/// Length of the queue from which on callers' requests and peers' messages are rejected.
constexpr std::size_t maxQueuedEvents = 16384;

/// Queue between the traffic threads and the control thread.
struct control_queue {
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<control_event> events;
};

/// Adds an event. Returns false if the queue is full and the event is a caller's request or a peer's message. All other
/// events are always queued; ends of calls are bounded by the number of calls in progress.
bool pushEvent(control_queue &queue, control_event event);

/// Objects of a daemon whose work runs on the traffic threads.
struct traffic {
    std::shared_ptr<front_end> frontEnd;
    std::shared_ptr<peer_links> links;
    std::shared_ptr<outgoing_calls> calls;
};

/// Runs until the daemon emits end_process, then handles the requests that are still queued until all answers are
/// written, at most for the call timeout.
void runControlLoop(daemon_state &state, control_queue &queue, const traffic &outside);

} // namespace sesamespar
