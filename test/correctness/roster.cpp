// Tests the exchange of the VM list. Guards against a leader that uses an older list than one already seen, and against
// polling a failing store too often.
#include "process/roster.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

clock_reading at(int ms)
{
    return {time_point(milliseconds(ms)), utc_time(ms)};
}

vm_list listOf(std::uint64_t revision)
{
    vm_list list;
    list.revision = roster_revision(revision);
    list.vms.push_back(
        {worker_id("v" + std::to_string(revision)), address("127.0.0.1:1"), data_centre_id("d"), rack_id("r")});
    return list;
}

struct fixture {
    std::mt19937_64 random{3};
    roster_exchange state = makeRosterExchange(daemon_settings{}, random, at(0).monotonic);
    outbox out;

    std::size_t calls() const
    {
        std::size_t count = 0;
        for (const effect &single : out) {
            count += std::holds_alternative<call_store>(single) ? 1 : 0;
        }
        return count;
    }

    bool reply(const result<store_reply> &outcome, int ms)
    {
        return onStoreReply(state, {store_user::VmList, state.lastSerial, outcome}, at(ms));
    }
};

} // namespace

TEST_CASE("the list is read at its interval and only replaced by a higher revision")
{
    fixture daemon;
    onTick(daemon.state, at(0), daemon.out);
    CHECK(daemon.calls() == 1);
    CHECK(daemon.reply(store_reply(listOf(5)), 5));
    CHECK(nextWake(daemon.state) == at(2005).monotonic);
    onTick(daemon.state, at(2004), daemon.out);
    CHECK(daemon.calls() == 1);
    onTick(daemon.state, at(2005), daemon.out);
    CHECK(daemon.calls() == 2);
    CHECK_FALSE(daemon.reply(store_reply(listOf(4)), 2010));
    CHECK(daemon.state.list.revision == roster_revision(5));
    CHECK(daemon.state.list.vms.front().name == worker_id("v5"));
}

TEST_CASE("a failing store is polled with increasing delays, and calls do not overlap")
{
    fixture daemon;
    for (int ms = 0; ms < 60000; ms += 10) {
        onTick(daemon.state, at(ms), daemon.out);
        if (ms % 20 == 10) {
            daemon.reply(makeError(error_kind::Unreachable, "test"), ms);
        }
    }
    CHECK(daemon.calls() >= 8);
    CHECK(daemon.calls() <= 20);

    fixture unanswered;
    for (int ms = 0; ms < 3000; ms += 10) {
        onTick(unanswered.state, at(ms), unanswered.out);
    }
    CHECK(unanswered.calls() == 1);
    onTick(unanswered.state, at(3000), unanswered.out);
    onTick(unanswered.state, at(5100), unanswered.out);
    CHECK(unanswered.calls() == 2);
}

TEST_CASE("a late reply or the reply to another call changes nothing")
{
    fixture daemon;
    onTick(daemon.state, at(0), daemon.out);
    CHECK_FALSE(onStoreReply(daemon.state, {store_user::VmList, 0, store_reply(listOf(5))}, at(1)));
    CHECK_FALSE(onStoreReply(daemon.state, {store_user::Archive, 1, store_reply(listOf(5))}, at(1)));
    CHECK(daemon.reply(store_reply(listOf(5)), 2));
    CHECK_FALSE(daemon.reply(store_reply(listOf(6)), 3));
    CHECK(daemon.state.list.revision == roster_revision(5));
}

TEST_CASE("peers exchange the newest list")
{
    fixture daemon;
    const daemon_id peer("b");
    onRosterRequest(daemon.state, peer, daemon.out);
    CHECK(daemon.out.empty());
    onPeerRoster(daemon.state, peer, roster_revision(7), at(0), daemon.out);
    onPeerRoster(daemon.state, peer, roster_revision(7), at(499), daemon.out);
    CHECK(daemon.out.size() == 1);
    CHECK(onRosterPush(daemon.state, {listOf(7)}));
    CHECK_FALSE(onRosterPush(daemon.state, {listOf(7)}));
    CHECK_FALSE(onRosterPush(daemon.state, {listOf(6)}));
    onPeerRoster(daemon.state, peer, roster_revision(7), at(2000), daemon.out);
    CHECK(daemon.out.size() == 1);
    onRosterRequest(daemon.state, peer, daemon.out);
    const auto &push = std::get<roster_push>(std::get<send_peer>(daemon.out.back()).payload);
    CHECK(push.roster.revision == roster_revision(7));
}
