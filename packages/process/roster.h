// The VM list: read from the store at an interval and exchanged with peers. The list with the highest revision is used.
#pragma once

#include "base/backoff.h"
#include "connection/event.h"
#include "version/daemon_settings.h"

#include <map>
#include <optional>
#include <random>

namespace sesamespar {

/// State of the VM list at one daemon.
struct roster_exchange {
    timing_settings timing;
    std::mt19937_64 *random = nullptr; ///< Outlives this struct.
    vm_list list; ///< The newest known list; revision 0 if there is none.

    std::uint64_t lastSerial = 0;
    std::optional<std::uint64_t> callSerial; ///< Serial of the call in progress.
    time_point callDeadline; ///< When the call in progress counts as lost.
    time_point pollAt; ///< When the next call is due, if none is in progress.
    unsigned errors = 0; ///< Consecutive failed calls.

    std::map<daemon_id, time_point> requestedAt; ///< When a peer's list was last requested.
};

/// Makes the state of a daemon without a VM list. The first call is due at once.
roster_exchange makeRosterExchange(const daemon_settings &settings, std::mt19937_64 &random, time_point now);

/// Handles the end of a VmList call; ends of calls that count as lost are ignored. Returns true if the list has
/// changed.
bool onStoreReply(roster_exchange &state, const store_call_ended &ended, const clock_reading &now);

/// Requests a peer's list if its heartbeat reports a higher revision, at most once per heartbeat interval.
void onPeerRoster(
    roster_exchange &state, const daemon_id &peer, roster_revision revision, const clock_reading &now, outbox &out);

/// Answers a peer's request with the list, if there is one.
void onRosterRequest(const roster_exchange &state, const daemon_id &peer, outbox &out);

/// Adopts a list that a peer sent if its revision is higher. Returns true if the list has changed.
bool onRosterPush(roster_exchange &state, const roster_push &push);

/// Time at which the next action of onTick() is due.
time_point nextWake(const roster_exchange &state);

/// Starts a call if one is due, and abandons a call that counts as lost.
void onTick(roster_exchange &state, const clock_reading &now, outbox &out);

} // namespace sesamespar
