#include "process/roster.h"

#include "base/log.h"

#include <algorithm>

namespace sesamespar {

namespace {

constexpr backoff_settings pollBackoff{milliseconds(500), milliseconds(8000)};

bool adoptList(roster_exchange &state, const vm_list &list, const char *source)
{
    if (list.revision <= state.list.revision) {
        return false;
    }
    state.list = list;
    log_event("vm_list_changed").with("revision", list.revision).with("vms", list.vms.size()).with("source", source);
    return true;
}

void delayPoll(roster_exchange &state, time_point now)
{
    // A failing store is never polled more often than a working one.
    const auto delay = backoffDelay(pollBackoff, state.errors, *state.random);
    state.pollAt = now + std::max(delay, state.timing.vmList);
    ++state.errors;
}

} // namespace

roster_exchange makeRosterExchange(const daemon_settings &settings, std::mt19937_64 &random, time_point now)
{
    roster_exchange state;
    state.timing = settings.timing;
    state.random = &random;
    state.pollAt = now;
    return state;
}

bool onStoreReply(roster_exchange &state, const store_call_ended &ended, const clock_reading &now)
{
    if (ended.user != store_user::VmList || state.callSerial != ended.serial) {
        return false;
    }
    state.callSerial.reset();
    const auto *list = ended.outcome ? std::get_if<vm_list>(&ended.outcome.value()) : nullptr;
    if (list == nullptr) {
        delayPoll(state, now.monotonic);
        return false;
    }
    state.errors = 0;
    state.pollAt = now.monotonic + state.timing.vmList;
    return adoptList(state, *list, "store");
}

void onPeerRoster(
    roster_exchange &state, const daemon_id &peer, roster_revision revision, const clock_reading &now, outbox &out)
{
    if (revision <= state.list.revision) {
        return;
    }
    const auto requestedAt = state.requestedAt.find(peer);
    if (requestedAt != state.requestedAt.end() && now.monotonic - requestedAt->second < state.timing.heartbeat) {
        return;
    }
    state.requestedAt[peer] = now.monotonic;
    out.emplace_back(send_peer{peer, roster_request{}});
}

void onRosterRequest(const roster_exchange &state, const daemon_id &peer, outbox &out)
{
    if (state.list.revision.value > 0) {
        out.emplace_back(send_peer{peer, roster_push{state.list}});
    }
}

bool onRosterPush(roster_exchange &state, const roster_push &push)
{
    return adoptList(state, push.roster, "peer");
}

time_point nextWake(const roster_exchange &state)
{
    return state.callSerial ? state.callDeadline : state.pollAt;
}

void onTick(roster_exchange &state, const clock_reading &now, outbox &out)
{
    if (state.callSerial && now.monotonic >= state.callDeadline) {
        state.callSerial.reset();
        delayPoll(state, now.monotonic);
    }
    if (!state.callSerial && now.monotonic >= state.pollAt) {
        state.callSerial = ++state.lastSerial;
        state.callDeadline = now.monotonic + 2 * state.timing.callTimeout;
        out.emplace_back(call_store{store_user::VmList, state.lastSerial, store_vm_list{}, state.timing.callTimeout});
    }
}

} // namespace sesamespar
