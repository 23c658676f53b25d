// Asks the leader for the state of a job on behalf of callers at this daemon. The leader answers from memory what the
// store already holds, so that a question costs no call to the store; without its answer, the store is read.
#pragma once

#include "connection/caller_port.h"
#include "connection/cell_context.h"

#include <map>
#include <memory>

namespace sesamespar {

/// A caller's question that the leader was asked.
struct open_status {
    job_key key;
    caller_done done;
    time_point answerBy; ///< In uptime; the caller waits no longer.
    time_point dueAt; ///< In uptime; then the store is read.
};

/// Reads the state of a job from the store.
using status_reader =
    std::function<void(const job_key &, milliseconds timeout, caller_done done, const clock_reading &now)>;

/// The open questions of a daemon.
struct status_queries : std::enable_shared_from_this<status_queries> {
    status_queries(cell_context &means, status_reader readStore)
        : context(means)
        , reader(std::move(readStore))
    {
    }

    cell_context &context;
    status_reader reader;
    std::map<correlation_id, open_status> open; ///< In the order in which they were asked.
    time_point avoidLeaderUntil; ///< In uptime; it has left a question unanswered.
    timer expiry;
};

/// Asks the leader at that address, or reads the store if the leader did not answer lately.
void askStatus(const std::shared_ptr<status_queries> &queries,
               const address &leader,
               const job_key &key,
               milliseconds timeout,
               caller_done done,
               const clock_reading &now);

/// Takes the leader's answer.
void takeStatusAnswer(status_queries &queries, const status_answer &answer, const clock_reading &now);

} // namespace sesamespar
