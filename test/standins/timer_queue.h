// Runs actions at given times on one thread of its own.
#pragma once

#include "base/time.h"

#include <functional>
#include <memory>

namespace sesamespar::standins {

/// The queue with its thread, which ends with it.
struct timer_queue;

/// Starts the thread.
std::shared_ptr<timer_queue> startTimerQueue();

/// Runs the action once at or soon after the given time. May be called from any thread.
void runAt(timer_queue &queue, time_point due, std::function<void()> action);

} // namespace sesamespar::standins
