// Calls to one address while all connections that are allowed to it are in use. Guards against a daemon that uses up
// the connections that a worker accepts, so that the daemons that lead after it has lost power can start nothing there,
// and against calls that are lost or reordered while they wait.
#include "connection/http_requests.h"
#include "platform/worker_client.h"
#include "raw_http.h"
#include "standins/http_service.h"
#include "standins/link_proxy.h"

#include <catch2/catch.hpp>
#include <future>

using namespace sesamespar;
using namespace sesamespar::standins;

namespace {

constexpr std::size_t connections = 3;
constexpr std::size_t kept = 2;
constexpr std::size_t waiting = 4;
constexpr milliseconds longLimit{50000};
/// Longest time until a connection that is not kept is closed. Below the 30 s after which the HTTP library closes idle
/// connections by itself.
constexpr std::chrono::seconds closeLimit{15};

using pending_reply = std::future<result<http_reply>>;

/// A server that holds its answers back and records the requests.
struct holding_server {
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<std::string> received;
    std::size_t polls = 0;
    std::vector<http_responder> held;

    http_handler handler()
    {
        return [this](const http_call &call, const http_responder &respond) {
            const std::lock_guard lock(mutex);
            received.push_back(call.body);
            polls += call.path.ends_with("/hold") ? 1 : 0;
            held.push_back(respond);
            arrived.notify_all();
        };
    }
};

pending_reply
sendTo(http_requests &requests, const address &to, const std::string &body, milliseconds limit = longLimit)
{
    const auto done = std::make_shared<std::promise<result<http_reply>>>();
    sendHttp(requests, to, {"POST", "/", body, {}}, limit, [done](result<http_reply> reply) {
        done->set_value(std::move(reply));
    });
    return done->get_future();
}

std::vector<std::string> receivedBy(holding_server &server)
{
    const std::lock_guard lock(server.mutex);
    return server.received;
}

std::size_t pollsAt(holding_server &server)
{
    const std::lock_guard lock(server.mutex);
    return server.polls;
}

void awaitRequests(holding_server &server, std::size_t count)
{
    std::unique_lock lock(server.mutex);
    REQUIRE(server.arrived.wait_for(lock, testTimeout, [&] { return server.received.size() >= count; }));
}

/// Answers the request at an index among those that are held, which are in the order of their arrival.
void answerAt(holding_server &server, std::size_t index)
{
    const std::lock_guard lock(server.mutex);
    const auto chosen = server.held.begin() + static_cast<std::ptrdiff_t>(index);
    (*chosen)({});
    server.held.erase(chosen);
}

/// Answers the oldest request that is held.
void answerOne(holding_server &server)
{
    answerAt(server, 0);
}

bool startThreadsOnce()
{
    static const bool started = (startHttpThreads(4), true);
    return started;
}

/// A server whose connections are counted on the way.
struct counted_server {
    bool threadsStarted = startThreadsOnce();
    holding_server server;
    std::shared_ptr<http_service> service = startHttpService("127.0.0.1", 0, server.handler()).value();
    std::shared_ptr<link_proxy> proxy = startLinkProxy();
    address to = addLink(*proxy, "link", boundAddress(*service)).value();
};

/// Waits until the server has that many connections. Returns false if it has not within the limit.
bool awaitConnections(const counted_server &worker, std::size_t count)
{
    const auto deadline = std::chrono::steady_clock::now() + closeLimit;
    while (openConnections(*worker.proxy, "link") != count) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
}

/// A server and a client of it whose connections are all in use.
struct busy_fixture : counted_server {
    std::shared_ptr<http_requests> requests = makeHttpRequests({connections, waiting, kept});
    std::vector<pending_reply> open;

    busy_fixture()
    {
        for (std::size_t count = 0; count < connections; ++count) {
            open.push_back(sendTo(*requests, to, "\"open\""));
        }
        awaitRequests(server, connections);
    }
};

} // namespace

TEST_CASE("calls beyond the allowed connections wait in order")
{
    busy_fixture busy;
    std::vector<pending_reply> later;
    for (std::size_t count = 0; count < waiting; ++count) {
        later.push_back(sendTo(*busy.requests, busy.to, std::to_string(count)));
    }
    const auto refused = sendTo(*busy.requests, busy.to, "\"refused\"").get();
    REQUIRE(refused.has_error());
    CHECK(refused.error().kind == error_kind::Overloaded);
    CHECK(receivedBy(busy.server).size() == connections);
    for (std::size_t count = 0; count < waiting; ++count) {
        answerOne(busy.server);
        awaitRequests(busy.server, connections + count + 1);
        CHECK(receivedBy(busy.server).back() == std::to_string(count));
    }
    for (std::size_t count = 0; count < connections; ++count) {
        answerOne(busy.server);
    }
    for (pending_reply &reply : busy.open) {
        CHECK(reply.get().has_value());
    }
    for (pending_reply &reply : later) {
        CHECK(reply.get().has_value());
    }
    CHECK(awaitConnections(busy, kept));
    stopHttpRequests(*busy.requests);
}

TEST_CASE("a call that gets no connection within its limit is not sent")
{
    busy_fixture busy;
    const auto expired = sendTo(*busy.requests, busy.to, "\"expired\"", milliseconds(50)).get();
    REQUIRE(expired.has_error());
    CHECK(expired.error().kind == error_kind::Unreachable);
    pending_reply next = sendTo(*busy.requests, busy.to, "\"next\"");
    answerOne(busy.server);
    awaitRequests(busy.server, connections + 1);
    CHECK(receivedBy(busy.server).back() == "\"next\"");
    for (std::size_t count = 0; count < connections; ++count) {
        answerOne(busy.server);
    }
    CHECK(next.get().has_value());
    stopHttpRequests(*busy.requests);
}

TEST_CASE("a stop ends the calls in progress and those that wait")
{
    busy_fixture busy;
    std::vector<pending_reply> later;
    for (std::size_t count = 0; count < waiting; ++count) {
        later.push_back(sendTo(*busy.requests, busy.to, std::to_string(count)));
    }
    stopHttpRequests(*busy.requests);
    for (pending_reply &reply : later) {
        const auto ended = reply.get();
        REQUIRE(ended.has_error());
        CHECK(ended.error().kind == error_kind::Unreachable);
    }
    CHECK(receivedBy(busy.server).size() == connections);
}

TEST_CASE("a daemon keeps two connections to a worker, and orders do not wait for polls")
{
    counted_server worker;
    static traffic_ledger ledger; // Must outlive the calls.
    const platform::worker_connections pools = platform::makeWorkerConnections();
    const worker_port port = platform::makeWorkerPort(pools, ledger);
    const worker_target target{worker_id("i-1"), worker.to};
    constexpr std::size_t polls = 2;
    constexpr std::size_t orders = 12;
    for (std::size_t count = 0; count < polls; ++count) {
        port.poll(target, {}, longLimit, [](const result<worker_report> &) {});
    }
    awaitRequests(worker.server, polls);
    std::atomic<std::size_t> replies = 0;
    for (std::size_t count = 0; count < orders; ++count) {
        port.stop(target, {}, longLimit, [&replies](const result<order_reply> &) { ++replies; });
    }
    // The polls stay without a reply.
    for (std::size_t count = 0; count < orders; ++count) {
        awaitRequests(worker.server, polls + count + 1);
        CHECK(openConnections(*worker.proxy, "link") <= polls + 2);
        answerAt(worker.server, polls);
    }
    CHECK(waitUntil([&] { return replies == orders; }));
    CHECK(pollsAt(worker.server) == polls);
    CHECK(awaitConnections(worker, polls + 1));
    for (std::size_t count = 0; count < polls; ++count) {
        answerOne(worker.server);
    }
    CHECK(awaitConnections(worker, 2));
    stopHttpRequests(*pools.polls);
    stopHttpRequests(*pools.orders);
}
