// The jobs that a leader knows, with their record, where its copies are, and who waits for the outcome.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "request/job_answer.h"
#include "request/job_record.h"
#include "term/scheduler.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace sesamespar {

/// Most callers that may wait for one job at this leader; more get the present state and ask again.
constexpr std::size_t maxWaitersPerJob = 64;

/// A front end that waits for news of a job.
struct job_waiter {
    daemon_id frontEnd;
    correlation_id correlation;
    bool wantsOutcome = false; ///< Otherwise the acceptance is enough.
};

/// Where a copy of a job's record is kept.
struct record_copy {
    worker_id worker;
    record_revision written; ///< Highest revision that the worker confirmed.
    bool queued = false; ///< A write to this worker is queued or under way.
};

/// What a leader notes of a task beside its record.
struct attempt_progress {
    record_revision claim; ///< Revision that names the worker of the present attempt.
    bool startQueued = false; ///< The start command was queued or sent.
    bool startArrived = false; ///< The start command may have reached the worker.
    time_point waitingSince; ///< Of the present wait for a start.
    bool forgotten = true; ///< The worker needs not be told to forget an ended attempt.
};

/// One job of a leader. Freed when the table and every part that works on it let go.
struct job : boost::intrusive_ref_counter<job, boost::thread_unsafe_counter> {
    job_record record;
    std::vector<attempt_progress> progress; ///< One for each task.
    std::vector<record_copy> copies; ///< Two, in different racks, once the job is recorded.
    std::vector<job_waiter> waiters;
    record_revision firstRevision; ///< The job is accepted when all copies hold it.
    bool accepted = false;
    bool outcomeRecorded = false; ///< The finished record is on all copies.
    bool archived = true; ///< The archive has the latest revision or needs none.
    time_point arrivedAt;
    time_point notQueuedBefore; ///< Its tasks are not queued before this time.
};

/// Shared job of the control thread.
using job_ptr = boost::intrusive_ptr<job>;

/// All jobs of a leader, and the order in which their records expire.
struct job_table {
    std::unordered_map<job_id, job_ptr> jobs;
    std::set<std::pair<utc_time, job_id>> byExpiry;
};

/// Job of that identity, or null.
job_ptr findJob(const job_table &table, const job_id &id);

/// Adds a job; its identity must be new.
void addJob(job_table &table, const job_ptr &added);

/// Removes a job.
void removeJob(job_table &table, const job_id &id);

/// Highest revision that all copies of the record hold; the lowest possible if there are fewer than two.
record_revision durableRevision(const job &subject);

/// The answer that the record gives. `Accepted` if some task is not in a final state.
job_answer answerFromRecord(const job_record &record);

/// What the scheduler needs to know of a job.
job_offer offerOf(const job_record &record);

/// Identity of the present attempt at a task.
task_id attemptOf(const job_record &record, const task_record &task);

} // namespace sesamespar
