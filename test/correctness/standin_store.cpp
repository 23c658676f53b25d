// The stand-in store implements the rules of connection/store_api.h. Guards against end-to-end tests that pass because
// the stand-in is more permissive than a real store.
#include "standins/platform_host.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace sesamespar;
using namespace sesamespar::standins;

namespace {

time_point at(int ms)
{
    return time_point(milliseconds(ms));
}

vm_entry vm(const char *name)
{
    return {worker_id(name), address("127.0.0.1:1"), data_centre_id("metsovo"), rack_id("rack-01"), vm_state::Live};
}

/// Calls the platform. The answer is stored in `outcome` when it arrives.
void call(platform_host &host, const store_request &request, std::optional<store_outcome> &outcome)
{
    callPlatform(host, request, [&outcome](const store_outcome &given) { outcome = given; });
}

store_put_reply putReply(const std::optional<store_outcome> &outcome)
{
    REQUIRE(outcome);
    return std::get<store_put_reply>(std::get<store_reply>(*outcome));
}

store_value valueReply(const std::optional<store_outcome> &outcome)
{
    REQUIRE(outcome);
    return std::get<store_value>(std::get<store_reply>(*outcome));
}

} // namespace

TEST_CASE("a put is applied only at the expected revision")
{
    key_value_store store;
    const store_put_reply first = putValue(store, {"a", "one", store_revision(0)});
    CHECK(first.applied);
    CHECK_FALSE(putValue(store, {"a", "two", store_revision(0)}).applied);
    CHECK(putValue(store, {"a", "two", store_revision(0)}).revision == first.revision);
    CHECK(putValue(store, {"a", "two", first.revision}).applied);
    CHECK(readValue(store, "a").value == "two");
}

TEST_CASE("a list returns the keys with the prefix after the given key, in order")
{
    key_value_store store;
    for (const char *key : {"b/2", "b/1", "a/1", "b", "c"}) {
        putValue(store, {key, "", store_revision(0)});
    }
    CHECK(listKeys(store, {"b/", ""}).keys == std::vector<std::string>{"b/1", "b/2"});
    CHECK(listKeys(store, {"b", ""}).keys == std::vector<std::string>{"b", "b/1", "b/2"});
    CHECK(listKeys(store, {"b/", "b/1"}).keys == std::vector<std::string>{"b/2"});
}

TEST_CASE("a watch is answered immediately if the value is newer, otherwise at the next change")
{
    const auto host = makePlatformHost(startTimerQueue());
    std::optional<store_outcome> put;
    call(*host, store_put{"a", "one", store_revision(0)}, put);
    std::optional<store_outcome> immediate;
    call(*host, store_watch{"a", store_revision(0), milliseconds(60000)}, immediate);
    CHECK(valueReply(immediate).value == "one");

    std::optional<store_outcome> waiting;
    call(*host, store_watch{"a", putReply(put).revision, milliseconds(60000)}, waiting);
    CHECK_FALSE(waiting);
    std::optional<store_outcome> second;
    call(*host, store_put{"a", "two", putReply(put).revision}, second);
    CHECK(valueReply(waiting).value == "two");
}

TEST_CASE("a put whose answer is lost has taken effect")
{
    const auto host = makePlatformHost(startTimerQueue());
    store_faults faults;
    faults.putAnswersToLose = 1;
    setFaults(*host, faults);
    std::optional<store_outcome> put;
    call(*host, store_put{"a", "one", store_revision(0)}, put);
    CHECK_FALSE(put);
    std::optional<store_outcome> get;
    call(*host, store_get{"a"}, get);
    CHECK(valueReply(get).value == "one");
}

TEST_CASE("calls in an outage have no effect, and waiting watches end")
{
    const auto host = makePlatformHost(startTimerQueue());
    std::optional<store_outcome> watch;
    call(*host, store_watch{"a", store_revision(0), milliseconds(60000)}, watch);
    store_faults faults;
    faults.outage = store_outage::Refusing;
    setFaults(*host, faults);
    REQUIRE(watch);
    CHECK(std::get<store_refusal>(*watch) == store_refusal::Down);
    std::optional<store_outcome> put;
    call(*host, store_put{"a", "one", store_revision(0)}, put);
    REQUIRE(put);
    CHECK(std::get<store_refusal>(*put) == store_refusal::Down);

    setFaults(*host, {});
    std::optional<store_outcome> get;
    call(*host, store_get{"a"}, get);
    CHECK(valueReply(get).revision == store_revision(0));
}

TEST_CASE("calls that exceed the rate limit of a second are refused and counted")
{
    call_meter meter;
    meter.start = at(0);
    meter.writesPerSecond = 2;
    CHECK(countCall(meter, call_kind::Put, at(100)));
    CHECK(countCall(meter, call_kind::Put, at(200)));
    CHECK_FALSE(countCall(meter, call_kind::Put, at(300)));
    CHECK(countCall(meter, call_kind::Get, at(300)));
    CHECK(countCall(meter, call_kind::Put, at(1000)));
    CHECK(meter.refused == 1);
    REQUIRE(meter.seconds.size() == 2);
    CHECK(meter.seconds.at(0).writes == 3);
    CHECK(meter.seconds.at(0).reads == 1);
}

TEST_CASE("readers see changes of the VM list after the lag")
{
    vm_registry registry;
    registry.lag = milliseconds(2000);
    registerVms(registry, {vm("w1"), vm("w2")}, at(0));
    CHECK(visibleVms(registry, at(1999)).revision == roster_revision(0));
    CHECK(visibleVms(registry, at(2000)).vms.size() == 2);

    CHECK(setVmState(registry, worker_id("w1"), vm_state::Leaving, at(5000)));
    CHECK(visibleVms(registry, at(6999)).vms.front().state == vm_state::Live);
    CHECK(visibleVms(registry, at(7000)).vms.front().state == vm_state::Leaving);
    CHECK(removeVm(registry, worker_id("w1"), at(8000)));
    CHECK(visibleVms(registry, at(10000)).vms.size() == 1);
    CHECK(visibleVms(registry, at(10000)).revision == roster_revision(3));
    CHECK_FALSE(removeVm(registry, worker_id("w1"), at(9000)));
}
