// The end of a graceful shutdown. Guards against a process that ends while a caller's request has no response.
#include "platform/last_requests.h"

#include "../fixtures/running_front.h"
#include "../harness/wait_until.h"

#include <cpprest/http_client.h>

#include <future>

using namespace sesamespar;
using harness::waitUntil;
using web::http::methods;

namespace {

constexpr milliseconds testLimit{10000};

} // namespace

TEST_CASE("a request that arrives while an earlier one is handled is answered before the process ends")
{
    mailbox box;
    timer_service timers;
    std::function<void()> duringFirst;
    platform::caller_front_sinks sinks;
    sinks.requests = [&](const caller_request &, const caller_done &done) {
        return postRequest(box, [&, done](const clock_reading &) {
            if (duringFirst) {
                std::exchange(duringFirst, {})();
            }
            done(job_status{});
        });
    };
    const running_front running = startRunningFront(sinks);
    web::http::client::http_client client(running.callersUrl);
    const auto send = [&client] {
        return client.request(methods::GET, "/q/0000000000000001");
    };
    pplx::task<web::http::http_response> second;
    duringFirst = [&] {
        second = send();
        CHECK(waitUntil(testLimit, [&] { return openRequests(*running.front) == 2; }));
    };
    const auto first = send();
    REQUIRE(waitUntil(testLimit, [&] { return openRequests(*running.front) == 1; }));

    CHECK(serveLastRequests(*running.front, box, timers, {[](const clock_reading &) {}, {}}, testLimit));
    CHECK(openRequests(*running.front) == 0);
    CHECK(first.get().status_code() == 200);
    CHECK(second.get().status_code() == 200);
}

TEST_CASE("the shutdown does not wait longer than its limit for a request without a response")
{
    mailbox box;
    timer_service timers;
    platform::caller_front_sinks sinks;
    std::promise<caller_done> received;
    sinks.requests = [&received](const caller_request &, const caller_done &done) {
        received.set_value(done);
        return true;
    };
    const running_front running = startRunningFront(sinks);
    web::http::client::http_client client(running.callersUrl);
    const auto request = client.request(methods::GET, "/q/0000000000000001");
    const caller_done done = received.get_future().get();

    CHECK_FALSE(serveLastRequests(*running.front, box, timers, {[](const clock_reading &) {}, {}}, milliseconds(50)));
    done(job_status{});
    CHECK(request.get().status_code() == 200);
}
