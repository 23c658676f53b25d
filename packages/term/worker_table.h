// State that a leader keeps for each worker of its data centre: the control lease, the worker's clock, the calls in
// flight and the tasks with capacity reserved there.
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

/// Progress of the takeover of a worker by a new leader.
enum class worker_phase {
    Unknown, ///< Not reached yet.
    Probed, ///< Its clock and its current lease are known.
    Reading, ///< The lease is held; its tasks and records are being read.
    Ready, ///< All of its tasks and records are known.
};

/// State of one kind of call to a worker. At most one call of each kind is in flight.
struct call_slot {
    std::uint64_t serial = 0; ///< Of the call in flight; 0 if there is none.
    time_point sentAt;
    time_point retryAt; ///< No call before this time.
    unsigned failures = 0; ///< Consecutive.
};

/// A task with capacity reserved on a worker.
struct placed_task {
    task_id task;
    milliseconds lease{0};
    bool stopRequested = false; ///< A stop or checkpoint is queued or was sent.
    bool orphan = false; ///< It belongs to no job of this leader and is being stopped.
};

/// A record write that is queued or in flight.
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
    epoch_number epoch; ///< Granted to this leader; 0 if none has been granted.
    control_token current; ///< Lease in force at the worker, as last reported by it.
    time_point leaseUntil; ///< The control lease certainly lasts until then.
    time_point otherLeaseUntil; ///< The lease of another holder may last until then.
    std::optional<worker_clock> clock; ///< Last clock reading received from the worker.
    time_point clockReadAt; ///< When that reading arrived.
    time_point lastRenewal; ///< When the last call that could renew leases was sent, answered or not.
    incarnation_id instance;
    bool markerMissing = false; ///< It had no copy marker, so it may have lost records in a restart.
    bool markerPlaced = false; ///< The copy marker is on it, or its write is queued.
    bool markerQueued = false;
    bool markerSent = false; ///< The write in flight contains the copy marker.
    bool probeRequired = true; ///< The next call must be a probe, which renews no lease.
    bool draining = false;
    bool listed = true; ///< Still on the VM list.
    bool offered = false; ///< Added to the scheduler.
    bool placeable = false; ///< As last passed to the scheduler.
    std::optional<time_point> unheldSince; ///< When isHeld() was first found false; absent while it is true.
    bool copiesReplaced = false; ///< Its record copies were moved to other workers since it was last held.
    resources capacity;
    event_sequence lastHandledEvent; ///< Events up to this number are skipped if they are received again.
    std::uint64_t nextPage = 0; ///< Next page of the snapshot to read.
    std::vector<worker_task> reported; ///< Tasks of the snapshot that are not reconciled yet.
    std::vector<task_event> deferred; ///< Events that arrived before the snapshot was reconciled.
    std::array<call_slot, 4> calls; ///< Indexed by worker_call_kind.
    std::map<task_key, placed_task> tasks;
    std::vector<job_id> queuedPuts;
    std::vector<record_drop> queuedDrops;
    std::vector<record_put> sentPuts;
    std::vector<record_drop> sentDrops;
    queued_commands queued;
    queued_commands sent;
};

/// All workers of the data centre by name. Pointers to workers stay valid until the worker is removed.
struct worker_table {
    std::map<worker_id, worker> workers;
    roster_revision roster; ///< Revision of the VM list that was last applied.
};

/// Returns the worker of that name, or null.
worker *findWorker(worker_table &table, const worker_id &name);

call_slot &slotOf(worker &target, worker_call_kind kind);

/// True if no call of this kind is in flight and its retry time has passed.
bool mayCall(const worker &target, worker_call_kind kind, time_point now);

/// Lower bound of the worker's clock at `now`. At least one clock reading must have been received.
worker_clock estimateClock(const worker &target, time_point now);

/// True if the control lease is held now and all tasks and records of the worker are known.
bool isHeld(const worker &target, time_point now);

/// True if the worker may get new tasks and records now.
bool isPlaceable(const worker &target, time_point now);

/// Racks of the listed workers.
std::set<rack_id> listedRacks(const worker_table &table);

/// Racks in which at least one listed worker is not held or, if `countMarkerMissing` is set, has no copy marker.
std::set<rack_id> unheldRacks(const worker_table &table, time_point now, bool countMarkerMissing);

/// True if a leader may operate without the missing racks: none is missing, or one of at least three. The other racks
/// can then store both copies of a record, and no second leader can hold as many racks.
bool toleratesMissingRacks(std::size_t allRacks, std::size_t missingRacks);

} // namespace sesamespar
