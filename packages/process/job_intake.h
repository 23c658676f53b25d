// Stores the jobs that callers submit to this daemon, several in one transaction. A job is acknowledged when it is
// stored, and refused only if no transaction that contains it can still be applied.
#pragma once

#include "connection/caller_port.h"
#include "connection/cell_context.h"
#include "request/accepted_job.h"

#include <list>
#include <memory>

namespace sesamespar {

/// A submitted job that is not stored yet.
struct incoming_job {
    accepted_job job;
    caller_done done;
    time_point arrivedAt; ///< In uptime.
    time_point answerBy; ///< In uptime.
    bool mayBeStored = false; ///< The outcome of a transaction that contains it is unknown.
    std::string payload; ///< If it is stored apart from the job.
};

/// Job intake of a daemon: the jobs that wait for a transaction and whether the store is reachable.
struct job_intake : std::enable_shared_from_this<job_intake> {
    explicit job_intake(cell_context &cellContext)
        : context(cellContext)
    {
    }

    cell_context &context;
    /// Receives the jobs that a transaction has stored, for the leader. May be empty.
    std::function<void(const accepted_jobs &, const clock_reading &)> announce;
    /// Keeps the payload of a job so that others can request it, and returns true if the payload is to be stored apart
    /// from the job. May be empty.
    std::function<bool(const accepted_job &, const clock_reading &)> takePayload;
    std::list<incoming_job> waiting;
    unsigned openCommits = 0;
    timer retryTimer;
    time_point commitAfter; ///< In uptime; no transaction is sent before, set after a failed one.

    bool storeLost = false; ///< The last probe of the store failed.
    time_point lostSince; ///< In uptime, estimated. Valid while `storeLost`.
    bool probing = false;
    timer probeTimer;
};

/// Retry-After of a request about the job that is refused now because the store cannot be reached. `failingSince` is
/// when the request first failed to reach it, in uptime; an outage that the intake knows of may have begun earlier.
milliseconds
retryAfterOutage(const job_intake &intake, const job_key &key, time_point failingSince, const clock_reading &now);

/// Queues a job. It is stored with other jobs of the same batch of events, or refused at the end of the batch while the
/// store is lost. While a probe of the store is in progress, a job that no transaction has contained yet waits for its
/// result, so that it can be refused if the store is lost.
void enqueueJob(job_intake &intake, accepted_job job, milliseconds timeout, caller_done done, const clock_reading &now);

/// Probes the store after a call of another part got no answer. If the probe fails, jobs are refused at once until a
/// later probe succeeds.
void suspectStore(const std::shared_ptr<job_intake> &intake);

/// Runs after each batch of events: sends transactions and answers jobs whose time limit has passed.
void settleIntake(const std::shared_ptr<job_intake> &intake, const clock_reading &now);

} // namespace sesamespar
