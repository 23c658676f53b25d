// Hosts many stand-in workers in one process: dispatches calls to them, holds long polls, advances their clocks and
// injects faults. Independent of HTTP: each call comes with a callback for its answer.
#pragma once

#include "base/result.h"
#include "connection/worker_api.h"
#include "standins/execution_recorder.h"
#include "standins/timer_queue.h"
#include "standins/worker_state.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sesamespar::standins {

/// How a worker handles calls.
enum class worker_mode {
    Normal,
    Paused, ///< Queues calls and handles them after the pause. Its tasks keep running.
    Vanished, ///< Drops calls without handling or answering them. Its tasks run until their leases expire.
};

/// Callback for the answer to one call; an error is sent as HTTP status 503.
using worker_answer = std::function<void(const result<worker_reply> &)>;

/// All workers of the process.
struct worker_host;

/// Creates a host without workers. The host keeps the timer queue alive.
std::shared_ptr<worker_host> makeWorkerHost(std::shared_ptr<timer_queue> timers);

/// Adds a worker and returns its index; indexes count up from 0. Must not be called after the first call to a worker.
std::size_t addWorker(worker_host &host, const worker_id &name, const resources &capacity);

/// Handles one call to a worker. The callback runs immediately or later, on any thread.
void callHostedWorker(worker_host &host, std::size_t index, const worker_request &request, worker_answer answer);

/// Sets how a worker handles calls. The change to Normal handles the calls that a pause queued, and answers dropped
/// calls with an error.
void setWorkerMode(worker_host &host, std::size_t index, worker_mode mode);

/// Sets whether all tasks that finish on the worker from now on fail.
void setFailsEveryTask(worker_host &host, std::size_t index, bool fails);

/// Applies the next `count` calls other than control calls, but does not answer them.
void loseAnswers(worker_host &host, std::size_t index, std::int64_t count);

/// Restarts the worker as a new instance without tasks, records and leases.
void restartHostedWorker(worker_host &host, std::size_t index);

/// Executions on all workers as JSON; see encodeExecutionReport.
std::string encodeHostReport(worker_host &host);

} // namespace sesamespar::standins
