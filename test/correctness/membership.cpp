// The view of the peers. Guards against two daemons of a data centre that both think they should lead for
// long, against heartbeats of a dead process that bring back its state, and against drained VMs that get work.
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

bool hear(membership &state, const std::string &peer, const heartbeat &beat, int ms, std::uint64_t incarnation = 1)
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
    CHECK(hear(state, "a", leader, 10, 1));
    CHECK(leaderOf(state, data_centre_id("milano"), at(20).monotonic) == daemon_id("a"));
    CHECK(hear(state, "a", beatOf(), 30, 2));
    CHECK_FALSE(hear(state, "a", leader, 40, 1));
    CHECK_FALSE(leaderOf(state, data_centre_id("milano"), at(50).monotonic).has_value());
}

TEST_CASE("a heartbeat that was overtaken counts as a sign of life only")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    auto newer = beatOf();
    newer.version = config_version(7);
    auto older = beatOf();
    older.version = config_version(6);
    older.leading = true;
    hear(state, "a", newer, 10);
    CHECK(hear(state, "a", older, 2000));
    CHECK(isLive(state, daemon_id("a"), at(3999).monotonic));
    CHECK_FALSE(isLive(state, daemon_id("a"), at(4000).monotonic));
    CHECK(highestVersion(state) == config_version(7));
    CHECK(leadersOf(state, data_centre_id("milano"), at(2001).monotonic).empty());
}

TEST_CASE("heartbeats of strangers or from the wrong data centre are ignored")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    CHECK_FALSE(hear(state, "q", beatOf(), 10));
    CHECK_FALSE(hear(state, "a", beatOf("verona"), 10));
    CHECK_FALSE(isLive(state, daemon_id("a"), at(11).monotonic));
    CHECK_FALSE(isLive(state, daemon_id("q"), at(11).monotonic));
}

TEST_CASE("the lowest live daemon that does not drain is the candidate")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    hear(state, "a", beatOf(), 1900);
    hear(state, "c", beatOf(), 1900);
    CHECK_FALSE(isCandidate(state, at(2000).monotonic));
    auto draining = beatOf();
    draining.draining = true;
    hear(state, "a", draining, 2100);
    CHECK(isCandidate(state, at(2100).monotonic));
    hear(state, "a", beatOf(), 2200);
    CHECK_FALSE(isCandidate(state, at(4199).monotonic));
    CHECK(isCandidate(state, at(4200).monotonic));
    state.own.draining = true;
    CHECK_FALSE(isCandidate(state, at(4200).monotonic));
}

TEST_CASE("right after the start nobody is candidate unless all daemons of the data centre were heard")
{
    auto state = makeMembership(settingsOf("a"), at(0).monotonic);
    CHECK_FALSE(isCandidate(state, at(1).monotonic));
    hear(state, "b", beatOf(), 10);
    CHECK_FALSE(isCandidate(state, at(11).monotonic));
    hear(state, "c", beatOf(), 20);
    CHECK(isCandidate(state, at(21).monotonic));

    const auto alone = makeMembership(settingsOf("a"), at(0).monotonic);
    CHECK_FALSE(isCandidate(alone, at(1999).monotonic));
    CHECK(isCandidate(alone, at(2000).monotonic));
}

TEST_CASE("a complete leader goes before one of a higher epoch that is not complete")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    auto beat = beatOf();
    beat.leading = true;
    beat.epoch = epoch_number(9);
    hear(state, "c", beat, 10);
    CHECK(leaderOf(state, data_centre_id("milano"), at(11).monotonic) == daemon_id("c"));
    CHECK_FALSE(isCompleteLeader(state, daemon_id("c"), at(11).monotonic));
    beat.epoch = epoch_number(8);
    beat.complete = true;
    hear(state, "a", beat, 10);
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

TEST_CASE("epochs of other data centres do not count")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    auto beat = beatOf("verona");
    beat.epoch = epoch_number(50);
    beat.version = config_version(3);
    beat.roster = roster_revision(4);
    hear(state, "z", beat, 10);
    CHECK(highestEpoch(state) == epoch_number(0));
    CHECK(highestVersion(state) == config_version(3));
    CHECK(highestRoster(state) == roster_revision(4));
}

TEST_CASE("heartbeats go to every peer at the interval")
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

TEST_CASE("a VM is leaving if the list, this daemon or any peer says so, also when the peer is down")
{
    auto state = makeMembership(settingsOf("b"), at(0).monotonic);
    useRoster(
        state,
        listOf(1, {{"v1", vm_state::Live}, {"v2", vm_state::Leaving}, {"v3", vm_state::Live}, {"v4", vm_state::Live}}));
    auto beat = beatOf();
    beat.leaving = {worker_id("v3"), worker_id("unlisted")};
    hear(state, "a", beat, 10);
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
    // Only first-hand reports are passed on; otherwise two daemons would confirm each other for ever.
    CHECK(sent.leaving == std::vector<worker_id>{worker_id("v4")});
}

TEST_CASE("reports end when the VM is gone from the list or the report is taken back")
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
    hear(state, "a", beat, 10);
    CHECK(state.peers.at(daemon_id("a")).last.leaving.size() == maxLeavingReport);
}
