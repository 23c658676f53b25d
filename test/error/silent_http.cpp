// HTTP calls after open connections stopped passing data without an error. Guards against a call that waits on one dead
// connection after the other, each for its whole limit.
#include "connection/http_requests.h"
#include "raw_http.h"
#include "standins/http_service.h"
#include "standins/link_proxy.h"

#include <catch2/catch.hpp>
#include <future>

using namespace sesamespar;
using namespace sesamespar::standins;

namespace {

/// Far above the duration of any call of the test.
constexpr milliseconds longLimit{50000};

using pending_reply = std::future<result<http_reply>>;

pending_reply sendTo(http_requests &requests, const address &to, milliseconds suspectAfter)
{
    const auto done = std::make_shared<std::promise<result<http_reply>>>();
    outgoing_request request;
    request.method = "GET";
    request.target = "/";
    request.suspectAfter = suspectAfter;
    sendHttp(requests, to, request, longLimit, [done](result<http_reply> reply) { done->set_value(std::move(reply)); });
    return done->get_future();
}

/// Answers requests once `expected` of them wait, so that each has a connection of its own.
struct gathering_server {
    std::mutex mutex;
    std::vector<http_responder> waiting;
    std::size_t expected = 1;

    http_handler handler()
    {
        return [this](const http_call &, const http_responder &respond) {
            const std::lock_guard lock(mutex);
            waiting.push_back(respond);
            if (waiting.size() >= expected) {
                for (const http_responder &each : std::exchange(waiting, {})) {
                    each({});
                }
            }
        };
    }
};

} // namespace

TEST_CASE("calls use new connections once a call on a silent connection is suspected")
{
    static const bool threadsStarted = (startHttpThreads(4), true);
    REQUIRE(threadsStarted);
    constexpr std::size_t pooled = 5;
    gathering_server server;
    server.expected = pooled;
    const auto service = startHttpService("127.0.0.1", 0, server.handler()).value();
    const auto proxy = startLinkProxy();
    const address to = addLink(*proxy, "link", boundAddress(*service)).value();
    const auto requests = makeHttpRequests({64});
    std::vector<pending_reply> open;
    for (std::size_t count = 0; count < pooled; ++count) {
        open.push_back(sendTo(*requests, to, milliseconds(0)));
    }
    for (pending_reply &reply : open) {
        REQUIRE(reply.get());
    }
    link_fault silence;
    silence.silenceForward = GENERATE(true, false);
    silence.silenceBackward = !silence.silenceForward;
    setLinkFault(*proxy, "link", silence);
    server.expected = 1;
    // The first call is lost. The pool still holds four silent connections, which later calls must not use.
    const pending_reply lost = sendTo(*requests, to, milliseconds(100));
    std::size_t unanswered = 0;
    for (std::size_t count = 0; count < pooled; ++count) {
        pending_reply reply = sendTo(*requests, to, milliseconds(100));
        // The wait lasts beyond the suspicion, so that at most the first of these calls may use a silent connection.
        unanswered += reply.wait_for(milliseconds(5000)) == std::future_status::ready && reply.get() ? 0 : 1;
    }
    CHECK(unanswered <= 1);
    CHECK(lost.wait_for(milliseconds(0)) == std::future_status::timeout);
    stopHttpRequests(*requests);
}
