// Stores two copies of each job record on workers in different racks. Writes to a worker are batched, with one
// call under way at a time. A copy on a lost worker is replaced by a copy on another worker.
#pragma once

#include "term/leader_state.h"

namespace sesamespar {

/// Gives the record a new revision and queues its writes. Chooses workers for the copies if there are none.
void recordChanged(leader &state, job &subject, time_point now);

/// Chooses workers for missing copies, and replaces copies on workers that left the VM list, restarted or are no
/// longer held. Returns false if fewer than two racks have a worker that can store a copy.
bool ensureCopies(leader &state, job &subject, time_point now);

/// Retries the jobs that lack a copy because fewer than two racks were available.
void ensureMissingCopies(leader &state, time_point now);

/// Replaces the copies on a worker that may have lost them, for every job with a copy there or with fewer than
/// two copies.
void replaceCopiesOn(leader &state, const worker_id &lost, time_point now);

/// Queues the removal of all copies of a job's record.
void dropCopies(leader &state, const job &subject);

/// True if the record is the copy marker. The marker lists the workers of the VM list at a time when every job had
/// both copies on them. A worker without a marker may have lost copies in a restart that no leader has
/// repaired since.
bool isCopyMarker(const job_record &record);

/// Merges a copy marker that was read from a worker; the list of the newest marker is kept.
void mergeCopyMarker(leader &state, const job_record &marker);

/// If every job has both copies, queues writes of the copy marker to workers with a missing or outdated marker.
void markRepairedWorkers(leader &state, time_point now);

/// Sends the queued record writes of a held worker unless a write to it is under way or must wait for a retry.
void flushRecords(leader &state, worker &target, time_point now, outbox &out);

/// Handles the end of a record write; failed writes are queued again. Returns false if a leader with a higher
/// epoch holds the worker.
bool onRecordsEnded(leader &state, worker &target, const result<worker_reply> &outcome, time_point now);

} // namespace sesamespar
