// Calls of daemons to workers. All assumptions on the platform's worker interface are in this file; see
// docs/design.md, "Assumptions on the platform beyond the brief".
//
// Every call carries the epoch and the holder of the control lease. A worker does not act on a call whose epoch and
// holder are not those of its current lease, or after that lease has expired. All calls are idempotent, because the
// HTTP client may send a request twice.
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

/// Reading of a worker's own monotonic clock in milliseconds. Leases end at points on this clock, so that a delayed
/// call cannot extend a lease beyond the end that its sender assumes.
using worker_clock = strong_value<struct worker_clock_tag, std::int64_t>;

/// Control lease under which a call is made, and the incarnation of the worker that the call addresses. A worker that
/// has restarted refuses calls to its previous incarnation, since it could otherwise execute a delayed start after the
/// sender has placed the task on another worker.
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
    milliseconds wait{0}; ///< Longest time to wait for an event after `after` before the answer.
    event_sequence after; ///< Last event that the caller has handled; the worker may drop earlier events.
    config_version version; ///< Configuration in force at the caller.
    roster_revision roster; ///< VM list known to the caller.
    bool release = false; ///< Releases the lease at once.
};

/// What happened to a task.
enum class task_event_kind {
    Started,
    Succeeded,
    Failed,
    Stopped, ///< Ended by a stop command, or never ran and will not run under this attempt.
    Checkpointed, ///< Saved and ended by a checkpoint command; a later attempt continues from the checkpoint.
    LeaseExpired, ///< Stopped by the worker because its lease was not renewed.
};

/// An event in a worker's sequence.
struct task_event {
    event_sequence sequence;
    task_id task;
    task_event_kind kind = task_event_kind::Started;
    std::string result; ///< For Succeeded and Failed, at most 4 KiB.
};

/// Measured resource usage of one task. It may be seconds out of date.
struct task_usage {
    task_id task;
    resources used;
};

/// Answer to control. If `granted` is false, events and usage are empty and the worker did not wait for an event.
struct control_reply {
    bool granted = false;
    control_token current; ///< Lease in force after the call.
    milliseconds remaining{0}; ///< Until the lease in force expires; 0 if it has expired or was released.
    worker_clock clock; ///< The worker's clock when it answers.
    incarnation_id instance; ///< Changes when the worker restarts; then all its tasks and records are gone.
    resources capacity;
    bool draining = false;
    config_version version; ///< Highest version in any caller's request.
    roster_revision roster; ///< Highest revision in any caller's request.
    std::vector<task_event> events; ///< Events that follow `after`, in sequence, at most 256.
    std::vector<task_usage> usage;
};

/// Reads all tasks and records, page by page, under the lease. Path /v1/snapshot.
struct snapshot_request {
    control_token token;
    std::uint64_t page = 0; ///< 0 for the first page, then `nextPage` of the answer.
};

/// A task known to a worker: running, or ended and not yet forgotten.
struct worker_task {
    task_id task;
    resources need;
    bool ended = false;
    task_event_kind last = task_event_kind::Started; ///< How the task ended, if `ended` is set.
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

/// Answer to a write_records_request: either the whole request was applied, or nothing.
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

/// Limits the processor share of a running task.
struct throttle_command {
    task_id task;
    millicores limit;
};

/// Commands for tasks. A worker whose clock is past `sentAt` + `validity` executes none of them, so that a delayed
/// start cannot run a task that has been placed on another worker since. Path /v1/commands.
struct commands_request {
    control_token token;
    worker_clock sentAt; ///< The sender's lower bound of the worker's clock at the time of sending.
    milliseconds validity{0};
    std::vector<start_command> start; ///< A task whose id is already recorded on the worker is not started again.
    std::vector<task_id> stop; ///< Also prevents a start of the same id that arrives later.
    std::vector<task_id> checkpoint;
    std::vector<throttle_command> throttle;
    std::vector<task_id> forget; ///< Ended tasks whose outcome is recorded.
    bool drain = false; ///< Marks the worker as draining until it restarts.
};

/// A start that the worker rejected; the task did not run.
struct rejected_start {
    task_id task;
    std::string reason;
};

/// Answer to commands: either all of them except the listed starts were accepted, or none.
struct commands_reply {
    bool accepted = false;
    control_token current;
    worker_clock clock; ///< The worker's clock when it answers.
    std::vector<rejected_start> rejected;
};

/// Any call to a worker.
using worker_request = std::variant<control_request, snapshot_request, write_records_request, commands_request>;
/// Any answer of a worker, in the order of worker_request.
using worker_reply = std::variant<control_reply, snapshot_reply, write_records_reply, commands_reply>;

} // namespace sesamespar
