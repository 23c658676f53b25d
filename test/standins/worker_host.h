// Many workers in one process: takes the calls to them, holds waiting calls, drives their clocks, and plays
// the faults that tests ask for. Knows nothing of HTTP; a call comes with a function that answers it.
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

/// How a worker treats calls.
enum class worker_mode {
    Normal,
    Paused, ///< Takes calls but handles and answers them only after the pause. Its tasks go on.
    Vanished, ///< Drops calls without handling or answering them. Its tasks go on until their leases lapse.
};

/// Answers a worker's call; an error stands for an HTTP status of 503.
using worker_answer = std::function<void(const result<worker_reply> &)>;

/// All workers of the process.
struct worker_host;

/// Makes the host. It uses the timers as long as it lives.
std::shared_ptr<worker_host> makeWorkerHost(std::shared_ptr<timer_queue> timers);

/// Adds a worker before any call; its index is the number of workers before it.
std::size_t addWorker(worker_host &host, const worker_id &name, const resources &capacity);

/// Handles one call to a worker and answers it now or later, on any thread.
void callHostedWorker(worker_host &host, std::size_t index, const worker_request &request, worker_answer answer);

/// Changes how a worker treats calls. Normal handles those held by a pause and fails those that were dropped.
void setWorkerMode(worker_host &host, std::size_t index, worker_mode mode);

/// Lets all tasks that end at the worker from now on fail, or no longer.
void setFailsEveryTask(worker_host &host, std::size_t index, bool fails);

/// Withholds the answers to the next `count` calls other than control, after their effect.
void loseAnswers(worker_host &host, std::size_t index, std::int64_t count);

/// Restarts the worker: a new instance without tasks, records and leases.
void restartHostedWorker(worker_host &host, std::size_t index);

/// What was seen on all workers, as JSON.
std::string hostReport(worker_host &host);

} // namespace sesamespar::standins
