// Tests the view of the peers. Guards against two daemons of a data centre that both stay candidates, against late
// heartbeats of a dead process that restore its state, and against drained VMs that get work.
#include "process/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

clock_reading at(int ms)
{
    return {time_point(milliseconds(ms)), utc_time(ms)};
}

daemon_settings settingsOf(const std::string &name)
{
    daemon_settings settings;
    settings.name = daemon_id(name);
    settings.dataCentre = data_centre_id("milano");
    for (const std::string peer : {"a", "b", "c"}) {
        if (peer != name) {
            settings.peers.push_back({daemon_id(peer), data_centre_id("milano"), address("127.0.0.1:1")});
        }
    }
    settings.peers.push_back({daemon_id("z"), data_centre_id("verona"), address("127.0.0.1:1")});
    return settings;
}

heartbeat beatOf(const std::string &dataCentre = "milano")
{
    heartbeat beat;
    beat.dataCentre = data_centre_id(dataCentre);
    return beat;
}

bool receiveHeartbeat(
    membership &state, const std::string &peer, const heartbeat &beat, int ms, std::uint64_t incarnation = 1)
{
    return recordHeartbeat(state, {daemon_id(peer), incarnation_id(incarnation), beat}, beat, at(ms));
}

vm_list listOf(std::uint64_t revision, const std::vector<std::pair<std::string, vm_state>> &vms)
{
    vm_list list;
    list.revision = roster_revision(revision);
    for (const auto &[name, state] : vms) {
        list.vms.push_back({worker_id(name), address("127.0.0.1:1"), data_centre_id("milano"), rack_id("r"), state});
    }
    return list;
}

} // namespace

TEST_CASE("a late heartbeat of a former process does not bring back its leadership")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    auto leader = beatOf();
    leader.leading = true;
    leader.complete = true;
    CHECK(receiveHeartbeat(state, "a", leader, 10, 1));
    CHECK(leaderOf(state, data_centre_id("milano"), at(20).monotonic) == daemon_id("a"));
    CHECK(receiveHeartbeat(state, "a", beatOf(), 30, 2));
    CHECK_FALSE(receiveHeartbeat(state, "a", leader, 40, 1));
    CHECK_FALSE(leaderOf(state, data_centre_id("milano"), at(50).monotonic).has_value());
}

TEST_CASE("a heartbeat that arrives after a newer one only extends the peer timeout")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    auto newer = beatOf();
    newer.version = config_version(7);
    auto older = beatOf();
    older.version = config_version(6);
    older.leading = true;
    receiveHeartbeat(state, "a", newer, 10);
    CHECK(receiveHeartbeat(state, "a", older, 2000));
    CHECK(isLive(state, daemon_id("a"), at(3999).monotonic));
    CHECK_FALSE(isLive(state, daemon_id("a"), at(4000).monotonic));
    CHECK(highestVersion(state) == config_version(7));
    CHECK(leadersOf(state, data_centre_id("milano"), at(2001).monotonic).empty());
}

TEST_CASE("heartbeats of unknown daemons or with the wrong data centre are ignored")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    CHECK_FALSE(receiveHeartbeat(state, "q", beatOf(), 10));
    CHECK_FALSE(receiveHeartbeat(state, "a", beatOf("verona"), 10));
    CHECK_FALSE(isLive(state, daemon_id("a"), at(11).monotonic));
    CHECK_FALSE(isLive(state, daemon_id("q"), at(11).monotonic));
}

TEST_CASE("the live daemon with the lowest id that is not draining is the candidate")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    receiveHeartbeat(state, "a", beatOf(), 1900);
    receiveHeartbeat(state, "c", beatOf(), 1900);
    CHECK_FALSE(isCandidate(state, at(2000).monotonic));
    auto draining = beatOf();
    draining.draining = true;
    receiveHeartbeat(state, "a", draining, 2100);
    CHECK(isCandidate(state, at(2100).monotonic));
    receiveHeartbeat(state, "a", beatOf(), 2200);
    CHECK_FALSE(isCandidate(state, at(4199).monotonic));
    CHECK(isCandidate(state, at(4200).monotonic));
    state.own.draining = true;
    CHECK_FALSE(isCandidate(state, at(4200).monotonic));
}

TEST_CASE("during the first peer timeout a daemon is a candidate only if all peers of its data centre sent a heartbeat")
{
    auto state = makeMembership(settingsOf("a"), at(0).monotonic);
    CHECK_FALSE(isCandidate(state, at(1).monotonic));
    receiveHeartbeat(state, "b", beatOf(), 10);
    CHECK_FALSE(isCandidate(state, at(11).monotonic));
    receiveHeartbeat(state, "c", beatOf(), 20);
    CHECK(isCandidate(state, at(21).monotonic));

    const auto withoutPeers = makeMembership(settingsOf("a"), at(0).monotonic);
    CHECK_FALSE(isCandidate(withoutPeers, at(1999).monotonic));
    CHECK(isCandidate(withoutPeers, at(2000).monotonic));
}

TEST_CASE("a complete leader ranks before an incomplete one with a higher epoch")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    auto beat = beatOf();
    beat.leading = true;
    beat.epoch = epoch_number(9);
    receiveHeartbeat(state, "c", beat, 10);
    CHECK(leaderOf(state, data_centre_id("milano"), at(11).monotonic) == daemon_id("c"));
    CHECK_FALSE(isCompleteLeader(state, daemon_id("c"), at(11).monotonic));
    beat.epoch = epoch_number(8);
    beat.complete = true;
    receiveHeartbeat(state, "a", beat, 10);
    const auto leaders = leadersOf(state, data_centre_id("milano"), at(11).monotonic);
    CHECK(leaders == std::vector<daemon_id>{daemon_id("a"), daemon_id("c")});
    CHECK(isCompleteLeader(state, daemon_id("a"), at(11).monotonic));
    CHECK(highestEpoch(state) == epoch_number(9));
    state.own.leading = true;
    state.own.complete = true;
    state.own.epoch = epoch_number(10);
    CHECK(leaderOf(state, data_centre_id("milano"), at(11).monotonic) == daemon_id("b"));
    CHECK_FALSE(leaderOf(state, data_centre_id("verona"), at(11).monotonic).has_value());
}

TEST_CASE("the highest epoch ignores other data centres, the highest version and roster revision do not")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    auto beat = beatOf("verona");
    beat.epoch = epoch_number(50);
    beat.version = config_version(3);
    beat.roster = roster_revision(4);
    receiveHeartbeat(state, "z", beat, 10);
    CHECK(highestEpoch(state) == epoch_number(0));
    CHECK(highestVersion(state) == config_version(3));
    CHECK(highestRoster(state) == roster_revision(4));
}

TEST_CASE("heartbeats are sent to every peer at the interval")
{
    auto state = makeMembership(settingsOf("b"), at(100).monotonic);
    outbox out;
    CHECK(nextWake(state) == at(100).monotonic);
    onTick(state, at(100), out);
    CHECK(out.size() == 3);
    CHECK(nextWake(state) == at(600).monotonic);
    onTick(state, at(599), out);
    CHECK(out.size() == 3);
    onTick(state, at(600), out);
    CHECK(out.size() == 6);
}

TEST_CASE("a VM is leaving if the list, this daemon or any peer reports it, even if the peer is down")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    useRoster(
        state,
        listOf(1, {{"v1", vm_state::Live}, {"v2", vm_state::Leaving}, {"v3", vm_state::Live}, {"v4", vm_state::Live}}));
    auto beat = beatOf();
    beat.leaving = {worker_id("v3"), worker_id("unlisted")};
    receiveHeartbeat(state, "a", beat, 10);
    CHECK(markLeaving(state, worker_id("v4")));
    CHECK_FALSE(markLeaving(state, worker_id("unlisted")));
    CHECK_FALSE(isLive(state, daemon_id("a"), at(9000).monotonic));
    CHECK(leavingVms(state) == std::set<worker_id>{worker_id("v2"), worker_id("v3"), worker_id("v4")});
    CHECK_FALSE(isLeaving(state, worker_id("v1")));
    CHECK(isLeaving(state, worker_id("v3")));
    CHECK_FALSE(isLeaving(state, worker_id("unlisted")));

    outbox out;
    sendHeartbeats(state, at(20), out);
    const auto &sent = std::get<heartbeat>(std::get<send_peer>(out.front()).payload);
    // Reports of peers are not forwarded; otherwise two daemons would confirm each other's reports for ever.
    CHECK(sent.leaving == std::vector<worker_id>{worker_id("v4")});
}

TEST_CASE("a report ends when the VM is removed from the list or the report is withdrawn")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    useRoster(state, listOf(1, {{"v1", vm_state::Live}, {"v2", vm_state::Live}}));
    markLeaving(state, worker_id("v1"));
    markLeaving(state, worker_id("v2"));
    clearLeaving(state, worker_id("v2"));
    CHECK_FALSE(isLeaving(state, worker_id("v2")));
    useRoster(state, listOf(2, {{"v2", vm_state::Live}}));
    CHECK(state.ownLeaving.empty());
    useRoster(state, listOf(1, {{"v1", vm_state::Leaving}}));
    CHECK_FALSE(isLeaving(state, worker_id("v1")));
}

TEST_CASE("reports of leaving VMs are bounded")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    auto beat = beatOf();
    for (std::size_t index = 0; index < 2 * maxLeavingReport; ++index) {
        const worker_id vm("v" + std::to_string(index));
        beat.leaving.push_back(vm);
        CHECK(markLeaving(state, vm) == (index < maxLeavingReport));
    }
    receiveHeartbeat(state, "a", beat, 10);
    CHECK(state.peers.at(daemon_id("a")).last.leaving.size() == maxLeavingReport);
}
