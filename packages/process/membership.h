// The view of the other daemons, built from their heartbeats: which daemons are live, which lead a data centre, and
// which versions and epochs they have seen. It is a hint for routing and candidacy; that at most one leader controls a
// worker is ensured by the workers' control leases.
#pragma once

#include "connection/event.h"
#include "version/daemon_settings.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sesamespar {

/// Most names in one report of leaving VMs; a longer report is truncated.
constexpr std::size_t maxLeavingReport = 1024;

/// Last known state of one peer.
struct peer_view {
    data_centre_id dataCentre;
    std::optional<time_point> lastHeartbeatAt; ///< Arrival of the last accepted heartbeat.
    incarnation_id incarnation; ///< Incarnation that sent the last accepted heartbeat.
    std::vector<incarnation_id> formerIncarnations; ///< Their late heartbeats are ignored.
    heartbeat last; ///< Newest status; valid only if `lastHeartbeatAt` is set.
};

/// View of all daemons of the cell.
struct membership {
    daemon_id self;
    data_centre_id dataCentre;
    timing_settings timing;
    time_point started;
    time_point nextHeartbeat;
    /// Own status for the next heartbeat. The daemon keeps it up to date, except for `leaving`, which is set on
    /// sending.
    heartbeat own;
    std::set<worker_id> ownLeaving; ///< VMs that this daemon itself found to be leaving or drained.
    roster_revision roster; ///< Revision of `vms`; 0 if there is no VM list.
    std::map<worker_id, vm_state> vms; ///< The VM list in force; reports on other VMs are ignored.
    std::map<daemon_id, peer_view> peers;
};

/// Makes the view of a daemon that has received no heartbeats yet.
membership makeMembership(const daemon_settings &settings, time_point started);

/// Records a heartbeat. Returns false if it is ignored: from an unknown daemon, from a former incarnation, or with
/// another data centre than in the settings.
bool recordHeartbeat(membership &state, const peer_message &message, const heartbeat &beat, const clock_reading &now);

/// Time of the next own heartbeat.
time_point nextWake(const membership &state);

/// Sends a heartbeat to every peer if it is due.
void onTick(membership &state, const clock_reading &now, outbox &out);

/// Sends a heartbeat to every peer at once, for example when this daemon begins or ceases to lead.
void sendHeartbeats(membership &state, const clock_reading &now, outbox &out);

/// True if the name is this daemon's or a heartbeat of that peer arrived within the peer timeout.
bool isLive(const membership &state, const daemon_id &name, time_point now);

/// True if this daemon should lead its data centre: it has the lowest id among the live daemons that are not draining.
/// False during the first peer timeout after the start, unless all peers of the data centre have sent a heartbeat.
bool isCandidate(const membership &state, time_point now);

/// Live daemons that report to lead a data centre, including this one: complete leaders first, then by descending
/// epoch, then by id.
std::vector<daemon_id> leadersOf(const membership &state, const data_centre_id &dataCentre, time_point now);

/// First entry of leadersOf(), or nothing.
std::optional<daemon_id> leaderOf(const membership &state, const data_centre_id &dataCentre, time_point now);

/// True if that daemon is live and reports that it leads and is complete.
bool isCompleteLeader(const membership &state, const daemon_id &name, time_point now);

/// Highest epoch that this daemon or a peer of its data centre has reported.
epoch_number highestEpoch(const membership &state);

/// Highest configuration version that this daemon or any peer has reported.
config_version highestVersion(const membership &state);

/// Highest roster revision that this daemon or any peer has reported.
roster_revision highestRoster(const membership &state);

/// Adopts a VM list if its revision is higher. Own reports on VMs that are no longer listed are dropped.
void useRoster(membership &state, const vm_list &list);

/// Reports a VM as leaving or drained. Returns false if it is not in the VM list or the report is full.
bool markLeaving(membership &state, const worker_id &vm);

/// Withdraws this daemon's report on a VM, for example when its worker has restarted.
void clearLeaving(membership &state, const worker_id &vm);

/// True if the VM list, this daemon or any peer's latest heartbeat reports that the VM is leaving or drained. A peer's
/// report is valid until the VM is removed from the list or the peer withdraws the report, even if the peer is down.
bool isLeaving(const membership &state, const worker_id &vm);

/// All VMs of the list for which isLeaving() holds.
std::set<worker_id> leavingVms(const membership &state);

} // namespace sesamespar
