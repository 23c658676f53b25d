// Queries the leader for the states of jobs on behalf of callers of this daemon. The leader replies from memory with
// what the store already holds, so that a query costs no call to the store; without its reply the store is read.
#pragma once

#include "connection/caller_port.h"
#include "connection/cell_context.h"

#include <map>
#include <memory>

namespace sesamespar {

/// A status query to the leader without a reply yet.
struct open_status_query {
    job_key key;
    caller_done done;
    time_point answerBy; ///< In uptime; end of the caller's time limit.
    time_point dueAt; ///< In uptime; the store is read if the leader has not replied by then.
};

/// Reads the state of a job from the store.
using status_reader =
    std::function<void(const job_key &, milliseconds timeout, caller_done done, const clock_reading &now)>;

/// The open status queries of a daemon.
struct status_queries : std::enable_shared_from_this<status_queries> {
    status_queries(cell_context &cellContext, status_reader readStore)
        : context(cellContext)
        , reader(std::move(readStore))
    {
    }

    cell_context &context;
    status_reader reader;
    std::map<correlation_id, open_status_query> open; ///< In the order of sending.
    time_point avoidLeaderUntil; ///< In uptime; set when the leader did not reply in time.
    timer expiry;
};

/// Queries the leader at an address, or reads the store if the leader has recently left a query without a reply.
void queryStatus(const std::shared_ptr<status_queries> &queries,
                 const address &leader,
                 const job_key &key,
                 milliseconds timeout,
                 caller_done done,
                 const clock_reading &now);

/// Handles the leader's reply. Reads the store if the reply has no state; ignores a reply after its time limit.
void handleStatusReply(status_queries &queries, const status_reply &reply, const clock_reading &now);

} // namespace sesamespar
