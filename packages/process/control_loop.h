// The control thread: takes events from a bounded queue, lets the daemon's parts decide, and hands their
// effects to the traffic threads. It sleeps until an event arrives or a timer is due.
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

/// Most callers' requests and peers' messages that wait for the control thread.
constexpr std::size_t maxQueuedEvents = 16384;

/// Queue between the traffic threads and the control thread.
struct control_queue {
    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<control_event> events;
};

/// Adds an event. Callers' requests and peers' messages are turned away, with false, when the queue is full;
/// ends of calls are bounded by the calls under way and always taken.
bool pushEvent(control_queue &queue, control_event event);

/// The traffic side of a daemon.
struct traffic {
    std::shared_ptr<front_end> frontEnd;
    std::shared_ptr<peer_links> links;
    std::shared_ptr<outgoing_calls> calls;
};

/// Runs until the daemon asks to end. Returns after all answers have gone out or the drain limit has passed.
void runControlLoop(daemon_state &state, control_queue &queue, const traffic &outside);

} // namespace sesamespar
