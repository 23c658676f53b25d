// What daemons say to workers. This is the only place where the platform's worker interface is assumed;
// see docs/design.md, "Assumptions on the platform beyond the brief".
//
// Every call carries the epoch and the holder of the control lease. A worker does nothing for a call
// whose epoch and holder are not those of its current lease, or when that lease has lapsed. All calls
// are idempotent, because the HTTP client may send a request twice.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "request/job_record.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sesamespar {

/// Reading of a worker's own monotonic clock in milliseconds. Leases are given as points on this clock, so
/// that a call that was delayed on its way cannot extend a lease past what its sender believes.
using worker_clock = strong_value<struct worker_clock_tag, std::int64_t>;

/// Control lease that a call acts under, and the run of the worker that it is meant for. A worker that has
/// restarted refuses calls meant for its former run, since a delayed start could otherwise run there after its
/// sender has placed the task elsewhere.
struct control_token {
    epoch_number epoch;
    daemon_id holder;
    incarnation_id instance;
};

/// Takes, renews or releases the control lease, renews the leases of all tasks on the worker, and waits
/// for events. A request with epoch 0 is a probe: it is never granted and changes nothing. Path /v1/control.
struct control_request {
    control_token token;
    worker_clock sentAt; ///< The sender's lower bound of the worker's clock at the time of sending.
    milliseconds lease{
        0}; ///< The control lease lasts until `sentAt` + `lease`, each task's until `sentAt` + its own lease.
    milliseconds wait{0}; ///< Waits so long for an event after `after` before it answers.
    event_sequence after; ///< Last event that the caller has handled; earlier ones may be dropped.
    config_version version; ///< Configuration in force at the caller.
    roster_revision roster; ///< VM list known to the caller.
    bool release = false; ///< Gives the lease up at once.
};

/// What happened to a task.
enum class task_event_kind {
    Started,
    Succeeded,
    Failed,
    Stopped, ///< Ended by a stop command, or never ran and will not run under this attempt.
    Checkpointed, ///< Saved and ended by a checkpoint command; a later attempt goes on from there.
    LeaseExpired, ///< Stopped by the worker because its lease was not renewed.
};

/// One event of a worker's sequence.
struct task_event {
    event_sequence sequence;
    task_id task;
    task_event_kind kind = task_event_kind::Started;
    std::string result; ///< For Succeeded and Failed, at most 4 KiB.
};

/// Measured use of one task. It lags behind by seconds.
struct task_usage {
    task_id task;
    resources used;
};

/// Answer to control. If `granted` is false, events and usage are empty and no event is waited for.
struct control_reply {
    bool granted = false;
    control_token current; ///< Lease in force after the call.
    milliseconds remaining{0}; ///< Until the lease in force lapses; 0 if it has lapsed or was released.
    worker_clock clock; ///< The worker's clock when it answers.
    incarnation_id instance; ///< Changes when the worker restarts; then all its tasks and records are gone.
    resources capacity;
    bool draining = false;
    config_version version; ///< Highest that any caller announced.
    roster_revision roster; ///< Highest that any caller announced.
    std::vector<task_event> events; ///< In sequence after `after`, at most 256.
    std::vector<task_usage> usage;
};

/// Reads all tasks and records, by page, under the lease. Path /v1/snapshot.
struct snapshot_request {
    control_token token;
    std::uint64_t page = 0; ///< 0 for the first page, then `nextPage` of the answer.
};

/// A task known to a worker: running, or ended and not yet forgotten.
struct worker_task {
    task_id task;
    resources need;
    bool ended = false;
    task_event_kind last = task_event_kind::Started; ///< How it ended, if it did.
    std::string result;
};

/// One page of a worker's tasks and records, at most 256 of each.
struct snapshot_reply {
    bool accepted = false; ///< False if the lease is not the current one.
    control_token current;
    event_sequence sequence; ///< Last event at the time of the first page.
    std::vector<worker_task> tasks;
    std::vector<job_record> records;
    std::uint64_t nextPage = 0; ///< 0 if this is the last page.
};

/// Removes a record if its revision is not above the given one.
struct record_drop {
    job_id id;
    record_revision revision;
};

/// Stores and removes records. A stored record never replaces one of a higher revision. Path /v1/records.
struct write_records_request {
    control_token token;
    std::vector<job_record> put;
    std::vector<record_drop> drop;
};

/// Answer to write_records: all of it was done, or none.
struct write_records_reply {
    bool accepted = false;
    control_token current;
};

/// Starts one task.
struct start_command {
    task_id task;
    resources need;
    milliseconds runTime{0}; ///< Declared run time.
    milliseconds lease{0}; ///< Length of the task's lease from the `sentAt` of each renewal.
    work_id work;
    std::string payload;
};

/// Throttles a running task to the given processors.
struct throttle_command {
    task_id task;
    millicores limit;
};

/// Commands for tasks. A worker whose clock is past `sentAt` + `validity` takes none of them, so that a start
/// that was delayed on its way cannot run a task that was placed elsewhere since. Path /v1/commands.
struct commands_request {
    control_token token;
    worker_clock sentAt; ///< The sender's lower bound of the worker's clock at the time of sending.
    milliseconds validity{0};
    std::vector<start_command> start; ///< A task id that is known already is not started again.
    std::vector<task_id> stop; ///< Also bars a start of the same id that arrives later.
    std::vector<task_id> checkpoint;
    std::vector<throttle_command> throttle;
    std::vector<task_id> forget; ///< Ended tasks whose outcome is recorded.
    bool drain = false; ///< Marks the worker as draining; sticks until it restarts.
};

/// A start that the worker did not take; the task did not run.
struct rejected_start {
    task_id task;
    std::string reason;
};

/// Answer to commands: all of them were taken but the listed starts, or none.
struct commands_reply {
    bool accepted = false;
    control_token current;
    worker_clock clock; ///< The worker's clock when it answers.
    std::vector<rejected_start> rejected;
};

/// Any call to a worker.
using worker_request = std::variant<control_request, snapshot_request, write_records_request, commands_request>;
/// The answer to a call, in the same order as the requests.
using worker_reply = std::variant<control_reply, snapshot_reply, write_records_reply, commands_reply>;

} // namespace sesamespar
