#include "process/membership.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// A message of a former incarnation is delayed at most for as long as a link buffers it. A daemon does not restart
/// more often than this in that time.
constexpr std::size_t maxFormerIncarnations = 8;

bool isFormer(const peer_view &peer, const incarnation_id &incarnation)
{
    return std::find(peer.formerIncarnations.begin(), peer.formerIncarnations.end(), incarnation)
        != peer.formerIncarnations.end();
}

void beginIncarnation(peer_view &peer, const incarnation_id &incarnation)
{
    if (peer.lastHeartbeatAt) {
        peer.formerIncarnations.push_back(peer.incarnation);
        if (peer.formerIncarnations.size() > maxFormerIncarnations) {
            peer.formerIncarnations.erase(peer.formerIncarnations.begin());
        }
    }
    peer.incarnation = incarnation;
    peer.last = heartbeat{};
}

/// These values never decrease within one incarnation, so a lower value means that a newer heartbeat arrived first.
bool isOutdated(const heartbeat &beat, const heartbeat &last)
{
    return beat.version < last.version || beat.roster < last.roster || beat.epoch < last.epoch;
}

bool listsVm(const membership &state, const worker_id &vm)
{
    return state.roster.value == 0 || state.vms.count(vm) > 0;
}

std::vector<worker_id> leavingReport(const membership &state)
{
    std::vector<worker_id> report;
    for (const worker_id &vm : state.ownLeaving) {
        if (report.size() == maxLeavingReport) {
            break;
        }
        report.push_back(vm);
    }
    return report;
}

struct leader_rank {
    bool complete = false;
    epoch_number epoch;
    daemon_id name;
};

bool ranksBefore(const leader_rank &left, const leader_rank &right)
{
    if (left.complete != right.complete) {
        return left.complete;
    }
    if (left.epoch != right.epoch) {
        return left.epoch > right.epoch;
    }
    return left.name < right.name;
}

template<typename Member>
Member highestSeen(const membership &state, Member heartbeat::*member)
{
    Member highest = state.own.*member;
    for (const auto &[name, peer] : state.peers) {
        highest = std::max(highest, peer.last.*member);
    }
    return highest;
}

} // namespace

membership makeMembership(const daemon_settings &settings, time_point started)
{
    membership state;
    state.self = settings.name;
    state.dataCentre = settings.dataCentre;
    state.timing = settings.timing;
    state.started = started;
    state.nextHeartbeat = started;
    state.own.dataCentre = settings.dataCentre;
    for (const peer_settings &peer : settings.peers) {
        state.peers[peer.name].dataCentre = peer.dataCentre;
    }
    return state;
}

bool recordHeartbeat(membership &state, const peer_message &message, const heartbeat &beat, const clock_reading &now)
{
    const auto found = state.peers.find(message.sender);
    if (found == state.peers.end()) {
        return false;
    }
    peer_view &peer = found->second;
    if (beat.dataCentre != peer.dataCentre || isFormer(peer, message.incarnation)) {
        return false;
    }
    if (!peer.lastHeartbeatAt || peer.incarnation != message.incarnation) {
        beginIncarnation(peer, message.incarnation);
    }
    peer.lastHeartbeatAt = now.monotonic;
    if (isOutdated(beat, peer.last)) {
        return true;
    }
    peer.last = beat;
    if (peer.last.leaving.size() > maxLeavingReport) {
        peer.last.leaving.resize(maxLeavingReport);
    }
    return true;
}

time_point nextWake(const membership &state)
{
    return state.nextHeartbeat;
}

void onTick(membership &state, const clock_reading &now, outbox &out)
{
    if (now.monotonic >= state.nextHeartbeat) {
        sendHeartbeats(state, now, out);
    }
}

void sendHeartbeats(membership &state, const clock_reading &now, outbox &out)
{
    state.nextHeartbeat = now.monotonic + state.timing.heartbeat;
    state.own.leaving = leavingReport(state);
    for (const auto &[name, peer] : state.peers) {
        out.emplace_back(send_peer{name, state.own});
    }
}

bool isLive(const membership &state, const daemon_id &name, time_point now)
{
    if (name == state.self) {
        return true;
    }
    const auto found = state.peers.find(name);
    return found != state.peers.end() && found->second.lastHeartbeatAt
        && now - *found->second.lastHeartbeatAt < state.timing.peerTimeout;
}

bool isCandidate(const membership &state, time_point now)
{
    if (state.own.draining) {
        return false;
    }
    const bool settled = now - state.started >= state.timing.peerTimeout;
    for (const auto &[name, peer] : state.peers) {
        if (peer.dataCentre != state.dataCentre) {
            continue;
        }
        if (!settled && !peer.lastHeartbeatAt) {
            return false;
        }
        if (name < state.self && isLive(state, name, now) && !peer.last.draining) {
            return false;
        }
    }
    return true;
}

std::vector<daemon_id> leadersOf(const membership &state, const data_centre_id &dataCentre, time_point now)
{
    std::vector<leader_rank> ranks;
    if (dataCentre == state.dataCentre && state.own.leading) {
        ranks.push_back({state.own.complete, state.own.epoch, state.self});
    }
    for (const auto &[name, peer] : state.peers) {
        if (peer.dataCentre == dataCentre && peer.last.leading && isLive(state, name, now)) {
            ranks.push_back({peer.last.complete, peer.last.epoch, name});
        }
    }
    std::sort(ranks.begin(), ranks.end(), ranksBefore);
    std::vector<daemon_id> leaders;
    leaders.reserve(ranks.size());
    for (leader_rank &rank : ranks) {
        leaders.push_back(std::move(rank.name));
    }
    return leaders;
}

std::optional<daemon_id> leaderOf(const membership &state, const data_centre_id &dataCentre, time_point now)
{
    auto leaders = leadersOf(state, dataCentre, now);
    if (leaders.empty()) {
        return std::nullopt;
    }
    return std::move(leaders.front());
}

bool isCompleteLeader(const membership &state, const daemon_id &name, time_point now)
{
    if (!isLive(state, name, now)) {
        return false;
    }
    const heartbeat &status = name == state.self ? state.own : state.peers.at(name).last;
    return status.leading && status.complete;
}

epoch_number highestEpoch(const membership &state)
{
    epoch_number highest = state.own.epoch;
    for (const auto &[name, peer] : state.peers) {
        if (peer.dataCentre == state.dataCentre) {
            highest = std::max(highest, peer.last.epoch);
        }
    }
    return highest;
}

config_version highestVersion(const membership &state)
{
    return highestSeen(state, &heartbeat::version);
}

roster_revision highestRoster(const membership &state)
{
    return highestSeen(state, &heartbeat::roster);
}

void useRoster(membership &state, const vm_list &list)
{
    if (list.revision <= state.roster) {
        return;
    }
    state.roster = list.revision;
    state.vms.clear();
    for (const vm_entry &vm : list.vms) {
        state.vms[vm.name] = vm.state;
    }
    std::erase_if(state.ownLeaving, [&](const worker_id &vm) { return !listsVm(state, vm); });
}

bool markLeaving(membership &state, const worker_id &vm)
{
    if (!listsVm(state, vm)) {
        return false;
    }
    if (state.ownLeaving.size() >= maxLeavingReport && state.ownLeaving.count(vm) == 0) {
        return false;
    }
    state.ownLeaving.insert(vm);
    return true;
}

void clearLeaving(membership &state, const worker_id &vm)
{
    state.ownLeaving.erase(vm);
}

bool isLeaving(const membership &state, const worker_id &vm)
{
    if (!listsVm(state, vm)) {
        return false;
    }
    const auto listed = state.vms.find(vm);
    if (listed != state.vms.end() && listed->second == vm_state::Leaving) {
        return true;
    }
    if (state.ownLeaving.count(vm) > 0) {
        return true;
    }
    return std::any_of(state.peers.begin(), state.peers.end(), [&](const auto &entry) {
        const auto &report = entry.second.last.leaving;
        return std::find(report.begin(), report.end(), vm) != report.end();
    });
}

std::set<worker_id> leavingVms(const membership &state)
{
    std::set<worker_id> all;
    for (const auto &[vm, listed] : state.vms) {
        if (listed == vm_state::Leaving) {
            all.insert(vm);
        }
    }
    const auto add = [&](const auto &report) {
        for (const worker_id &vm : report) {
            if (listsVm(state, vm)) {
                all.insert(vm);
            }
        }
    };
    add(state.ownLeaving);
    for (const auto &[name, peer] : state.peers) {
        add(peer.last.leaving);
    }
    return all;
}

} // namespace sesamespar
