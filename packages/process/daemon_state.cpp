#include "process/daemon_state.h"

#include "base/log.h"
#include "process/daemon_report.h"
#include "term/leader_requests.h"
#include "term/leadership.h"
#include "term/recovery.h"

#include <algorithm>

namespace sesamespar {

namespace {

constexpr milliseconds standbyTick{250};

bool otherDaemonMayLead(const daemon_state &state, time_point now)
{
    return std::any_of(state.peers.peers.begin(), state.peers.peers.end(), [&](const auto &entry) {
        return entry.second.dataCentre == state.settings.dataCentre && isLive(state.peers, entry.first, now)
            && !entry.second.last.draining;
    });
}

bool otherDaemonLeads(const daemon_state &state, time_point now)
{
    return std::any_of(state.peers.peers.begin(), state.peers.peers.end(), [&](const auto &entry) {
        return entry.second.dataCentre == state.settings.dataCentre && isLive(state.peers, entry.first, now)
            && entry.second.last.leading && !entry.second.last.draining;
    });
}

void updateOwnHeartbeat(daemon_state &state, const clock_reading &now, outbox &out)
{
    heartbeat &own = state.peers.own;
    const bool ledBefore = own.leading;
    const bool completeBefore = own.complete;
    own.dataCentre = state.settings.dataCentre;
    own.version = versionInForce(state.configuration);
    own.roster = state.roster.list.revision;
    own.leading = state.leadership.phase == leader_phase::Leading;
    own.complete = own.leading && isComplete(state.leadership, now.monotonic);
    own.epoch = state.leadership.epoch;
    own.draining = state.shutdown.has_value() || state.leadership.noTakeoverBefore > now.monotonic;
    if (own.leading != ledBefore || own.complete != completeBefore) {
        sendHeartbeats(state.peers, now, out);
        onLeaderChange(state.requests, state.peers, now);
    }
}

void adoptConfiguration(daemon_state &state, const clock_reading &now)
{
    const configuration_ptr &inForce = state.configuration.inForce;
    if (inForce && (!state.leadership.settings || state.leadership.settings->version < inForce->version)) {
        log_event("configuration_in_force").with("version", inForce->version);
        useConfiguration(state.leadership, inForce, now);
    }
}

void adoptRoster(daemon_state &state, const clock_reading &now, outbox &out)
{
    useRoster(state.peers, state.roster.list);
    applyVmList(state.leadership, state.roster.list, now, out);
}

void adoptLeaving(daemon_state &state)
{
    const std::set<worker_id> leaving = leavingVms(state.peers);
    markLeavingWorkers(state.leadership, {leaving.begin(), leaving.end()});
}

void startReadingArchive(daemon_state &state, const clock_reading &now)
{
    if (state.leadership.phase != leader_phase::Standby && state.history.epoch.value == 0) {
        startArchive(state.history, state.leadership.epoch, now);
    } else if (state.leadership.phase == leader_phase::Standby && state.history.epoch.value != 0) {
        stopArchive(state.history);
    }
}

void exchangeArchive(daemon_state &state, const clock_reading &now)
{
    startReadingArchive(state, now);
    for (const job_record &record : state.leadership.toArchive) {
        archiveRecord(state.history, record);
    }
    state.leadership.toArchive.clear();
    if (state.leadership.phase == leader_phase::Standby) {
        return;
    }
    for (const job_record &record : dequeueArchived(state.history)) {
        mergeArchived(state.leadership, record, now);
    }
    if (archiveRead(state.history) == archive_read_state::Finished) {
        state.leadership.archiveRead = true;
    }
}

// Front-end requests.

text_answer configurationText(const daemon_state &state)
{
    return renderConfiguration(state.configuration.inForce.get());
}

void onDrain(daemon_state &state, const drain_vm &call, front_end_request_id id, outbox &out)
{
    const auto &vms = state.roster.list.vms;
    const auto found =
        std::find_if(vms.begin(), vms.end(), [&](const vm_entry &entry) { return entry.name == call.vm; });
    if (found == vms.end()) {
        out.push_back(answer_front_end{id, renderError(404, "no VM \"" + call.vm.value + "\" in the VM list")});
        return;
    }
    markLeaving(state.peers, call.vm);
    for (const auto &[name, view] : state.peers.peers) {
        if (view.dataCentre == found->dataCentre) {
            out.push_back(send_peer{name, drain_push{call.vm}});
        }
    }
    drainWorker(state.leadership, call.vm);
    out.push_back(answer_front_end{id, renderDraining(call.vm)});
}

void onFrontEndRequest(daemon_state &state, const front_end_request &request, const clock_reading &now, outbox &out)
{
    const front_end_call &call = request.call;
    if (const auto *job = std::get_if<job_call>(&call)) {
        startRequest(state.requests, request.id, *job, state.configuration.inForce, state.peers, now, out);
    } else if (const auto *apply = std::get_if<apply_configuration>(&call)) {
        onApply(state.configuration, request.id, *apply, now, out);
    } else if (const auto *drain = std::get_if<drain_vm>(&call)) {
        onDrain(state, *drain, request.id, out);
    } else if (std::holds_alternative<read_configuration>(call)) {
        out.push_back(answer_front_end{request.id, configurationText(state)});
    } else if (std::holds_alternative<read_nodes>(call)) {
        out.push_back(answer_front_end{request.id, renderNodes(state, now)});
    } else if (std::holds_alternative<read_dump>(call)) {
        out.push_back(answer_front_end{request.id, renderDump(state, now)});
    } else {
        out.push_back(answer_front_end{request.id, renderMeasurements(state, now)});
    }
}

// Messages of peers.

void onHeartbeat(
    daemon_state &state, const peer_message &message, const heartbeat &beat, const clock_reading &now, outbox &out)
{
    if (!recordHeartbeat(state.peers, message, beat, now)) {
        return;
    }
    onPeerVersion(state.configuration, message.sender, beat.version, now, out);
    onPeerRoster(state.roster, message.sender, beat.roster, now, out);
    onLeaderChange(state.requests, state.peers, now);
    adoptLeaving(state);
}

void onPeerMessage(daemon_state &state, const peer_message &message, const clock_reading &now, outbox &out)
{
    const peer_payload &payload = message.payload;
    if (const auto *beat = std::get_if<heartbeat>(&payload)) {
        onHeartbeat(state, message, *beat, now, out);
    } else if (const auto *request = std::get_if<forward_request>(&payload)) {
        onForwardRequest(state.leadership, message.sender, *request, now, out);
    } else if (const auto *answer = std::get_if<forward_answer>(&payload)) {
        onForwardAnswer(state.requests, message.sender, *answer, now, out);
    } else if (std::holds_alternative<config_request>(payload)) {
        onConfigRequest(state.configuration, message.sender, out);
    } else if (const auto *config = std::get_if<config_push>(&payload)) {
        onConfigPush(state.configuration, *config);
        adoptConfiguration(state, now);
    } else if (std::holds_alternative<roster_request>(payload)) {
        onRosterRequest(state.roster, message.sender, out);
    } else if (const auto *roster = std::get_if<roster_push>(&payload)) {
        if (onRosterPush(state.roster, *roster)) {
            adoptRoster(state, now, out);
        }
    } else if (const auto *drain = std::get_if<drain_push>(&payload)) {
        markLeaving(state.peers, drain->vm);
        drainWorker(state.leadership, drain->vm);
    }
}

void onStoreCallEnded(daemon_state &state, const store_call_ended &ended, const clock_reading &now, outbox &out)
{
    switch (ended.user) {
    case store_user::ConfigurationWatch:
    case store_user::ConfigurationWrite:
        onStoreReply(state.configuration, ended, now, out);
        adoptConfiguration(state, now);
        break;
    case store_user::VmList:
        if (onStoreReply(state.roster, ended, now)) {
            adoptRoster(state, now, out);
        }
        break;
    case store_user::Archive:
        onStoreReply(state.history, ended, now, out);
        break;
    }
}

// Shutdown.

void beginShutdown(daemon_state &state, const clock_reading &now, outbox &out)
{
    if (state.shutdown) {
        return;
    }
    const time_point limit = now.monotonic + state.settings.timing.drainLimit;
    log_event("shutdown_started").with("open_requests", openRequests(state.requests));
    state.shutdown = shutdown_progress{limit, false};
    out.push_back(refuse_requests{});
    startDraining(state.requests, limit, now);
    updateOwnHeartbeat(state, now, out);
    sendHeartbeats(state.peers, now, out);
}

// The last daemon of a data centre keeps leading until its open requests are answered.
void continueShutdown(daemon_state &state, const clock_reading &now, outbox &out)
{
    if (!state.shutdown || state.shutdown->ended) {
        return;
    }
    const bool limitReached = now.monotonic >= state.shutdown->limit;
    const bool answered = openRequests(state.requests) == 0;
    if ((answered || limitReached || otherDaemonMayLead(state, now.monotonic)) && !state.leadership.releasing) {
        beginRelease(state.leadership,
                     std::min(state.shutdown->limit, now.monotonic + state.settings.timing.controlLease));
    }
    const bool released = state.leadership.phase == leader_phase::Standby;
    if ((answered && released) || now.monotonic >= state.shutdown->limit + state.settings.timing.controlLease) {
        state.shutdown->ended = true;
        log_event("shutdown_ready").with("open_requests", openRequests(state.requests));
        out.push_back(end_process{});
    }
}

// Timers.

void tickLeadership(daemon_state &state, const clock_reading &now, outbox &out)
{
    const bool active = state.leadership.phase != leader_phase::Standby;
    const bool candidate = isCandidate(state.peers, now.monotonic) && !state.shutdown
        && (active || !otherDaemonLeads(state, now.monotonic));
    onTick(state.leadership, candidate, highestEpoch(state.peers), now, out);
    adoptLeaving(state);
    updateOwnHeartbeat(state, now, out);
    continueShutdown(state, now, out);
}

void armTimers(daemon_state &state, const clock_reading &now)
{
    part_timers &timers = state.timersOfParts;
    subscribe(state.timers, timers.peers, nextWake(state.peers));
    subscribe(state.timers, timers.configuration, nextWake(state.configuration));
    subscribe(state.timers, timers.roster, nextWake(state.roster));
    subscribe(state.timers, timers.requests, nextWake(state.requests));
    subscribe(state.timers, timers.history, nextWake(state.history));
    if (!timers.leadership.is_linked()) {
        const bool active = state.leadership.phase != leader_phase::Standby || state.shutdown;
        subscribe(state.timers, timers.leadership, now.monotonic + (active ? leaderTick : standbyTick));
    }
}

void connectTimers(daemon_state &state)
{
    part_timers &timers = state.timersOfParts;
    timers.peers.fire = [&state](const clock_reading &now) {
        onTick(state.peers, now, *state.out);
    };
    timers.configuration.fire = [&state](const clock_reading &now) {
        onTick(state.configuration, now, *state.out);
    };
    timers.roster.fire = [&state](const clock_reading &now) {
        onTick(state.roster, now, *state.out);
    };
    timers.requests.fire = [&state](const clock_reading &now) {
        onTick(state.requests, state.peers, now, *state.out);
    };
    timers.history.fire = [&state](const clock_reading &now) {
        onTick(state.history, now, *state.out);
    };
    timers.leadership.fire = [&state](const clock_reading &now) {
        tickLeadership(state, now, *state.out);
    };
}

} // namespace

std::unique_ptr<daemon_state> makeDaemon(const daemon_settings &settings, std::uint64_t seed, const clock_reading &now)
{
    auto state = std::make_unique<daemon_state>();
    state->settings = settings;
    state->incarnation = incarnation_id(seed);
    state->random.seed(seed);
    state->started = now.monotonic;
    state->peers = makeMembership(settings, now.monotonic);
    state->configuration = makeConfigExchange(settings, state->random, now.monotonic);
    state->roster = makeRosterExchange(settings, state->random, now.monotonic);
    state->requests = makeRouting(state->random);
    state->history = makeArchive(settings, state->random);
    state->leadership = makeLeader(settings, state->incarnation);
    state->measurements = makeMeasurements();
    connectTimers(*state);
    armTimers(*state, now);
    return state;
}

void handleEvent(daemon_state &state, const control_event &event, const clock_reading &now, outbox &out)
{
    if (const auto *request = std::get_if<front_end_request>(&event)) {
        onFrontEndRequest(state, *request, now, out);
    } else if (const auto *message = std::get_if<peer_message>(&event)) {
        onPeerMessage(state, *message, now, out);
    } else if (const auto *workerCall = std::get_if<worker_call_ended>(&event)) {
        onWorkerCallEnded(state.leadership, *workerCall, now, out);
    } else if (const auto *storeCall = std::get_if<store_call_ended>(&event)) {
        onStoreCallEnded(state, *storeCall, now, out);
    } else {
        beginShutdown(state, now, out);
    }
}

void handleTimers(daemon_state &state, const clock_reading &now, outbox &out)
{
    state.out = &out;
    fireDue(state.timers, now);
    state.out = nullptr;
}

void finishBatch(daemon_state &state, const clock_reading &now, outbox &out)
{
    adoptConfiguration(state, now);
    finishEvents(state.leadership, now, out);
    exchangeArchive(state, now);
    for (const wait_sample &sample : state.leadership.waits) {
        recordTime(*state.measurements, waitMetric(sample.kind), sample.waited);
    }
    state.leadership.waits.clear();
    armTimers(state, now);
}

} // namespace sesamespar
