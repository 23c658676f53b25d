// The view of the other daemons, built from their heartbeats: who is live, who leads a data centre, and
// what they have seen. It is a hint for routing and ranking; safety rests on the workers' control leases.
#pragma once

#include "connection/event.h"
#include "version/daemon_settings.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sesamespar {

/// Most names in one report of leaving VMs; a longer report is cut.
constexpr std::size_t maxLeavingReport = 1024;

/// What is known of one peer.
struct peer_view {
    data_centre_id dataCentre;
    std::optional<time_point> lastHeartbeatAt; ///< Arrival of the last heartbeat that counted.
    incarnation_id incarnation; ///< Of that heartbeat.
    std::vector<incarnation_id> formerIncarnations; ///< Earlier incarnations; their late heartbeats are ignored.
    heartbeat last; ///< Meaningful if `heard` is set.
};

/// View of all daemons of the cell.
struct membership {
    daemon_id self;
    data_centre_id dataCentre;
    timing_settings timing;
    time_point started;
    time_point nextHeartbeat;
    /// Own status as the next heartbeat reports it. The daemon keeps it up to date, all but `leaving`.
    heartbeat own;
    std::set<worker_id> ownLeaving; ///< VMs that this daemon itself found to be leaving or drained.
    roster_revision roster; ///< Of the list below; 0 if there is none.
    std::map<worker_id, vm_state> vms; ///< The VM list in force, as the reference for reports.
    std::map<daemon_id, peer_view> peers;
};

/// Makes the view of a daemon that has heard nobody yet.
membership makeMembership(const daemon_settings &settings, time_point started);

/// Notes a heartbeat. Returns false if it is ignored: from an unknown daemon, a former incarnation, or with
/// another data centre than the settings name.
bool recordHeartbeat(membership &state, const peer_message &message, const heartbeat &beat, const clock_reading &now);

/// Time of the next own heartbeat.
time_point nextWake(const membership &state);

/// Sends the own heartbeat to every peer if it is due.
void onTick(membership &state, const clock_reading &now, outbox &out);

/// Sends the own heartbeat at once, for example when this daemon begins or ceases to lead.
void sendHeartbeats(membership &state, const clock_reading &now, outbox &out);

/// True if the daemon is this one or was heard within the peer timeout.
bool isLive(const membership &state, const daemon_id &name, time_point now);

/// True if this daemon is the one of its data centre that should lead: the lowest id among the live daemons
/// that are not draining. False during the first peer timeout, unless all peers of the data centre were heard.
bool isCandidate(const membership &state, time_point now);

/// Live daemons that say that they lead a data centre, this one included: complete ones first, then by
/// falling epoch, then by id.
std::vector<daemon_id> leadersOf(const membership &state, const data_centre_id &dataCentre, time_point now);

/// First of leadersOf() or nothing.
std::optional<daemon_id> leaderOf(const membership &state, const data_centre_id &dataCentre, time_point now);

/// True if that daemon leads, is complete, and is live.
bool isCompleteLeader(const membership &state, const daemon_id &name, time_point now);

/// Highest epoch that this daemon or a peer of its data centre has reported.
epoch_number highestEpoch(const membership &state);

/// Highest configuration version that this daemon or any peer has reported.
config_version highestVersion(const membership &state);

/// Highest roster revision that this daemon or any peer has reported.
roster_revision highestRoster(const membership &state);

/// Puts a VM list in force as the reference. Own reports on VMs that are no longer listed are dropped.
void useRoster(membership &state, const vm_list &list);

/// Notes that this daemon found a VM to be leaving or drained. Returns false if it is not in the VM list or
/// the report is full.
bool markLeaving(membership &state, const worker_id &vm);

/// Takes the own report on a VM back, for example when its worker has restarted.
void clearLeaving(membership &state, const worker_id &vm);

/// True if the VM list, this daemon or any peer's latest heartbeat says that the VM is leaving or drained.
/// A peer's report counts until the VM is gone from the list or the peer takes it back, even if the peer is down.
bool isLeaving(const membership &state, const worker_id &vm);

/// All VMs of the list for which isLeaving() holds.
std::set<worker_id> leavingVms(const membership &state);

} // namespace sesamespar
