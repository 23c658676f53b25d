// Rebuilds the state of a leader from what workers and the archive know.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Takes in a record that was read from a worker, or from the archive if `source` is empty. The newest
/// revision of each record counts.
void mergeRecord(leader &state, const job_record &record, const worker_id &source, const clock_reading &now);

/// Takes in a record of the archive. The leader must not be on standby.
inline void mergeArchived(leader &state, const job_record &record, const clock_reading &now)
{
    mergeRecord(state, record, worker_id(), now);
}

/// Makes the leader decide, once it is complete for the first time after a takeover: builds the job table
/// from the merged records and reconciles it with the tasks that the workers reported.
void activate(leader &state, const clock_reading &now);

/// Matches the tasks that a worker reported with the job table: adopts those that are known, settles those
/// that the worker should have and has not, and stops those that no job knows.
void reconcileWorker(leader &state, worker &target, const clock_reading &now);

/// Starts and adjusts the jobs of the services that the configuration declares for this data centre.
void reconcileServices(leader &state, const clock_reading &now);

/// The record of a new job of declared work, with all tasks waiting.
job_record makeRecord(const job_request &request, const work_settings &work);

} // namespace sesamespar
