// The HTTP library's client sends a request again by itself when a kept-alive connection ends before the answer. Guards
// against running the callback of such a call twice, and against reporting the call as not sent when the connection
// for the second attempt is refused.
#include "connection/codec.h"
#include "connection/outgoing_calls.h"
#include "raw_http.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

using namespace sesamespar;

namespace {

using boost::asio::ip::tcp;

constexpr milliseconds longLimit{30000};

/// A worker on a plain socket that the test controls step by step.
class raw_server
{
public:
    raw_server()
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_connection(m_context)
    {
    }

    address listenAddress() const
    {
        return address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }

    void accept()
    {
        m_connection = m_acceptor.accept();
        m_input.clear();
    }

    /// Waits for a request. Returns true if it arrives on the current connection, false if the client opens another
    /// connection.
    bool isReused()
    {
        bool reused = false;
        boost::asio::steady_timer timer(m_context, testTimeout);
        const auto cancelAll = [&] {
            timer.cancel();
            m_connection.cancel();
            m_acceptor.cancel();
        };
        m_connection.async_wait(tcp::socket::wait_read, [&](const boost::system::error_code &failure) {
            reused = reused || !failure;
            cancelAll();
        });
        m_acceptor.async_wait(tcp::acceptor::wait_read, [&](const boost::system::error_code &) { cancelAll(); });
        timer.async_wait([&](const boost::system::error_code &) { cancelAll(); });
        m_context.restart();
        m_context.run();
        return reused;
    }

    /// Accepts the connection on which the next request arrives. The client may have opened another connection earlier
    /// for later use. Waiting for a request on that connection failed the test once, since it is closed after a minute.
    void acceptRequest()
    {
        do {
            accept();
        } while (!isReused());
    }

    /// Reads the next request on the connection and returns its body.
    std::string readBody()
    {
        const std::size_t head =
            boost::asio::read_until(m_connection, boost::asio::dynamic_buffer(m_input), "\r\n\r\n");
        const std::string name = "Content-Length:";
        const std::size_t body = std::stoul(m_input.substr(m_input.find(name) + name.size()));
        if (m_input.size() < head + body) {
            boost::asio::read(m_connection,
                              boost::asio::dynamic_buffer(m_input),
                              boost::asio::transfer_exactly(head + body - m_input.size()));
        }
        std::string text = m_input.substr(head, body);
        m_input.erase(0, head + body);
        return text;
    }

    void answer(int status, const std::string &body)
    {
        boost::asio::write(m_connection,
                           boost::asio::buffer("HTTP/1.1 " + std::to_string(status)
                                               + " Test\r\nContent-Type: application/json\r\nContent-Length: "
                                               + std::to_string(body.size()) + "\r\n\r\n" + body));
    }

    /// Sends an answer whose Content-Length exceeds the body that follows.
    void answerPartially(std::size_t announced, const std::string &part)
    {
        boost::asio::write(
            m_connection,
            boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" + part));
    }

    void closeConnection()
    {
        m_connection.close();
    }

    void stopListening()
    {
        m_acceptor.close();
    }

private:
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    tcp::socket m_connection;
    std::string m_input;
};

/// Outcome of one call, and how many times its callback ran.
struct call_outcome {
    std::mutex mutex;
    std::condition_variable reported;
    std::optional<result<worker_reply>> first;
    int reports = 0;

    worker_done callback()
    {
        return [this](result<worker_reply> outcome) {
            const std::lock_guard lock(mutex);
            ++reports;
            if (!first) {
                first.emplace(std::move(outcome));
            }
            reported.notify_all();
        };
    }

    result<worker_reply> get()
    {
        std::unique_lock lock(mutex);
        REQUIRE(reported.wait_for(lock, testTimeout, [this] { return first.has_value(); }));
        return *first;
    }
};

write_records_request callWithEpoch(std::uint64_t number)
{
    write_records_request request;
    request.token = {epoch_number(number), daemon_id("a")};
    return request;
}

std::string acceptedReply()
{
    write_records_reply reply;
    reply.accepted = true;
    return encodeWorkerReply(reply);
}

/// Makes one successful call, so that the client keeps the connection.
void openConnection(outgoing_calls &calls, raw_server &server)
{
    call_outcome first;
    callWorker(calls, server.listenAddress(), callWithEpoch(1), longLimit, first.callback());
    server.accept();
    server.readBody();
    server.answer(200, acceptedReply());
    CHECK(first.get().has_value());
}

/// A call on the reused connection, and the client that made it. The client has made exactly two calls.
struct reused_call {
    std::shared_ptr<outgoing_calls> calls;
    std::unique_ptr<call_outcome> outcome;
};

/// Starts a call on a connection that has served another call. The client may report an answer before it returns the
/// connection to its pool; the next call then arrives on a new connection, and a new client makes another attempt. With
/// the same client, its pool would hold a connection that the server has closed. The client then spent its only
/// automatic retry on this connection, so that the tests waited for a request that was not sent.
reused_call callOnReusedConnection(raw_server &server)
{
    constexpr int maxAttempts = 1000;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
        openConnection(*calls, server);
        auto outcome = std::make_unique<call_outcome>();
        callWorker(*calls, server.listenAddress(), callWithEpoch(2), longLimit, outcome->callback());
        if (server.isReused()) {
            return {std::move(calls), std::move(outcome)};
        }
        server.accept();
        server.readBody();
        server.answer(200, acceptedReply());
        REQUIRE(outcome->get().has_value());
        stopOutgoingCalls(*calls);
    }
    FAIL("the client never reused a connection");
    return {};
}

} // namespace

TEST_CASE("a request that the client sends twice is answered and its callback runs once")
{
    raw_server server;
    const reused_call second = callOnReusedConnection(server);
    const std::string received = server.readBody();
    server.closeConnection();
    server.acceptRequest();
    CHECK(server.readBody() == received);
    server.answer(200, acceptedReply());

    const auto outcome = second.outcome->get();
    REQUIRE(outcome.has_value());
    CHECK(std::get<write_records_reply>(outcome.value()).accepted);
    stopOutgoingCalls(*second.calls);
    CHECK(second.outcome->reports == 1);
    CHECK(workerTraffic(*second.calls).calls == 2);
}

TEST_CASE("a received request whose second attempt is refused is reported as unknown, not as unsent")
{
    raw_server server;
    const reused_call second = callOnReusedConnection(server);
    server.readBody();
    server.stopListening();
    server.closeConnection();

    const auto outcome = second.outcome->get();
    REQUIRE(outcome.has_error());
    CHECK(outcome.error().kind == error_kind::Unknown);
    stopOutgoingCalls(*second.calls);
    CHECK(second.outcome->reports == 1);
}

TEST_CASE("a refused connection is reported as unsent")
{
    address unusedAddress;
    {
        raw_server server;
        unusedAddress = server.listenAddress();
        server.stopListening();
    }
    const auto calls = makeOutgoingCalls(unusedAddress);
    call_outcome outcome;
    callWorker(*calls, unusedAddress, callWithEpoch(1), longLimit, outcome.callback());
    CHECK(outcome.get().error().kind == error_kind::Unreachable);

    std::promise<result<store_reply>> stored;
    callStore(
        *calls, store_get{"k"}, longLimit, [&](result<store_reply> reply) { stored.set_value(std::move(reply)); });
    CHECK(stored.get_future().get().error().kind == error_kind::Unreachable);
    stopOutgoingCalls(*calls);
}

TEST_CASE("a connection that ends before the first answer leaves the outcome unknown")
{
    raw_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    call_outcome outcome;
    callWorker(*calls, server.listenAddress(), callWithEpoch(1), longLimit, outcome.callback());
    server.accept();
    server.readBody();
    server.closeConnection();
    CHECK(outcome.get().error().kind == error_kind::Unknown);
    stopOutgoingCalls(*calls);
    CHECK(outcome.reports == 1);
}

TEST_CASE("error statuses and malformed answers are reported as errors")
{
    const auto kindOf = [](int status, const std::string &body) {
        raw_server server;
        const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
        call_outcome outcome;
        callWorker(*calls, server.listenAddress(), callWithEpoch(1), longLimit, outcome.callback());
        server.accept();
        server.readBody();
        server.answer(status, body);
        const auto kind = outcome.get().error().kind;
        stopOutgoingCalls(*calls);
        CHECK(outcome.reports == 1);
        return kind;
    };
    CHECK(kindOf(500, "{}") == error_kind::Unknown);
    CHECK(kindOf(503, "{}") == error_kind::Unknown);
    CHECK(kindOf(429, "{}") == error_kind::Overloaded);
    CHECK(kindOf(404, "{}") == error_kind::InvalidInput);
    CHECK(kindOf(200, "{}") == error_kind::InvalidInput);
    CHECK(kindOf(200, "[[[") == error_kind::InvalidInput);
}

TEST_CASE("a call without an answer ends at its deadline")
{
    raw_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    call_outcome outcome;
    callWorker(*calls, server.listenAddress(), callWithEpoch(1), milliseconds(50), outcome.callback());
    server.accept();
    server.readBody();
    CHECK(outcome.get().error().kind == error_kind::Unknown);
    stopOutgoingCalls(*calls);
    CHECK(outcome.reports == 1);
}

TEST_CASE("a call whose answer is incomplete ends at its deadline")
{
    raw_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    call_outcome outcome;
    callWorker(*calls, server.listenAddress(), callWithEpoch(1), milliseconds(50), outcome.callback());
    server.accept();
    server.readBody();
    server.answerPartially(100, "{");
    CHECK(outcome.get().error().kind == error_kind::Unknown);
    stopOutgoingCalls(*calls);
    CHECK(outcome.reports == 1);
}

TEST_CASE("a stop ends the calls in progress, and later calls are not sent")
{
    raw_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    call_outcome outcome;
    callWorker(*calls, server.listenAddress(), callWithEpoch(1), longLimit, outcome.callback());
    server.accept();
    server.readBody();
    stopOutgoingCalls(*calls);
    CHECK(outcome.reports == 1);
    CHECK(outcome.get().error().kind == error_kind::Unknown);

    call_outcome late;
    callWorker(*calls, server.listenAddress(), callWithEpoch(2), longLimit, late.callback());
    CHECK(late.get().error().kind == error_kind::Unreachable);
}

TEST_CASE("the number of calls in progress to one address is bounded")
{
    raw_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    constexpr int started = 40;
    std::vector<call_outcome> outcomes(started);
    for (call_outcome &outcome : outcomes) {
        callWorker(*calls, server.listenAddress(), callWithEpoch(1), longLimit, outcome.callback());
    }
    stopOutgoingCalls(*calls);
    int overloaded = 0;
    for (call_outcome &outcome : outcomes) {
        CHECK(outcome.reports == 1);
        overloaded += outcome.get().error().kind == error_kind::Overloaded ? 1 : 0;
    }
    CHECK(overloaded == started - 16);
}
