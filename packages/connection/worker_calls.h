// Calls to workers that other daemons, the executors, make for the leader: batches of calls and of their outcomes.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "connection/worker_port.h"

#include <optional>
#include <variant>
#include <vector>

namespace sesamespar {

/// Number of a call to a worker, unique within the term that makes it.
using call_number = strong_value<struct call_number_tag, std::uint64_t>;

/// A call to a worker.
struct worker_call {
    call_number number;
    worker_target target;
    milliseconds limit{0}; ///< Bounds the call of the executor to the worker.
    std::variant<start_order, stop_order, worker_poll> order;
};

/// Time for which a permission is valid, and so the largest age of a call that an executor makes. A worker may restart
/// under its id meanwhile, and would execute a start, or discard ends, that were meant for its earlier incarnation.
/// Each answer of the executor renews the permission; if it has expired between two answers, a call takes one more
/// round trip.
constexpr milliseconds permissionValidity{1000};

/// Permission to make calls for the leader, issued by the executor itself. It expires by the executor's own clock, so
/// that an executor that was paused, or a batch that was delayed, causes no call that the leader no longer expects.
struct executor_permission {
    incarnation_id process; ///< Process of the executor. A process that has restarted accepts no earlier permission.
    milliseconds issuedAt{0}; ///< Uptime of the executor's VM.
};

/// Calls of a leader. A batch without calls asks for a permission.
struct worker_call_batch {
    address answerTo;
    fencing_token fence; ///< Of the leader's term; also that of every call.
    std::optional<executor_permission> permission; ///< The latest that the leader has received.
    std::vector<worker_call> calls;
};

/// What came of a call. Errors are those of the worker port.
struct worker_call_outcome {
    call_number number;
    std::variant<order_reply, worker_report, error> result;
};

/// Answer of an executor: outcomes of earlier calls, and a new permission.
struct worker_outcome_batch {
    daemon_id from;
    data_centre_id dataCentre; ///< Of the executor.
    fencing_token term; ///< Of the calls.
    fencing_token highestFence; ///< Highest fencing token that the executor has received from a leader.
    executor_permission permission;
    std::vector<call_number> refused; ///< Calls that were not sent because the permission was missing or had expired.
    std::vector<worker_call_outcome> outcomes;
};

} // namespace sesamespar
