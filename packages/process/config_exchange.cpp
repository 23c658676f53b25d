#include "process/config_exchange.h"

#include "base/log.h"
#include "version/configuration_parser.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// File name in findings, because operators apply a single file.
const std::string textName = "configuration";
constexpr backoff_settings watchBackoff{milliseconds(250), milliseconds(5000)};
constexpr backoff_settings changeBackoff{milliseconds(100), milliseconds(1000)};
/// Minimum timeout of a call that starts shortly before the end of changeLimit.
constexpr milliseconds minCallTimeout{100};

std::string keyOfConfiguration()
{
    return std::string(configurationKey);
}

void putInForce(config_exchange &state, configuration_ptr settings, const char *source)
{
    log_event("configuration_in_force").with("version", settings->version).with("source", source);
    state.inForce = std::move(settings);
}

/// Puts a configuration text in force if its version is higher and the text can be parsed. Returns true if so.
bool adoptText(config_exchange &state, config_version version, const std::string &text, const char *source)
{
    if (version <= versionInForce(state) || version == state.unusableVersion) {
        return false;
    }
    parsed_configuration parsed = parseConfiguration(text, textName, version);
    if (!parsed.settings) {
        state.unusableVersion = std::max(state.unusableVersion, version);
        ++state.unusableTexts;
        log_event("configuration_unusable", log_level::Error)
            .with("version", version)
            .with("source", source)
            .with("first", formatFinding(parsed.problems.front()));
        return false;
    }
    putInForce(state, parsed.settings, source);
    return true;
}

/// Decodes the stored configuration; version 0 if the store has none. Errors: InvalidInput if the value is damaged
/// or the reply is not a value.
result<stored_configuration> readStored(config_exchange &state, const store_reply &reply)
{
    const auto *value = std::get_if<store_value>(&reply);
    if (value == nullptr) {
        return makeError(error_kind::InvalidInput, "the store replied with something other than a value");
    }
    state.watched = std::max(state.watched, value->revision);
    if (value->revision.value == 0) {
        return stored_configuration{};
    }
    auto stored = decodeStoredConfiguration(value->value);
    if (!stored) {
        ++state.unusableTexts;
        log_event("configuration_damaged", log_level::Error)
            .with("revision", value->revision)
            .with("problem", stored.error().message);
    }
    return stored;
}

// Watch of the stored configuration.

void startWatch(config_exchange &state, time_point now, outbox &out)
{
    const milliseconds limit = state.timing.watch + state.timing.callTimeout;
    state.watchSerial = ++state.lastSerial;
    state.watchStarted = now;
    state.watchDeadline = now + limit + state.timing.callTimeout;
    const store_watch watch{keyOfConfiguration(), state.watched, state.timing.watch};
    out.emplace_back(call_store{store_user::ConfigurationWatch, state.lastSerial, watch, limit});
}

void delayWatch(config_exchange &state, time_point now)
{
    state.watchAt = now + backoffDelay(watchBackoff, state.watchErrors, *state.random);
    ++state.watchErrors;
}

void onWatchEnded(config_exchange &state, const store_call_ended &ended, time_point now)
{
    if (state.watchSerial != ended.serial) {
        return;
    }
    state.watchSerial.reset();
    if (!ended.outcome) {
        delayWatch(state, now);
        return;
    }
    const store_revision before = state.watched;
    const auto stored = readStored(state, ended.outcome.value());
    if (!stored) {
        delayWatch(state, now);
        return;
    }
    adoptText(state, stored.value().version, stored.value().text, "store");
    // Prevents a tight loop of calls to a store that answers every watch at once without a change.
    if (state.watched == before && now - state.watchStarted < state.timing.watch / 2) {
        delayWatch(state, now);
        return;
    }
    state.watchErrors = 0;
    state.watchAt = now;
}

// Changes by operators.

void startCall(config_exchange &state, active_change &change, store_request request, time_point now, outbox &out)
{
    const auto left = std::chrono::duration_cast<milliseconds>(change.deadline - now);
    const milliseconds limit = std::max(minCallTimeout, std::min(state.timing.callTimeout, left));
    change.callSerial = ++state.lastSerial;
    change.callDeadline = now + 2 * limit;
    out.emplace_back(call_store{store_user::ConfigurationWrite, state.lastSerial, std::move(request), limit});
}

void startStep(config_exchange &state, time_point now, outbox &out)
{
    active_change &change = *state.active;
    if (change.step == change_step::Writing) {
        startCall(state,
                  change,
                  store_put{keyOfConfiguration(), encodeStoredConfiguration(change.next), change.base},
                  now,
                  out);
    } else {
        startCall(state, change, store_get{keyOfConfiguration()}, now, out);
    }
}

void retryStep(config_exchange &state, change_step step, time_point now)
{
    active_change &change = *state.active;
    change.step = step;
    change.retryAt = now + backoffDelay(changeBackoff, change.retries, *state.random);
    ++change.retries;
}

void beginNext(config_exchange &state, time_point now, outbox &out);

/// Answers the active change and starts the next waiting change.
void finishChange(config_exchange &state, text_answer answer, time_point now, outbox &out)
{
    log_event("configuration_change_ended").with("status", answer.status).with("version", versionInForce(state));
    out.emplace_back(answer_front_end{state.active->id, std::move(answer)});
    state.active.reset();
    beginNext(state, now, out);
}

/// Starts the next waiting change. Changes that are invalid or past their deadline are answered instead.
void beginNext(config_exchange &state, time_point now, outbox &out)
{
    while (!state.active && !state.waiting.empty()) {
        waiting_change next = std::move(state.waiting.front());
        state.waiting.pop_front();
        if (now >= next.deadline) {
            out.emplace_back(answer_front_end{
                next.id, changeRefusedAnswer("timed out behind earlier changes; this change was not written")});
            continue;
        }
        const config_version provisionalVersion(versionInForce(state).value + 1);
        parsed_configuration parsed = parseConfiguration(next.call.text, textName, provisionalVersion);
        if (!parsed.settings) {
            out.emplace_back(answer_front_end{next.id, changeInvalidAnswer(parsed.problems)});
            continue;
        }
        active_change change;
        change.id = next.id;
        change.call = std::move(next.call);
        change.deadline = next.deadline;
        change.settings = parsed.settings;
        state.active = std::move(change);
        startStep(state, now, out);
    }
}

/// Copies a configuration and gives the copy another version.
configuration_ptr withVersion(const configuration_ptr &settings, config_version version)
{
    boost::intrusive_ptr<configuration> copy(new configuration(*settings));
    copy->version = version;
    return copy;
}

void pushToPeers(const config_exchange &state, outbox &out)
{
    for (const daemon_id &peer : state.peers) {
        onConfigRequest(state, peer, out);
    }
}

void finishApplied(config_exchange &state, time_point now, outbox &out)
{
    const config_version version = state.active->next.version;
    if (version > versionInForce(state)) {
        putInForce(state, withVersion(state.active->settings, version), "operator");
    }
    pushToPeers(state, out);
    finishChange(state, changeAppliedAnswer(version), now, out);
}

/// Findings for differences from the version in force that are not allowed. Empty if no version is in force.
findings transitionProblems(const config_exchange &state)
{
    if (!state.inForce) {
        return {};
    }
    return checkTransition(*state.inForce, parsed_configuration{state.active->settings, {}}, textName);
}

/// Writes the active change as the successor of the stored version. Answers it at once if the text is already
/// stored, the expected version differs, or the transition is not allowed.
void writeSuccessor(
    config_exchange &state, const stored_configuration &stored, store_revision revision, time_point now, outbox &out)
{
    active_change &change = *state.active;
    if (stored.version.value > 0 && stored.text == change.call.text) {
        finishChange(state, changeAppliedAnswer(stored.version), now, out);
        return;
    }
    if (change.call.expected && *change.call.expected != stored.version) {
        finishChange(
            state,
            changeConflictAnswer(stored.version,
                                 "the version in force is not the expected version; this change was not written"),
            now,
            out);
        return;
    }
    findings problems = transitionProblems(state);
    if (!problems.empty()) {
        finishChange(state, changeInvalidAnswer(problems), now, out);
        return;
    }
    const change_id changeId((*state.random)());
    change.next = nextConfiguration(stored, config_version(stored.version.value + 1), changeId, change.call.text);
    if (encodeStoredConfiguration(change.next).size() > maxStoreValueBytes) {
        const finding tooLarge{textName, 0, 0, "", "text is larger than a store value may be", ""};
        finishChange(state, changeInvalidAnswer({tooLarge}), now, out);
        return;
    }
    change.base = revision;
    change.step = change_step::Writing;
    startStep(state, now, out);
}

void onRead(config_exchange &state, const result<store_reply> &outcome, time_point now, outbox &out)
{
    if (!outcome) {
        retryStep(state, change_step::Reading, now);
        return;
    }
    const auto stored = readStored(state, outcome.value());
    if (!stored) {
        finishChange(state,
                     changeRefusedAnswer("the configuration in the store is damaged (" + stored.error().message
                                         + "); this change was not written"),
                     now,
                     out);
        return;
    }
    const stored_configuration &found = stored.value();
    adoptText(state, found.version, found.text, "store");
    if (versionInForce(state) > found.version) {
        // A peer sent a newer version after the store had read the value.
        retryStep(state, change_step::Reading, now);
        return;
    }
    if (versionInForce(state) < found.version) {
        finishChange(state,
                     changeRefusedAnswer("this daemon cannot use the stored version; this change was not written"),
                     now,
                     out);
        return;
    }
    writeSuccessor(state, found, std::get<store_value>(outcome.value()).revision, now, out);
}

void onWritten(config_exchange &state, const result<store_reply> &outcome, time_point now, outbox &out)
{
    active_change &change = *state.active;
    const auto *reply = outcome ? std::get_if<store_put_reply>(&outcome.value()) : nullptr;
    if (reply != nullptr && reply->applied) {
        state.watched = std::max(state.watched, reply->revision);
        finishApplied(state, now, out);
        return;
    }
    if (reply != nullptr) {
        // The store client may have sent the write twice, so a failed comparison does not prove that another change
        // came first.
        change.mayHaveApplied = true;
        change.step = change_step::Checking;
        startStep(state, now, out);
        return;
    }
    const bool notTaken =
        !outcome && (outcome.error().kind == error_kind::Unreachable || outcome.error().kind == error_kind::Overloaded);
    if (notTaken) {
        retryStep(state, change.mayHaveApplied ? change_step::Checking : change_step::Writing, now);
        return;
    }
    change.mayHaveApplied = true;
    retryStep(state, change_step::Checking, now);
}

void finishUnknown(config_exchange &state, const std::string &reason, time_point now, outbox &out)
{
    finishChange(
        state, changeUnknownAnswer(reason + "; read the configuration, or apply the same text again"), now, out);
}

void onChecked(config_exchange &state, const result<store_reply> &outcome, time_point now, outbox &out)
{
    if (!outcome) {
        retryStep(state, change_step::Checking, now);
        return;
    }
    const auto stored = readStored(state, outcome.value());
    if (!stored) {
        retryStep(state, change_step::Checking, now);
        return;
    }
    const active_change &change = *state.active;
    const stored_configuration &found = stored.value();
    const store_revision revision = std::get<store_value>(outcome.value()).revision;
    const auto appliedChange = changeOf(found, change.next.version);
    if (appliedChange == change.next.change) {
        adoptText(state, found.version, found.text, "store");
        finishApplied(state, now, out);
    } else if (appliedChange) {
        adoptText(state, found.version, found.text, "store");
        finishChange(state,
                     changeConflictAnswer(found.version, "another change came first; this one was not applied"),
                     now,
                     out);
    } else if (found.version >= change.next.version) {
        adoptText(state, found.version, found.text, "store");
        finishUnknown(state, "the version history no longer shows whether this change was applied", now, out);
    } else if (revision == change.base) {
        // The write has not been applied so far. It may still arrive, but then repeats the same content.
        retryStep(state, change_step::Writing, now);
    } else {
        retryStep(state, change_step::Checking, now);
    }
}

void onChangeCallEnded(config_exchange &state, const result<store_reply> &outcome, time_point now, outbox &out)
{
    state.active->callSerial.reset();
    switch (state.active->step) {
    case change_step::Reading:
        onRead(state, outcome, now, out);
        break;
    case change_step::Writing:
        onWritten(state, outcome, now, out);
        break;
    case change_step::Checking:
        onChecked(state, outcome, now, out);
        break;
    }
}

void endOverdueChange(config_exchange &state, time_point now, outbox &out)
{
    const active_change &change = *state.active;
    const bool writing = change.step == change_step::Writing && change.callSerial;
    if (change.mayHaveApplied || writing) {
        finishUnknown(state, "the store did not confirm the change in time", now, out);
    } else {
        finishChange(state, changeRefusedAnswer("the store is unreachable; this change was not written"), now, out);
    }
}

void tickChange(config_exchange &state, time_point now, outbox &out)
{
    if (!state.active) {
        return;
    }
    const active_change &change = *state.active;
    if (now >= change.deadline) {
        endOverdueChange(state, now, out);
    } else if (!change.callSerial && now >= change.retryAt) {
        startStep(state, now, out);
    } else if (change.callSerial && now >= change.callDeadline) {
        onChangeCallEnded(
            state, makeError(error_kind::Unknown, "the store call did not end before its deadline"), now, out);
    }
}

void tickWatch(config_exchange &state, time_point now, outbox &out)
{
    if (state.watchSerial && now >= state.watchDeadline) {
        state.watchSerial.reset();
        delayWatch(state, now);
    }
    if (!state.watchSerial && now >= state.watchAt) {
        startWatch(state, now, out);
    }
}

} // namespace

config_exchange makeConfigExchange(const daemon_settings &settings, std::mt19937_64 &random, time_point now)
{
    config_exchange state;
    for (const peer_settings &peer : settings.peers) {
        state.peers.push_back(peer.name);
    }
    state.timing = settings.timing;
    state.random = &random;
    state.watchAt = now;
    return state;
}

config_version versionInForce(const config_exchange &state)
{
    return state.inForce ? state.inForce->version : config_version(0);
}

void onApply(config_exchange &state,
             front_end_request_id id,
             const apply_configuration &call,
             const clock_reading &now,
             outbox &out)
{
    if (state.waiting.size() >= maxWaitingChanges) {
        out.emplace_back(
            answer_front_end{id, changeRefusedAnswer("too many changes are waiting; this change was not written")});
        return;
    }
    state.waiting.push_back({id, call, now.monotonic + changeLimit});
    beginNext(state, now.monotonic, out);
}

void onStoreReply(config_exchange &state, const store_call_ended &ended, const clock_reading &now, outbox &out)
{
    if (ended.user == store_user::ConfigurationWatch) {
        onWatchEnded(state, ended, now.monotonic);
    } else if (ended.user == store_user::ConfigurationWrite && state.active
               && state.active->callSerial == ended.serial) {
        onChangeCallEnded(state, ended.outcome, now.monotonic, out);
    }
}

void onPeerVersion(
    config_exchange &state, const daemon_id &peer, config_version version, const clock_reading &now, outbox &out)
{
    if (version <= versionInForce(state) || version == state.unusableVersion) {
        return;
    }
    const auto previous = state.lastRequests.find(peer);
    if (previous != state.lastRequests.end() && now.monotonic - previous->second < state.timing.heartbeat) {
        return;
    }
    state.lastRequests[peer] = now.monotonic;
    out.emplace_back(send_peer{peer, config_request{}});
}

void onConfigRequest(const config_exchange &state, const daemon_id &peer, outbox &out)
{
    if (state.inForce) {
        out.emplace_back(send_peer{peer, config_push{state.inForce->version, state.inForce->text}});
    }
}

bool onConfigPush(config_exchange &state, const config_push &push)
{
    return adoptText(state, push.version, push.text, "peer");
}

time_point nextWake(const config_exchange &state)
{
    time_point wake = state.watchSerial ? state.watchDeadline : state.watchAt;
    if (state.active) {
        const active_change &change = *state.active;
        wake = std::min({wake, change.deadline, change.callSerial ? change.callDeadline : change.retryAt});
    }
    return wake;
}

void onTick(config_exchange &state, const clock_reading &now, outbox &out)
{
    tickWatch(state, now.monotonic, out);
    tickChange(state, now.monotonic, out);
}

} // namespace sesamespar
