// Rebuilds the state of a leader from the workers' snapshots and the archive.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Merges a record that was read from a worker, or from the archive if `source` is empty. The newest revision of
/// each record wins.
void mergeRecord(leader &state, const job_record &record, const worker_id &source, const clock_reading &now);

/// Merges a record from the archive. The leader must not be on standby.
inline void mergeArchived(leader &state, const job_record &record, const clock_reading &now)
{
    mergeRecord(state, record, worker_id(), now);
}

/// Switches the leader from the takeover to the leading phase, when it becomes complete: builds the job table from
/// the merged records and reconciles it with the tasks that the workers reported.
void activate(leader &state, const clock_reading &now);

/// Reconciles the tasks that a worker reported with the job table: adopts tasks that belong to a job, settles
/// tasks that the worker should run but did not report, and stops tasks that belong to no job.
void reconcileWorker(leader &state, worker &target, const clock_reading &now);

/// Starts and updates the jobs of the services that the configuration declares for this data centre, and cancels
/// those that it no longer declares.
void reconcileServices(leader &state, const clock_reading &now);

/// Makes the record of a new job of declared work, with all tasks waiting.
job_record makeRecord(const job_request &request, const work_settings &work);

} // namespace sesamespar
