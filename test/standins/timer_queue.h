// Runs actions at given times on a dedicated thread.
#pragma once

#include "base/time.h"

#include <functional>
#include <memory>

namespace sesamespar::standins {

/// A queue and its thread. The thread ends when the queue is destroyed.
struct timer_queue;

/// Creates a queue and starts its thread.
std::shared_ptr<timer_queue> startTimerQueue();

/// Schedules the action to run once, at or soon after the given time. May be called from any thread.
void runAt(timer_queue &queue, time_point due, std::function<void()> action);

} // namespace sesamespar::standins
