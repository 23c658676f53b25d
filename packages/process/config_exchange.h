// The configuration in force at this daemon and how it changes: from the store, from peers, and by
// operators. Only a higher version ever replaces the one in force.
#pragma once

#include "base/backoff.h"
#include "connection/event.h"
#include "connection/stored_configuration.h"
#include "version/configuration.h"
#include "version/daemon_settings.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sesamespar {

/// Most operator changes that wait behind the one being written.
constexpr std::size_t maxWaitingChanges = 8;
/// Longest time from the arrival of an operator's change to its answer.
constexpr milliseconds changeLimit{10000};

/// An operator's change that waits for its turn.
struct waiting_change {
    front_end_request_id id;
    apply_configuration call;
    time_point deadline;
};

/// How far the change that is being written is.
enum class change_step {
    Reading, ///< The value is read before the write.
    Writing, ///< The compare-and-swap is under way or about to be repeated.
    Checking, ///< The value is read back to learn whether the write took effect.
};

/// The change that is being written.
struct active_change {
    front_end_request_id id;
    apply_configuration call;
    time_point deadline;
    configuration_ptr settings; ///< Its text, parsed; the version is not final before Writing.
    change_step step = change_step::Reading;
    bool mayHaveApplied = false; ///< A write was sent whose outcome is not known.
    std::optional<std::uint64_t> callSerial; ///< Serial of the call under way.
    time_point callDeadline; ///< When the call under way counts as lost.
    time_point retryAt; ///< When the next call is due, if none is under way.
    unsigned retries = 0;
    stored_configuration next; ///< What is written; meaningful from Writing on.
    store_revision base; ///< Revision that the write expects.
};

/// State of the configuration at one daemon.
struct config_exchange {
    std::vector<daemon_id> peers;
    timing_settings timing;
    std::mt19937_64 *random = nullptr; ///< Outlives this struct.
    configuration_ptr inForce; ///< Null until one is known.

    std::uint64_t lastSerial = 0;
    std::optional<std::uint64_t> watchSerial; ///< Serial of the watch under way.
    time_point watchStarted;
    time_point watchDeadline; ///< When the watch under way counts as lost.
    time_point watchAt; ///< When the next watch is due, if none is under way.
    unsigned watchErrors = 0; ///< In a row.
    store_revision watched; ///< Highest store revision seen.

    std::optional<active_change> active;
    std::deque<waiting_change> waiting;

    std::map<daemon_id, time_point> lastRequests; ///< When a peer was last asked for its configuration.
    config_version unusableVersion; ///< Highest version whose text this daemon could not use; not asked for again.
    std::uint64_t unusableTexts = 0; ///< Texts from the store or peers that could not be used.
};

/// Makes the state of a daemon without a configuration. The first watch is due at once.
config_exchange makeConfigExchange(const daemon_settings &settings, std::mt19937_64 &random, time_point now);

/// Version in force, 0 if there is none.
config_version versionInForce(const config_exchange &state);

/// Starts or queues an operator's change. It is answered exactly once, within changeLimit.
void onApply(config_exchange &state,
             front_end_request_id id,
             const apply_configuration &call,
             const clock_reading &now,
             outbox &out);

/// Handles the end of a call of ConfigurationWatch or ConfigurationWrite; late ones are ignored.
void onStoreReply(config_exchange &state, const store_call_ended &ended, const clock_reading &now, outbox &out);

/// Asks a peer for its configuration if its heartbeat shows a higher version.
void onPeerVersion(
    config_exchange &state, const daemon_id &peer, config_version version, const clock_reading &now, outbox &out);

/// Answers a peer's request with the configuration in force, if there is one.
void onConfigRequest(const config_exchange &state, const daemon_id &peer, outbox &out);

/// Takes a configuration that a peer handed over if its version is higher. Returns true if it is in force now.
bool onConfigPush(config_exchange &state, const config_push &push);

/// Time at which onTick() has something to do.
time_point nextWake(const config_exchange &state);

/// Starts calls that are due and ends what has reached its limit.
void onTick(config_exchange &state, const clock_reading &now, outbox &out);

} // namespace sesamespar
