// Dispatch of the leader's calls to workers. In a large cell other daemons, the executors, make the calls, each for its
// share of the workers, so that no single VM carries the traffic of all workers. A call that an executor makes late is
// as harmless as one that the network delays: it carries the fencing token of the term, the number of the run and the
// end of the lease on the worker's clock.
#pragma once

#include "base/ids.h"
#include "connection/worker_calls.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace sesamespar {

struct cell_leader;
struct cell_worker;

/// A daemon that makes calls for the leader.
struct call_executor {
    address at;
    std::uint64_t hash = 0; ///< Of its name; see chooseExecutor.
    data_centre_id dataCentre; ///< Empty before the first answer.
    std::optional<executor_permission> permission; ///< The latest; empty before the first answer and after a silence.
    time_point answeredAt; ///< When that permission was received, in uptime.
    time_point askedAt; ///< When the latest batch was sent, in uptime.
    std::vector<worker_call> outgoing; ///< Calls of the next batch.
};

using order_handler = std::function<void(const result<order_reply> &, const clock_reading &)>;
using report_handler = std::function<void(const result<worker_report> &, const clock_reading &)>;

/// A call of an executor without an outcome yet.
struct delegated_call {
    worker_call call;
    data_centre_id dataCentre; ///< Of the worker.
    daemon_id executor; ///< Empty while no executor is usable.
    time_point sentAt; ///< In uptime.
    time_point dueAt; ///< In uptime; the outcome is overdue afterwards.
    std::variant<order_handler, report_handler> done;
};

/// Executors and their calls; lives as long as the term.
struct worker_dispatch {
    std::map<daemon_id, call_executor> executors;
    std::map<call_number, delegated_call> open;
    std::vector<call_number> waiting; ///< Calls that have no executor yet.
    /// Executors whose last call to a worker failed, and when they may call it again, in uptime.
    std::map<worker_id, std::pair<daemon_id, time_point>> avoided;
    std::uint64_t lastNumber = 0;
};

/// Chooses the executor of a worker: a usable one in the worker's data centre or, if there is none, in another one. The
/// choice is a rendezvous hash, so that an executor that joins or leaves moves only its own share. Null if no executor
/// is usable.
const std::pair<const daemon_id, call_executor> *chooseExecutor(const worker_dispatch &dispatch,
                                                                const worker_id &worker,
                                                                const data_centre_id &dataCentre,
                                                                time_point uptime);

/// Call a worker through an executor, or directly in a small cell or while there is no executor. The handler runs once
/// on the control thread unless the term ends before. Errors: those of the worker port.
void dispatchStart(const std::shared_ptr<cell_leader> &leader,
                   const cell_worker &worker,
                   start_order order,
                   milliseconds limit,
                   order_handler done,
                   const clock_reading &now);
void dispatchStop(const std::shared_ptr<cell_leader> &leader,
                  const cell_worker &worker,
                  stop_order order,
                  milliseconds limit,
                  order_handler done,
                  const clock_reading &now);
void dispatchPoll(const std::shared_ptr<cell_leader> &leader,
                  const cell_worker &worker,
                  worker_poll poll,
                  milliseconds limit,
                  report_handler done,
                  const clock_reading &now);

/// Sets the daemons that serve as executors: all but the leader itself.
void setExecutors(cell_leader &leader, const std::map<daemon_id, address> &daemons, const clock_reading &now);

/// Stops using the executor at an address until it answers again, and moves its polls to others.
void suspendExecutorAt(cell_leader &leader, const address &at, const clock_reading &now);

/// Handles outcomes from an executor. Ends the term if the executor has received a higher fencing token.
void handleOutcomes(const std::shared_ptr<cell_leader> &leader,
                    const worker_outcome_batch &batch,
                    const clock_reading &now);

/// Sends the collected calls to their executors.
void flushCalls(cell_leader &leader, const clock_reading &now);

/// Ends overdue calls, moves the polls of silent executors to others, and asks unused executors for a permission.
void checkExecutors(const std::shared_ptr<cell_leader> &leader, const clock_reading &now);

} // namespace sesamespar
