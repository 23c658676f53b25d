// The jobs of a leader: their records, the workers that store the copies, and the callers that wait.
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

/// Maximum number of callers that wait for one job at this leader. Further callers get the current state and
/// retry.
constexpr std::size_t maxWaitersPerJob = 64;

/// A front end that waits for the acceptance or the outcome of a job.
struct job_waiter {
    daemon_id frontEnd;
    correlation_id correlation;
    bool wantsOutcome = false; ///< False if the front end waits for the acceptance only.
};

/// One stored copy of a job's record.
struct record_copy {
    worker_id worker;
    record_revision written; ///< Highest revision that the worker confirmed.
    bool queued = false; ///< A write of the record to this worker is queued.
};

/// State of the current attempt at a task that is not part of the record.
struct attempt_progress {
    record_revision claim; ///< Revision of the record that assigned the attempt to its worker.
    bool startQueued = false; ///< The start command was queued or sent.
    bool startArrived = false; ///< The start command may have reached the worker.
    time_point waitingSince; ///< When the current wait for a start began.
    bool forgotten = true; ///< False while a forget command for an ended attempt is still due.
};

/// One job of a leader. Reference counted; freed when the table and all callers have released it.
struct job : boost::intrusive_ref_counter<job, boost::thread_unsafe_counter> {
    job_record record;
    std::vector<attempt_progress> progress; ///< One for each task.
    std::vector<record_copy> copies; ///< Two copies, in different racks, once the job is recorded.
    std::vector<job_waiter> waiters;
    record_revision firstRevision; ///< The job is accepted when all copies hold this revision.
    bool accepted = false;
    bool outcomeRecorded = false; ///< The finished record is on all copies.
    bool archived = true; ///< The archive holds the latest revision, or does not need it.
    time_point arrivedAt;
    time_point notQueuedBefore; ///< Earliest time at which its tasks may be queued.
};

/// Shared pointer to a job; used by the control thread only.
using job_ptr = boost::intrusive_ptr<job>;

/// All jobs of a leader, indexed by identity and by expiry.
struct job_table {
    std::unordered_map<job_id, job_ptr> jobs;
    std::set<std::pair<utc_time, job_id>> byExpiry;
};

/// Finds a job by its identity; null if there is none.
job_ptr findJob(const job_table &table, const job_id &id);

/// Adds a job. The table must not contain a job of the same identity.
void addJob(job_table &table, const job_ptr &added);

/// Removes a job, if the table contains it.
void removeJob(job_table &table, const job_id &id);

/// Highest revision that both copies of the record hold; the default revision if there are fewer than two.
record_revision durableRevision(const job &subject);

/// Makes the answer to a caller from a record. The status is `Accepted` while a task is not in a final state.
job_answer answerFromRecord(const job_record &record);

/// Makes the scheduler's description of a job.
job_offer offerOf(const job_record &record);

/// Identity of the current attempt at a task.
task_id attemptOf(const job_record &record, const task_record &task);

} // namespace sesamespar
