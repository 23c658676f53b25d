// Stores the jobs that callers hand in at this daemon, many in one transaction. A job is acknowledged when it is
// stored, and refused only if no transaction that holds it can still be applied.
#pragma once

#include "connection/caller_port.h"
#include "connection/cell_context.h"
#include "request/accepted_job.h"

#include <list>
#include <memory>

namespace sesamespar {

/// Retry-After of requests that are refused because the store cannot be reached. Outages last 4 to 9 s and callers come
/// again four times, so that with 1 s their tries are used up before it is back.
constexpr milliseconds storeRetryAfter{2000};

/// A job on its way into the store.
struct incoming_job {
    accepted_job job;
    caller_done done;
    time_point arrivedAt; ///< In uptime.
    time_point answerBy; ///< In uptime.
    bool mayBeStored = false; ///< A transaction with it got no answer.
};

/// The jobs that wait for a transaction.
struct job_intake : std::enable_shared_from_this<job_intake> {
    explicit job_intake(cell_context &means)
        : context(means)
    {
    }

    cell_context &context;
    std::list<incoming_job> waiting;
    unsigned openCommits = 0;
    timer retryTimer;
    time_point commitAfter; ///< In uptime; no transaction before, after a fault.

    bool storeLost = false; ///< Neither a transaction nor the probe after it was answered.
    bool probing = false;
    timer probeTimer;
};

/// Takes a job in. It is stored with others of the same batch of events, or refused at once while the store is lost.
void takeIn(job_intake &intake, accepted_job job, milliseconds timeout, caller_done done, const clock_reading &now);

/// Asks the store for a sign of life, after a call of another part got no answer. If there is none, jobs are refused
/// at once until there is.
void suspectStore(const std::shared_ptr<job_intake> &intake);

/// Runs after each batch of events: sends transactions and answers jobs whose time is over.
void settleIntake(const std::shared_ptr<job_intake> &intake, const clock_reading &now);

} // namespace sesamespar
