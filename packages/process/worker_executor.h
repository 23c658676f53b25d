// Makes calls to workers for the leader. A daemon acts only under the highest fencing token that it has received and
// under a permission that it issued itself and that expires by its own clock.
#pragma once

#include "connection/cell_context.h"

#include <map>
#include <memory>

namespace sesamespar {

/// State of the executor of a daemon; lives as long as the process.
struct worker_executor {
    explicit worker_executor(cell_context &daemonContext)
        : context(daemonContext)
    {
    }

    cell_context &context;
    fencing_token highestFence;
    std::optional<time_point> calledAt; ///< When a leader last sent calls, in uptime.
    /// Outcomes that are not sent yet, by the address and the term of the leader.
    std::map<std::pair<address, fencing_token>, worker_outcome_batch> replies;
};

/// Makes the calls of a batch. Batches of lower terms are not acted upon; calls without a valid permission are refused,
/// and the leader sends them again.
void handleCallBatch(const std::shared_ptr<worker_executor> &executor,
                     const worker_call_batch &batch,
                     const clock_reading &now);

/// True if a leader has delegated calls recently, so that payloads should not pass through it.
bool servesLeader(const worker_executor &executor, const clock_reading &now);

/// Runs after each batch of events: sends the collected outcomes.
void flushOutcomes(worker_executor &executor, const clock_reading &now);

} // namespace sesamespar
