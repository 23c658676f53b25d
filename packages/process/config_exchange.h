// The configuration in force at a daemon, and its changes from the store, from peers and by operators. Only a
// higher version replaces the version in force.
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

/// Maximum number of operator changes that wait for the change being written.
constexpr std::size_t maxWaitingChanges = 8;
/// Maximum time from the arrival of an operator's change to its answer.
constexpr milliseconds changeLimit{10000};

/// An operator's change that waits until the changes before it are finished.
struct waiting_change {
    front_end_request_id id;
    apply_configuration call;
    time_point deadline;
};

/// Step of the change that is being written.
enum class change_step {
    Reading, ///< The stored value is read before the write.
    Writing, ///< The compare-and-swap is under way or will be retried.
    Checking, ///< The stored value is read back to find out whether the write took effect.
};

/// The change that is being written.
struct active_change {
    front_end_request_id id;
    apply_configuration call;
    time_point deadline;
    configuration_ptr settings; ///< The parsed text; its version is not final.
    change_step step = change_step::Reading;
    bool mayHaveApplied = false; ///< A write was sent and its outcome is unknown.
    std::optional<std::uint64_t> callSerial; ///< Serial of the call under way.
    time_point callDeadline; ///< When the call under way counts as lost.
    time_point retryAt; ///< When the next call is due, if none is under way.
    unsigned retries = 0;
    stored_configuration next; ///< The value to write; set when Writing begins.
    store_revision base; ///< Store revision that the write expects.
};

/// State of the configuration at one daemon.
struct config_exchange {
    std::vector<daemon_id> peers;
    timing_settings timing;
    std::mt19937_64 *random = nullptr; ///< Outlives this struct.
    configuration_ptr inForce; ///< Null until the daemon has received a configuration.

    std::uint64_t lastSerial = 0;
    std::optional<std::uint64_t> watchSerial; ///< Serial of the watch under way.
    time_point watchStarted;
    time_point watchDeadline; ///< When the watch under way counts as lost.
    time_point watchAt; ///< When the next watch is due, if none is under way.
    unsigned watchErrors = 0; ///< Consecutive failures.
    store_revision watched; ///< Highest store revision that a reply has shown.

    std::optional<active_change> active;
    std::deque<waiting_change> waiting;

    std::map<daemon_id, time_point> lastRequests; ///< When a configuration was last requested from a peer.
    config_version unusableVersion; ///< Highest version whose text was unusable; not requested again.
    std::uint64_t unusableTexts = 0; ///< Number of unusable texts from the store or from peers.
};

/// Makes the state of a daemon without a configuration. The first watch is due at `now`. `random` must outlive the
/// state.
config_exchange makeConfigExchange(const daemon_settings &settings, std::mt19937_64 &random, time_point now);

/// Version in force; 0 if there is none.
config_version versionInForce(const config_exchange &state);

/// Starts or queues an operator's change. Each change is answered exactly once, within changeLimit.
void onApply(config_exchange &state,
             front_end_request_id id,
             const apply_configuration &call,
             const clock_reading &now,
             outbox &out);

/// Handles the end of a ConfigurationWatch or ConfigurationWrite call. Late replies are ignored.
void onStoreReply(config_exchange &state, const store_call_ended &ended, const clock_reading &now, outbox &out);

/// Requests a peer's configuration if its heartbeat shows a higher version, at most once per heartbeat interval.
void onPeerVersion(
    config_exchange &state, const daemon_id &peer, config_version version, const clock_reading &now, outbox &out);

/// Answers a peer's request with the configuration in force, if there is one.
void onConfigRequest(const config_exchange &state, const daemon_id &peer, outbox &out);

/// Adopts a configuration that a peer sent if its version is higher than the version in force and its text is
/// usable. Returns true if it is in force now.
bool onConfigPush(config_exchange &state, const config_push &push);

/// Time at which onTick() is due next.
time_point nextWake(const config_exchange &state);

/// Starts the calls that are due, and ends calls and changes whose deadline has passed.
void onTick(config_exchange &state, const clock_reading &now, outbox &out);

} // namespace sesamespar
