// The HTTP client sends a request again by itself when a kept-alive connection ends before the answer. Guards
// against a call that calls back twice because of it, and against reporting such a call as not sent when the
// second attempt finds nobody there.
#include "connection/codec.h"
#include "connection/outgoing_calls.h"
#include "raw_http.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>
#include <vector>

using namespace sesamespar;

namespace {

using boost::asio::ip::tcp;

constexpr milliseconds longLimit{30000};

/// A worker on a plain socket that does as the test says, one step after the other.
class bare_server
{
public:
    bare_server()
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_connection(m_context)
    {
    }

    address where() const
    {
        return address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }

    void accept()
    {
        m_connection = m_acceptor.accept();
        m_input.clear();
    }

    /// Waits for a request. True if it comes on the present connection, false if the client opens another one.
    bool isReused()
    {
        bool reused = false;
        boost::asio::steady_timer patience(m_context, testPatience);
        const auto cancelAll = [&] {
            patience.cancel();
            m_connection.cancel();
            m_acceptor.cancel();
        };
        m_connection.async_wait(tcp::socket::wait_read, [&](const boost::system::error_code &failure) {
            reused = reused || !failure;
            cancelAll();
        });
        m_acceptor.async_wait(tcp::acceptor::wait_read, [&](const boost::system::error_code &) { cancelAll(); });
        patience.async_wait([&](const boost::system::error_code &) { cancelAll(); });
        m_context.restart();
        m_context.run();
        return reused;
    }

    /// Accepts the connection that the next request comes on. The client may have opened another one before that it
    /// keeps for later; without a request it would be closed after a minute, which failed the test once.
    void acceptRequest()
    {
        do {
            accept();
        } while (!isReused());
    }

    /// Body of the next request on the connection.
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

    /// Announces more than it sends.
    void answerPart(std::size_t announced, const std::string &part)
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

/// Outcome of one call and how often it was reported.
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
        REQUIRE(reported.wait_for(lock, testPatience, [this] { return first.has_value(); }));
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
void openConnection(outgoing_calls &calls, bare_server &server)
{
    call_outcome first;
    callWorker(calls, server.where(), callWithEpoch(1), longLimit, first.callback());
    server.accept();
    server.readBody();
    server.answer(200, acceptedReply());
    CHECK(first.get().has_value());
}

/// The call on the reused connection, and the number of calls made so far, itself included.
struct reused_call {
    std::unique_ptr<call_outcome> outcome;
    std::uint64_t callsMade = 0;
};

/// Starts a call that goes out on a connection that served another call before. The client may report an
/// answer before it takes the connection back; then the call comes on a new one, is answered and made again.
reused_call callOnReusedConnection(outgoing_calls &calls, bare_server &server)
{
    openConnection(calls, server);
    for (std::uint64_t made = 2; made < 1000; ++made) {
        auto outcome = std::make_unique<call_outcome>();
        callWorker(calls, server.where(), callWithEpoch(2), longLimit, outcome->callback());
        if (server.isReused()) {
            return {std::move(outcome), made};
        }
        server.accept();
        server.readBody();
        server.answer(200, acceptedReply());
        REQUIRE(outcome->get().has_value());
    }
    FAIL("the client never used a connection again");
    return {};
}

} // namespace

TEST_CASE("a request that the client sends twice is answered and reported once")
{
    bare_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    const reused_call second = callOnReusedConnection(*calls, server);
    const std::string received = server.readBody();
    server.closeConnection();
    server.acceptRequest();
    CHECK(server.readBody() == received);
    server.answer(200, acceptedReply());

    const auto outcome = second.outcome->get();
    REQUIRE(outcome.has_value());
    CHECK(std::get<write_records_reply>(outcome.value()).accepted);
    stopOutgoingCalls(*calls);
    CHECK(second.outcome->reports == 1);
    CHECK(workerTraffic(*calls).calls == second.callsMade);
}

TEST_CASE("a request that was received before its second attempt is refused is not reported as unsent")
{
    bare_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    const auto second = callOnReusedConnection(*calls, server).outcome;
    server.readBody();
    server.stopListening();
    server.closeConnection();

    const auto outcome = second->get();
    REQUIRE(outcome.has_error());
    CHECK(outcome.error().kind == error_kind::Unknown);
    stopOutgoingCalls(*calls);
    CHECK(second->reports == 1);
}

TEST_CASE("a refused connection is reported as unsent")
{
    address nobody;
    {
        bare_server server;
        nobody = server.where();
        server.stopListening();
    }
    const auto calls = makeOutgoingCalls(nobody);
    call_outcome outcome;
    callWorker(*calls, nobody, callWithEpoch(1), longLimit, outcome.callback());
    CHECK(outcome.get().error().kind == error_kind::Unreachable);

    std::promise<result<store_reply>> stored;
    callStore(
        *calls, store_get{"k"}, longLimit, [&](result<store_reply> reply) { stored.set_value(std::move(reply)); });
    CHECK(stored.get_future().get().error().kind == error_kind::Unreachable);
    stopOutgoingCalls(*calls);
}

TEST_CASE("a connection that ends before the first answer leaves the outcome unknown")
{
    bare_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    call_outcome outcome;
    callWorker(*calls, server.where(), callWithEpoch(1), longLimit, outcome.callback());
    server.accept();
    server.readBody();
    server.closeConnection();
    CHECK(outcome.get().error().kind == error_kind::Unknown);
    stopOutgoingCalls(*calls);
    CHECK(outcome.reports == 1);
}

TEST_CASE("statuses and malformed answers have their errors")
{
    const auto kindOf = [](int status, const std::string &body) {
        bare_server server;
        const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
        call_outcome outcome;
        callWorker(*calls, server.where(), callWithEpoch(1), longLimit, outcome.callback());
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

TEST_CASE("a call without an answer ends at its limit")
{
    bare_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    call_outcome outcome;
    callWorker(*calls, server.where(), callWithEpoch(1), milliseconds(50), outcome.callback());
    server.accept();
    server.readBody();
    CHECK(outcome.get().error().kind == error_kind::Unknown);
    stopOutgoingCalls(*calls);
    CHECK(outcome.reports == 1);
}

TEST_CASE("an answer that stops in its middle ends at the limit of the call")
{
    bare_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    call_outcome outcome;
    callWorker(*calls, server.where(), callWithEpoch(1), milliseconds(50), outcome.callback());
    server.accept();
    server.readBody();
    server.answerPart(100, "{");
    CHECK(outcome.get().error().kind == error_kind::Unknown);
    stopOutgoingCalls(*calls);
    CHECK(outcome.reports == 1);
}

TEST_CASE("a stop ends the calls under way, and none follows")
{
    bare_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    call_outcome outcome;
    callWorker(*calls, server.where(), callWithEpoch(1), longLimit, outcome.callback());
    server.accept();
    server.readBody();
    stopOutgoingCalls(*calls);
    CHECK(outcome.reports == 1);
    CHECK(outcome.get().error().kind == error_kind::Unknown);

    call_outcome late;
    callWorker(*calls, server.where(), callWithEpoch(2), longLimit, late.callback());
    CHECK(late.get().error().kind == error_kind::Unreachable);
}

TEST_CASE("calls to one address are bounded")
{
    bare_server server;
    const auto calls = makeOutgoingCalls(address("127.0.0.1:1"));
    constexpr int started = 40;
    std::vector<call_outcome> outcomes(started);
    for (call_outcome &outcome : outcomes) {
        callWorker(*calls, server.where(), callWithEpoch(1), longLimit, outcome.callback());
    }
    stopOutgoingCalls(*calls);
    int overloaded = 0;
    for (call_outcome &outcome : outcomes) {
        CHECK(outcome.reports == 1);
        overloaded += outcome.get().error().kind == error_kind::Overloaded ? 1 : 0;
    }
    CHECK(overloaded == started - 16);
}
