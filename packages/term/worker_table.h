// What a leader knows of each worker of its data centre: the control lease, the worker's clock, the calls
// under way and the tasks that hold capacity there.
#pragma once

#include "base/backoff.h"
#include "base/ids.h"
#include "base/time.h"
#include "connection/event.h"
#include "connection/store_api.h"
#include "connection/worker_api.h"
#include "term/scheduler.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace sesamespar {

/// How far the takeover of a worker is.
enum class worker_phase {
    Unknown, ///< Not reached yet.
    Probed, ///< Its clock and its current lease are known.
    Reading, ///< The lease is held; its tasks and records are being read.
    Ready, ///< All of its tasks and records are known.
};

/// State of one sort of call to a worker. At most one call of each sort is under way.
struct call_slot {
    std::uint64_t serial = 0; ///< Of the call under way; 0 if none is.
    time_point sentAt;
    time_point retryAt; ///< No call before this time.
    unsigned failures = 0; ///< In a row.
};

/// A task that holds capacity on a worker.
struct placed_task {
    task_id task;
    milliseconds lease{0};
    bool stopRequested = false; ///< A stop or checkpoint is queued or was sent.
    bool orphan = false; ///< No job of this leader knows it; it is being stopped.
};

/// A record write that is queued or under way.
struct record_put {
    job_id job;
    record_revision revision; ///< Revision sent; set when the call is made.
};

/// Commands that wait for the next call.
struct queued_commands {
    std::vector<start_command> start;
    std::vector<task_id> stop;
    std::vector<task_id> checkpoint;
    std::vector<throttle_command> throttle;
    std::vector<task_id> forget;
    bool drain = false;
};

/// One worker of the leader's data centre.
struct worker {
    vm_entry entry;
    worker_phase phase = worker_phase::Unknown;
    epoch_number epoch; ///< Granted to this leader; 0 if none was.
    control_token current; ///< Lease in force at the worker as last heard.
    time_point leaseUntil; ///< Until when the control lease is held for certain.
    time_point otherLeaseUntil; ///< Until when another holder's lease may last.
    std::optional<worker_clock> clock; ///< Last reading of its clock.
    time_point clockReadAt; ///< When that reading arrived.
    time_point lastRenewal; ///< When the last call that could renew leases was sent, answered or not.
    incarnation_id instance;
    bool blank = false; ///< It had no copy marker, so it may have lost records in a restart.
    bool marked = false; ///< The copy marker is on it, or its write is queued.
    bool markerQueued = false;
    bool markerSent = false; ///< In the write under way.
    bool suspect = true; ///< The next call must be a probe, which renews no lease.
    bool draining = false;
    bool listed = true; ///< Still on the VM list.
    bool offered = false; ///< Known to the scheduler.
    bool placeable = false; ///< As last told to the scheduler.
    std::optional<time_point> unheldSince; ///< Absent while it is held.
    bool copiesReplaced = false; ///< Record copies were moved elsewhere since it was last held.
    resources capacity;
    event_sequence handled; ///< Last event of the worker that was handled.
    std::uint64_t nextPage = 0; ///< Of the snapshot being read.
    std::vector<worker_task> reported; ///< Tasks of the snapshot that are not reconciled yet.
    std::vector<task_event> deferred; ///< Events that arrived before the snapshot was reconciled.
    std::array<call_slot, 4> calls; ///< Indexed by worker_call_sort.
    std::map<task_key, placed_task> tasks;
    std::vector<job_id> queuedPuts;
    std::vector<record_drop> queuedDrops;
    std::vector<record_put> sentPuts;
    std::vector<record_drop> sentDrops;
    queued_commands queued;
    queued_commands sent;
};

/// All workers of the data centre by name. Nodes are stable.
struct worker_table {
    std::map<worker_id, worker> workers;
    roster_revision roster; ///< Revision of the VM list that the table follows.
};

/// Worker of that name, or null.
worker *findWorker(worker_table &table, const worker_id &name);

/// Slot of a sort of call.
call_slot &slotOf(worker &target, worker_call_kind sort);

/// True if a call of this sort may be made now.
bool mayCall(const worker &target, worker_call_kind sort, time_point now);

/// Lower bound of the worker's clock now. The worker must have been reached before.
worker_clock estimateClock(const worker &target, time_point now);

/// True if the control lease is held now and all tasks and records of the worker are known.
bool isHeld(const worker &target, time_point now);

/// True if the worker may get new tasks and records now.
bool isPlaceable(const worker &target, time_point now);

/// Racks of the listed workers.
std::set<rack_id> listedRacks(const worker_table &table);

/// Racks in which some listed worker is not held, or is blank if `countBlank` is set.
std::set<rack_id> unheldRacks(const worker_table &table, time_point now, bool countBlank);

/// True if a record could have both copies, and a leader all but the tolerated number of racks, outside
/// the racks that are missing.
bool toleratesMissingRacks(std::size_t allRacks, std::size_t missingRacks);

} // namespace sesamespar
