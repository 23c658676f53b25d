// What the product needs of the workers of a cell: starts and stops of runs, and polls that renew what runs and
// report it. An adapter fills in the functions; every callback runs once, on a traffic thread.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sesamespar {

/// Identity of a task of a stepped job as the workers know it.
struct run_task {
    job_key job;
    std::uint32_t step = 0;
    std::uint32_t index = 0; ///< Within the step.

    auto operator<=>(const run_task &) const = default;
};

/// The worker and the life of it that a call is meant for.
struct worker_target {
    worker_id worker;
    address at;
};

/// Order to start a run. The worker's clock decides on `leaseUntil`: when it is over, everything on it ends.
struct start_order {
    run_task task;
    run_number run;
    std::string payload;
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

/// Why a worker did not do what it was ordered to. In all these cases nothing was started.
enum class order_refusal {
    None,
    Fenced, ///< A higher fencing token has been seen.
    Outdated, ///< A run of the task that is not lower was stopped or has ended there.
    Late, ///< The lease was over already.
    NoCapacity,
    NoTicket, ///< The ticket is missing, wrong or too old.
    Unhealthy, ///< The worker is not able to serve at present.
    OtherInstance, ///< Another worker answers at this address.
    Malformed, ///< The worker could not read the order.
};

/// Answer to an order.
struct order_reply {
    order_refusal refusal = order_refusal::None;
    std::optional<milliseconds> workerClock; ///< The worker's clock at its answer.
};

/// Poll of a worker. Ends up to `seenEnds` are forgotten by the worker.
struct worker_poll {
    fencing_token fence;
    end_number seenEnds;
    std::optional<milliseconds> leaseUntil;
    milliseconds wait{0}; ///< The answer waits this long for an end.
};

/// How a run ended.
enum class run_end {
    Done,
    Failed, ///< Through its own fault or the worker's.
    Stopped,
    LeaseExpired, ///< The lease was over.
    GangMemberEnded, ///< Another member of the gang ended.
    GangIncomplete, ///< The other members of the gang did not come in time.
};

/// A run under way.
struct running_row {
    run_task task;
    run_number run;
    std::string checkpoint;
    std::optional<int> percent; ///< Share of its work that is done, if the worker tells.
};

/// An ended run.
struct ended_row {
    end_number number;
    run_task task;
    run_number run;
    run_end how = run_end::Failed;
    std::string checkpoint;
};

/// What a worker reports.
struct worker_report {
    order_refusal refusal = order_refusal::None;
    milliseconds workerClock{0};
    worker_incarnation incarnation;
    std::vector<running_row> running;
    std::vector<ended_row> ended;
    bool complete = true; ///< False if more ends wait than fit into one report.
};

/// Errors: Unreachable if nothing was sent, Unknown if the order may have been carried out, now or seconds later,
/// InvalidInput for an answer that cannot be read.
template<typename Value>
using worker_callback = std::function<void(result<Value>)>;

/// The workers' calls. `limit` bounds the whole call.
struct worker_port {
    std::function<void(const worker_target &, const start_order &, milliseconds limit, worker_callback<order_reply>)>
        start;
    std::function<void(const worker_target &, const stop_order &, milliseconds limit, worker_callback<order_reply>)>
        stop;
    std::function<void(const worker_target &, const worker_poll &, milliseconds limit, worker_callback<worker_report>)>
        poll;
};

} // namespace sesamespar
