// Interface to the workers of a cell: starts and stops of runs, and polls that renew the lease of a worker and report
// its runs. An adapter provides the functions; every callback runs once, on a traffic thread.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sesamespar {

/// Identity of a task of a stepped job in calls to workers.
struct run_task {
    job_key job;
    std::uint32_t step = 0;
    std::uint32_t index = 0; ///< Within the step.

    auto operator<=>(const run_task &) const = default;
};

/// The worker that a call addresses. Another worker at the same address refuses the call.
struct worker_target {
    worker_id worker;
    address at;
};

/// Order to start a run. `leaseUntil` is a time of the worker's clock to which the worker extends its lease; when the
/// lease expires, the worker ends all of its runs.
struct start_order {
    run_task task;
    run_number run;
    std::string payload;
    /// Address of the daemon that has the payload, if it is stored apart from the job; may be empty if that daemon is
    /// unknown. Resolved before the order is sent to the worker.
    std::optional<address> payloadSource;
    std::string checkpoint;
    std::optional<advice_ticket> ticket;
    std::optional<milliseconds> leaseUntil;
    fencing_token fence;
};

/// Order to stop a run.
struct stop_order {
    run_task task;
    run_number run;
    fencing_token fence;
};

/// Why a worker refused an order. A refused order starts nothing, however often it was sent; a refusal that only holds
/// for the last of several attempts is the error Unknown instead, unless it is Fenced.
enum class order_refusal {
    None,
    Fenced, ///< The worker has received a higher fencing token.
    Outdated, ///< A run of the task with the same or a higher number was stopped or has ended on this worker.
    Late, ///< The lease had already expired.
    NoCapacity, ///< The worker lacks free capacity for the run.
    NoTicket, ///< The ticket is missing, invalid or expired.
    Unhealthy, ///< The worker cannot serve at present.
    OtherInstance, ///< The worker at this address is not the addressed one.
    Malformed, ///< The worker could not decode the order.
};

/// Answer to an order.
struct order_reply {
    order_refusal refusal = order_refusal::None;
    std::optional<milliseconds> workerClock; ///< The worker's clock when it replied.
};

/// Poll of a worker. The worker discards the ends of runs up to `seenEnds` and extends its lease to `leaseUntil`, a
/// time of its clock.
struct worker_poll {
    fencing_token fence;
    /// Sent on the connection `listedOn` only, and otherwise left out: a later incarnation of the worker numbers its
    /// ends from 1 again, and would discard some that no report has listed.
    end_number seenEnds;
    std::optional<milliseconds> leaseUntil;
    milliseconds wait{0}; ///< How long the worker may delay its report until a run ends.
    connection_number listedOn; ///< Of the report that listed the ends.
};

/// How a run ended.
enum class run_end {
    Done,
    Failed, ///< Due to a fault of the task or of the worker.
    Stopped,
    LeaseExpired, ///< The lease of the run expired.
    GangMemberEnded, ///< Another member of the gang ended.
    GangIncomplete, ///< The other members of the gang did not start in time.
};

/// A run in progress.
struct running_row {
    run_task task;
    run_number run;
    std::string checkpoint;
    std::optional<int> percent; ///< Completed share of the work, if the worker reports it.
};

/// An ended run.
struct ended_row {
    end_number number;
    run_task task;
    run_number run;
    run_end how = run_end::Failed;
    std::string checkpoint;
};

/// Response to a poll.
struct worker_report {
    order_refusal refusal = order_refusal::None;
    milliseconds workerClock{0};
    worker_incarnation incarnation;
    std::vector<running_row> running;
    std::vector<ended_row> ended;
    bool complete = true; ///< False if the worker has more ended runs than fit into one report.
    connection_number connection; ///< That carried the report; 0 if it is unknown.
};

/// Errors: Unreachable if nothing was sent, Unknown if the order may have been carried out, now or seconds later,
/// InvalidInput for a malformed response.
template<typename Value>
using worker_callback = std::function<void(result<Value>)>;

/// Calls to the workers. `limit` bounds the whole call.
struct worker_port {
    std::function<void(const worker_target &, const start_order &, milliseconds limit, worker_callback<order_reply>)>
        start;
    std::function<void(const worker_target &, const stop_order &, milliseconds limit, worker_callback<order_reply>)>
        stop;
    std::function<void(const worker_target &, const worker_poll &, milliseconds limit, worker_callback<worker_report>)>
        poll;
};

} // namespace sesamespar
