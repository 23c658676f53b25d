// Tests of configuration changes at one daemon. Guards against versions that revert, wrong answers to operators
// after a lost reply of the store, and calls to the store in a tight loop.
#include "process/config_exchange.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

const std::string head = "cell: c\ndata_centres: [d, e]\n";
const std::string textA = head + "teams: [{name: s, home: d}]\n";
const std::string textB = head + "teams: [{name: s, home: d}, {name: t, home: d}]\n";
const std::string textC = head + "teams: [{name: s, home: d}, {name: t, home: e}]\n";

clock_reading at(int ms)
{
    return {time_point(milliseconds(ms)), utc_time(ms)};
}

daemon_settings makeDaemon()
{
    daemon_settings settings;
    settings.name = daemon_id("a");
    settings.dataCentre = data_centre_id("d");
    settings.peers.push_back({daemon_id("b"), data_centre_id("d"), address("127.0.0.1:1")});
    settings.peers.push_back({daemon_id("z"), data_centre_id("e"), address("127.0.0.1:1")});
    return settings;
}

stored_configuration storedOf(std::uint64_t version, const std::string &text, std::uint64_t change = 77)
{
    stored_configuration stored;
    for (std::uint64_t earlier = 1; earlier < version; ++earlier) {
        stored = nextConfiguration(stored, config_version(earlier), change_id(1000 + earlier), "");
    }
    return nextConfiguration(stored, config_version(version), change_id(change), text);
}

store_value valueOf(const stored_configuration &stored, std::uint64_t revision)
{
    return {encodeStoredConfiguration(stored), store_revision(revision)};
}

/// One daemon whose store calls are answered by the test.
struct fixture {
    std::mt19937_64 random{5};
    config_exchange state = makeConfigExchange(makeDaemon(), random, at(0).monotonic);
    outbox out;

    void apply(const std::string &text, int ms, std::optional<std::uint64_t> expected = {}, std::uint64_t id = 1)
    {
        apply_configuration call;
        call.text = text;
        if (expected) {
            call.expected = config_version(*expected);
        }
        onApply(state, front_end_request_id(id), call, at(ms), out);
    }

    template<typename Effect>
    std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const effect &single : out) {
            if (const auto *wanted = std::get_if<Effect>(&single)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    std::vector<call_store> calls(store_user user) const
    {
        std::vector<call_store> found;
        for (const call_store &call : all<call_store>()) {
            if (call.user == user) {
                found.push_back(call);
            }
        }
        return found;
    }

    template<typename Request>
    Request lastWrite() const
    {
        const auto found = calls(store_user::ConfigurationWrite);
        REQUIRE_FALSE(found.empty());
        REQUIRE(std::holds_alternative<Request>(found.back().request));
        return std::get<Request>(found.back().request);
    }

    void reply(store_user user, const result<store_reply> &outcome, int ms)
    {
        onStoreReply(state, {user, calls(user).back().serial, outcome}, at(ms), out);
    }

    void written(const result<store_reply> &outcome, int ms)
    {
        reply(store_user::ConfigurationWrite, outcome, ms);
    }

    void fail(error_kind kind, int ms)
    {
        written(makeError(kind, "test"), ms);
    }

    void tick(int ms)
    {
        onTick(state, at(ms), out);
    }

    std::vector<int> statuses() const
    {
        std::vector<int> found;
        for (const auto &single : all<answer_front_end>()) {
            found.push_back(std::get<text_answer>(single.answer).status);
        }
        return found;
    }

    std::string lastBody() const
    {
        const auto found = all<answer_front_end>();
        REQUIRE_FALSE(found.empty());
        return std::get<text_answer>(found.back().answer).body;
    }

    /// Delivers version 1 with textA through the watch of the store.
    void begin()
    {
        tick(0);
        reply(store_user::ConfigurationWatch, valueOf(storedOf(1, textA), 10), 1);
        REQUIRE(versionInForce(state) == config_version(1));
        tick(1);
        out.erase(out.begin());
    }
};

} // namespace

TEST_CASE("an accepted change is in force at the daemon and pushed to every peer at once")
{
    fixture daemon;
    daemon.begin();
    daemon.apply(textB, 10, 1);
    daemon.lastWrite<store_get>();
    daemon.written(valueOf(storedOf(1, textA), 10), 12);
    const auto put = daemon.lastWrite<store_put>();
    CHECK(put.expected == store_revision(10));
    const auto stored = decodeStoredConfiguration(put.value);
    REQUIRE(stored);
    CHECK(stored.value().version == config_version(2));
    CHECK(stored.value().text == textB);
    CHECK(stored.value().history.size() == 2);
    CHECK(daemon.statuses().empty());
    daemon.written(store_put_reply{true, store_revision(11)}, 14);
    CHECK(daemon.statuses() == std::vector<int>{200});
    CHECK(daemon.lastBody() == R"({"version":2})");
    CHECK(versionInForce(daemon.state) == config_version(2));
    const auto pushes = daemon.all<send_peer>();
    REQUIRE(pushes.size() == 2);
    CHECK(std::get<config_push>(pushes.front().payload).text == textB);
}

TEST_CASE("a text that is already stored is not written again")
{
    fixture daemon;
    daemon.begin();
    daemon.apply(textA, 10, 0);
    daemon.written(valueOf(storedOf(1, textA), 10), 12);
    CHECK(daemon.statuses() == std::vector<int>{200});
    CHECK(daemon.lastBody() == R"({"version":1})");
    CHECK(daemon.calls(store_user::ConfigurationWrite).size() == 1);
}

TEST_CASE("invalid texts and forbidden transitions are reported with their positions")
{
    fixture daemon;
    daemon.begin();
    daemon.apply("cell: c\n", 10);
    CHECK(daemon.statuses() == std::vector<int>{400});
    CHECK(daemon.lastBody().find(R"({"findings":[{"line":)") == 0);
    CHECK(daemon.calls(store_user::ConfigurationWrite).empty());
    daemon.apply(head + "teams: [{name: s, home: e}]\n", 11);
    daemon.written(valueOf(storedOf(1, textA), 10), 12);
    CHECK(daemon.statuses() == std::vector<int>{400, 400});
    CHECK(daemon.lastBody().find("teams[0].home") != std::string::npos);
}

TEST_CASE("a change whose expected version is not in force is a conflict")
{
    fixture daemon;
    daemon.begin();
    daemon.apply(textC, 10, 1);
    daemon.written(valueOf(storedOf(2, textB), 11), 12);
    CHECK(daemon.statuses() == std::vector<int>{409});
    CHECK(daemon.lastBody().find(R"("version":2})") != std::string::npos);
    CHECK(versionInForce(daemon.state) == config_version(2));
}

TEST_CASE("after a lost reply the stored change id decides whether the change was applied")
{
    fixture daemon;
    daemon.begin();
    daemon.apply(textB, 10);
    daemon.written(valueOf(storedOf(1, textA), 10), 12);
    const auto put = daemon.lastWrite<store_put>();
    const auto mine = decodeStoredConfiguration(put.value).value();
    daemon.fail(error_kind::Unknown, 1500);
    CHECK(daemon.statuses().empty());
    daemon.tick(1700);
    daemon.lastWrite<store_get>();

    SECTION("applied")
    {
        daemon.written(store_value{put.value, store_revision(11)}, 1701);
        CHECK(daemon.statuses() == std::vector<int>{200});
        CHECK(daemon.lastBody() == R"({"version":2})");
    }
    SECTION("applied, and another change followed")
    {
        const auto later = nextConfiguration(mine, config_version(3), change_id(5), textC);
        daemon.written(valueOf(later, 12), 1701);
        CHECK(daemon.statuses() == std::vector<int>{200});
        CHECK(daemon.lastBody() == R"({"version":2})");
        CHECK(versionInForce(daemon.state) == config_version(3));
    }
    SECTION("another change came first")
    {
        daemon.written(valueOf(storedOf(2, textC), 11), 1701);
        CHECK(daemon.statuses() == std::vector<int>{409});
        CHECK(versionInForce(daemon.state) == config_version(2));
    }
    SECTION("too many later changes for the stored history")
    {
        daemon.written(valueOf(storedOf(20, textC), 30), 1701);
        CHECK(daemon.statuses() == std::vector<int>{504});
    }
    SECTION("not applied so far: the same content is written again")
    {
        daemon.written(valueOf(storedOf(1, textA), 10), 1701);
        CHECK(daemon.statuses().empty());
        daemon.tick(2000);
        CHECK(daemon.lastWrite<store_put>().value == put.value);
        CHECK(daemon.lastWrite<store_put>().expected == store_revision(10));
        daemon.written(store_put_reply{true, store_revision(11)}, 2001);
        CHECK(daemon.statuses() == std::vector<int>{200});
    }
    SECTION("the store remains unreachable")
    {
        for (int ms = 1700; ms < 10010; ms += 100) {
            daemon.tick(ms);
            daemon.fail(error_kind::Unreachable, ms);
        }
        CHECK(daemon.statuses().empty());
        daemon.tick(10010);
        CHECK(daemon.statuses() == std::vector<int>{504});
        CHECK(daemon.calls(store_user::ConfigurationWrite).size() < 40);
    }
}

TEST_CASE("a write that the store client sent twice is not reported as a conflict")
{
    fixture daemon;
    daemon.begin();
    daemon.apply(textB, 10, 1);
    daemon.written(valueOf(storedOf(1, textA), 10), 12);
    const auto put = daemon.lastWrite<store_put>();
    daemon.written(store_put_reply{false, store_revision(11)}, 14);
    CHECK(daemon.statuses().empty());
    daemon.written(store_value{put.value, store_revision(11)}, 16);
    CHECK(daemon.statuses() == std::vector<int>{200});
}

TEST_CASE("while the store is down a change is refused as not written")
{
    fixture daemon;
    daemon.begin();
    daemon.apply(textB, 10);
    daemon.fail(error_kind::Unknown, 20);
    for (int ms = 110; ms <= 10010; ms += 100) {
        daemon.tick(ms);
    }
    CHECK(daemon.statuses() == std::vector<int>{503});

    fixture unsent;
    unsent.begin();
    unsent.apply(textB, 10);
    unsent.written(valueOf(storedOf(1, textA), 10), 12);
    for (int ms = 12; ms < 10010; ms += 100) {
        unsent.fail(error_kind::Unreachable, ms);
        unsent.tick(ms + 99);
    }
    unsent.tick(10010);
    CHECK(unsent.statuses() == std::vector<int>{503});
}

TEST_CASE("a write under way at the deadline of a change has an unknown outcome")
{
    fixture daemon;
    daemon.begin();
    daemon.apply(textB, 10);
    daemon.written(valueOf(storedOf(1, textA), 10), 12);
    daemon.tick(10010);
    CHECK(daemon.statuses() == std::vector<int>{504});
    daemon.written(store_put_reply{true, store_revision(11)}, 10011);
    CHECK(daemon.statuses() == std::vector<int>{504});
}

TEST_CASE("one change is written at a time and the number of waiting changes is bounded")
{
    fixture daemon;
    daemon.begin();
    for (std::uint64_t id = 1; id <= maxWaitingChanges + 2; ++id) {
        daemon.apply(textB, 10, {}, id);
    }
    CHECK(daemon.statuses() == std::vector<int>{503});
    CHECK(daemon.calls(store_user::ConfigurationWrite).size() == 1);
    for (int ms = 10; ms <= 10010; ms += 100) {
        daemon.tick(ms);
    }
    CHECK(daemon.statuses() == std::vector<int>(maxWaitingChanges + 2, 503));
    CHECK_FALSE(daemon.state.active.has_value());
}

TEST_CASE("late replies of the store are ignored")
{
    fixture daemon;
    daemon.begin();
    daemon.apply(textB, 10);
    const auto first = daemon.calls(store_user::ConfigurationWrite).back();
    daemon.tick(4000);
    daemon.tick(5200);
    CHECK(daemon.calls(store_user::ConfigurationWrite).size() == 2);
    onStoreReply(daemon.state,
                 {store_user::ConfigurationWrite, first.serial, valueOf(storedOf(1, textA), 10)},
                 at(5300),
                 daemon.out);
    CHECK(daemon.calls(store_user::ConfigurationWrite).size() == 2);
}

TEST_CASE("only a higher version is adopted from a peer")
{
    fixture daemon;
    daemon.begin();
    CHECK_FALSE(onConfigPush(daemon.state, {config_version(1), textB}));
    CHECK_FALSE(onConfigPush(daemon.state, {config_version(0), textB}));
    CHECK(daemon.state.inForce->text == textA);
    CHECK_FALSE(onConfigPush(daemon.state, {config_version(9), "nonsense"}));
    CHECK(daemon.state.unusableTexts == 1);
    CHECK(onConfigPush(daemon.state, {config_version(3), textB}));
    CHECK(versionInForce(daemon.state) == config_version(3));
    CHECK_FALSE(onConfigPush(daemon.state, {config_version(2), textC}));
    CHECK(versionInForce(daemon.state) == config_version(3));
}

TEST_CASE("a daemon without a configuration requests it from a peer and answers no requests before")
{
    fixture daemon;
    onConfigRequest(daemon.state, daemon_id("b"), daemon.out);
    CHECK(daemon.out.empty());
    onPeerVersion(daemon.state, daemon_id("b"), config_version(4), at(10), daemon.out);
    onPeerVersion(daemon.state, daemon_id("b"), config_version(4), at(11), daemon.out);
    CHECK(daemon.all<send_peer>().size() == 1);
    onPeerVersion(daemon.state, daemon_id("b"), config_version(4), at(510), daemon.out);
    CHECK(daemon.all<send_peer>().size() == 2);
    CHECK(onConfigPush(daemon.state, {config_version(4), textA}));
    onPeerVersion(daemon.state, daemon_id("b"), config_version(4), at(2000), daemon.out);
    CHECK(daemon.all<send_peer>().size() == 2);
    onConfigRequest(daemon.state, daemon_id("b"), daemon.out);
    CHECK(std::get<config_push>(daemon.all<send_peer>().back().payload).version == config_version(4));
}

TEST_CASE("the watch is restarted, but not in a tight loop")
{
    fixture daemon;
    daemon.begin();
    const auto watches = [&] {
        return daemon.calls(store_user::ConfigurationWatch).size();
    };
    REQUIRE(watches() == 1);
    CHECK(std::get<store_watch>(daemon.calls(store_user::ConfigurationWatch).back().request).after
          == store_revision(10));

    SECTION("answered at the end of the wait")
    {
        daemon.reply(store_user::ConfigurationWatch, valueOf(storedOf(1, textA), 10), 30001);
        daemon.tick(30001);
        CHECK(watches() == 2);
    }
    SECTION("answered at once without a change, with an error, or with a damaged value")
    {
        const std::vector<result<store_reply>> replies{store_reply(valueOf(storedOf(1, textA), 10)),
                                                       makeError(error_kind::Unreachable, "test"),
                                                       store_reply(store_value{"damaged", store_revision(11)})};
        int ms = 2;
        for (int round = 0; round < 10000; ++round, ++ms) {
            daemon.reply(store_user::ConfigurationWatch, replies.at(static_cast<std::size_t>(round % 3)), ms);
            daemon.tick(ms);
        }
        CHECK(watches() < 20);
        CHECK(versionInForce(daemon.state) == config_version(1));
    }
    SECTION("never answered")
    {
        daemon.tick(33000);
        CHECK(watches() == 1);
        daemon.tick(33001);
        daemon.tick(33501);
        CHECK(watches() == 2);
    }
}

TEST_CASE("a damaged value in the store is never overwritten")
{
    fixture daemon;
    daemon.begin();
    auto value = valueOf(storedOf(2, textB), 11);
    value.value.replace(value.value.find("home: d"), 7, "home: e");
    CHECK_FALSE(decodeStoredConfiguration(value.value));
    daemon.apply(textC, 10);
    daemon.written(value, 12);
    CHECK(daemon.statuses() == std::vector<int>{503});
    CHECK(versionInForce(daemon.state) == config_version(1));
}

TEST_CASE("stored configurations round-trip through the codec and keep a bounded history")
{
    const auto stored = storedOf(40, textB);
    CHECK(stored.history.size() == changeHistoryLength);
    const auto decoded = decodeStoredConfiguration(encodeStoredConfiguration(stored));
    REQUIRE(decoded);
    CHECK(decoded.value() == stored);
    CHECK(changeOf(stored, config_version(40)) == change_id(77));
    CHECK_FALSE(changeOf(stored, config_version(24)).has_value());
    for (const char *bad : {"", "{}", "[]", "{\"version\":1}", "null"}) {
        CHECK_FALSE(decodeStoredConfiguration(bad));
    }
}
