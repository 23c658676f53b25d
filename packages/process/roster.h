// The VM list: read from the store at an interval and exchanged with peers. The highest revision counts.
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
    vm_list list; ///< The newest known; revision 0 if none is.

    std::uint64_t lastSerial = 0;
    std::optional<std::uint64_t> callSerial; ///< Serial of the call under way.
    time_point callDeadline; ///< When the call under way counts as lost.
    time_point pollAt; ///< When the next call is due, if none is under way.
    unsigned errors = 0; ///< In a row.

    std::map<daemon_id, time_point> requestedAt; ///< When a peer was last asked for its list.
};

/// Makes the state of a daemon without a VM list. The first call is due at once.
roster_exchange makeRosterExchange(const daemon_settings &settings, std::mt19937_64 &random, time_point now);

/// Handles the end of a call of VmList; late ones are ignored. Returns true if the list has changed.
bool onStoreReply(roster_exchange &state, const store_call_ended &ended, const clock_reading &now);

/// Asks a peer for its list if its heartbeat shows a higher revision.
void onPeerRoster(
    roster_exchange &state, const daemon_id &peer, roster_revision revision, const clock_reading &now, outbox &out);

/// Answers a peer's request with the list, if there is one.
void onRosterRequest(const roster_exchange &state, const daemon_id &peer, outbox &out);

/// Takes a list that a peer handed over if its revision is higher. Returns true if the list has changed.
bool onRosterPush(roster_exchange &state, const roster_push &push);

/// Time at which onTick() has something to do.
time_point nextWake(const roster_exchange &state);

/// Starts the call that is due and gives up one that was lost.
void onTick(roster_exchange &state, const clock_reading &now, outbox &out);

} // namespace sesamespar
