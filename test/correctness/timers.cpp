// Tests that timers fire once, in order, and never after they were cancelled or destroyed. Guards against leases that
// are renewed late because a timer was lost, and against callbacks into freed state.
#include "base/timer_service.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

using namespace sesamespar;

namespace {

clock_reading at(int ms)
{
    return {time_point(milliseconds(ms)), utc_time(ms)};
}

} // namespace

TEST_CASE("timers fire in the order of their due times")
{
    timer_service service;
    std::string fired;
    timer first;
    timer second;
    first.fire = [&](const clock_reading &) {
        fired += 'a';
    };
    second.fire = [&](const clock_reading &) {
        fired += 'b';
    };
    subscribe(service, second, time_point(milliseconds(20)));
    subscribe(service, first, time_point(milliseconds(10)));

    fireDue(service, at(9));
    CHECK(fired.empty());
    fireDue(service, at(20));
    CHECK(fired == "ab");
    fireDue(service, at(30));
    CHECK(fired == "ab");
}

TEST_CASE("a timer may subscribe again from its callback")
{
    timer_service service;
    int count = 0;
    timer repeated;
    repeated.fire = [&](const clock_reading &now) {
        ++count;
        subscribe(service, repeated, now.monotonic + milliseconds(10));
    };
    subscribe(service, repeated, time_point(milliseconds(10)));
    fireDue(service, at(10));
    fireDue(service, at(15));
    fireDue(service, at(20));
    CHECK(count == 2);
    CHECK(nextDue(service) == time_point(milliseconds(30)));
}

TEST_CASE("a cancelled or destroyed timer does not fire")
{
    timer_service service;
    int count = 0;
    timer cancelled;
    cancelled.fire = [&](const clock_reading &) {
        ++count;
    };
    subscribe(service, cancelled, time_point(milliseconds(10)));
    auto destroyed = std::make_unique<timer>();
    destroyed->fire = cancelled.fire;
    subscribe(service, *destroyed, time_point(milliseconds(10)));

    unsubscribe(cancelled);
    destroyed.reset();
    fireDue(service, at(10));
    CHECK(count == 0);
    CHECK_FALSE(nextDue(service).has_value());
}
