// Keeps two copies of each job record on workers in different racks. Writes to one worker are grouped into
// one call at a time; a copy whose worker is lost is written again elsewhere.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Gives the record a new revision and queues it to its copies, which are chosen first if need be.
void recordChanged(leader &state, job &subject, time_point now);

/// Chooses workers for missing copies, and replaces copies on workers that are gone, restarted or no longer
/// held. Returns false if there are not two racks with a worker to choose from.
bool ensureCopies(leader &state, job &subject, time_point now);

/// Tries again for the jobs that lack a copy because no two racks were in reach.
void ensureMissingCopies(leader &state, time_point now);

/// Ensures the copies of every job that has, or may have, one on this worker.
void replaceCopiesOn(leader &state, const worker_id &lost, time_point now);

/// Queues the removal of all copies of a job's record.
void dropCopies(leader &state, const job &subject);

/// True if the record is the copy marker: the list of the workers among which every job had both copies when
/// it was written. A worker without it may have lost copies in a restart that no leader has repaired.
bool isCopyMarker(const job_record &record);

/// Takes over the list of the newest copy marker that was read.
void mergeCopyMarker(leader &state, const job_record &marker);

/// Writes the copy marker to workers that lack it or have an outdated one, if every job has both copies.
void markRepairedWorkers(leader &state, time_point now);

/// Sends the queued writes of a worker if no write to it is under way.
void flushRecords(leader &state, worker &target, time_point now, outbox &out);

/// Handles the end of a write. Returns false if another leader holds the worker.
bool onRecordsEnded(leader &state, worker &target, const result<worker_reply> &outcome, time_point now);

} // namespace sesamespar
