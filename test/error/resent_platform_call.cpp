// Calls to the platform that the HTTP library's client sends twice. The answer to the second attempt says nothing about
// the first one, which the worker or the store may have carried out, and the second one may find another incarnation of
// the worker. Guards against calls that a worker receives twice or late, and against taking a refusal of the second
// attempt for a refusal of the call.
#include "connection/http_requests.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "raw_server.h"

#include <memory>

using namespace sesamespar;
using namespace sesamespar::platform;

namespace {

constexpr milliseconds longLimit{30000};
constexpr std::size_t callsPerAddress = 4;

/// A call on a connection that has served another call, and the client that made it.
template<typename Reply>
struct reused_call {
    std::shared_ptr<http_requests> requests;
    std::unique_ptr<call_outcome<Reply>> outcome;
};

/// Makes one successful call, so that the client keeps the connection.
void openConnection(http_requests &requests, raw_server &server)
{
    call_outcome<http_reply> first;
    sendHttp(requests, server.listenAddress(), {"POST", "/", "{}", {}}, longLimit, first.callback());
    server.accept();
    server.readBody();
    server.answer(200, "{}");
    CHECK(first.get().has_value());
}

/// Starts `call` on a reused connection.
template<typename Reply, typename Call>
reused_call<Reply> callReused(raw_server &server, const Call &call)
{
    const auto start = [&] {
        reused_call<Reply> started{makeHttpRequests({callsPerAddress}), std::make_unique<call_outcome<Reply>>()};
        openConnection(*started.requests, server);
        call(started.requests, started.outcome->callback());
        return started;
    };
    return callOnReusedConnection(server, "{}", start, [](const reused_call<Reply> &started) {
        static_cast<void>(started.outcome->get());
        stopHttpRequests(*started.requests);
    });
}

/// Outcome of `call` if the server reads the request, closes the connection, and answers the second attempt.
template<typename Reply, typename Call>
result<Reply> outcomeOfResent(const Call &call, int status, const std::string &body)
{
    raw_server server;
    const auto resent = callReused<Reply>(
        server, [&](const auto &requests, auto done) { call(requests, server.listenAddress(), std::move(done)); });
    const std::string received = server.readBody();
    server.closeConnection();
    server.acceptRequest();
    CHECK(server.readBody() == received);
    server.answer(status, body);
    auto outcome = resent.outcome->get();
    stopHttpRequests(*resent.requests);
    CHECK(resent.outcome->reports == 1);
    return outcome;
}

/// Outcome of `call` if the server answers the first attempt.
template<typename Reply, typename Call>
result<Reply> outcomeOfFirst(const Call &call, int status, const std::string &body)
{
    raw_server server;
    const auto requests = makeHttpRequests({callsPerAddress});
    call_outcome<Reply> outcome;
    call(requests, server.listenAddress(), outcome.callback());
    server.accept();
    server.readBody();
    server.answer(status, body);
    auto first = outcome.get();
    stopHttpRequests(*requests);
    return first;
}

void sendStart(const std::shared_ptr<http_requests> &requests, const address &at, worker_callback<order_reply> done)
{
    static traffic_ledger ledger; // Must outlive the calls.
    start_order order;
    order.task.job = job_key("5c0e7a21d94b36f8");
    order.run = run_number(1);
    makeWorkerPort({requests, requests}, ledger).start({worker_id("i-1"), at}, order, longLimit, std::move(done));
}

void sendStop(const std::shared_ptr<http_requests> &requests, const address &at, worker_callback<order_reply> done)
{
    static traffic_ledger ledger; // Must outlive the calls.
    const stop_order order{{job_key("5c0e7a21d94b36f8"), 0, 0}, run_number(1), fencing_token(3)};
    makeWorkerPort({requests, requests}, ledger).stop({worker_id("i-1"), at}, order, longLimit, std::move(done));
}

void sendPoll(const std::shared_ptr<http_requests> &requests, const address &at, worker_callback<worker_report> done)
{
    static traffic_ledger ledger; // Must outlive the calls.
    worker_poll poll;
    poll.leaseUntil = milliseconds(6000);
    makeWorkerPort({requests, requests}, ledger).poll({worker_id("i-1"), at}, poll, longLimit, std::move(done));
}

void sendTransaction(const std::shared_ptr<http_requests> &requests,
                     const address &at,
                     store_callback<store_commit> done)
{
    static traffic_ledger ledger; // Must outlive the calls.
    store_transaction transaction;
    transaction.conditions.push_back({"job/1", store_revision(0)});
    transaction.writes.push_back({"job/1", "x", {}});
    makeStorePort(requests, at, ledger).commit(transaction, longLimit, std::move(done));
}

void renewLease(const std::shared_ptr<http_requests> &requests, const address &at, store_callback<granted_lease> done)
{
    static traffic_ledger ledger; // Must outlive the calls.
    makeStorePort(requests, at, ledger).renewLease(store_lease(7), longLimit, std::move(done));
}

/// Checks that a worker that reads a call and closes the connection does not receive the call again.
template<typename Reply, typename Call>
void checkSentOnce(const Call &call)
{
    raw_server server;
    const auto sent = callReused<Reply>(
        server, [&](const auto &requests, auto done) { call(requests, server.listenAddress(), std::move(done)); });
    server.readBody();
    server.closeConnection();
    server.acceptRequest();
    CHECK_THROWS(server.readBody());
    const auto outcome = sent.outcome->get();
    stopHttpRequests(*sent.requests);
    CHECK(sent.outcome->reports == 1);
    REQUIRE(outcome.has_error());
    CHECK(outcome.error().kind == error_kind::Unknown);
}

/// A server whose queue of new connections is full, so that a further connection is made only when there is room again
/// and the client's kernel repeats its request, 1 s after the first one.
class crowded_server
{
public:
    crowded_server()
        : m_acceptor(m_context)
    {
        const boost::asio::ip::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.bind(any);
        m_acceptor.listen(1);
        // The kernel admits one connection more than the length of the queue.
        for (int filled = 0; filled < 2; ++filled) {
            m_filling.emplace_back(m_context).connect(m_acceptor.local_endpoint());
        }
    }

    address listenAddress() const
    {
        return address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()));
    }

    /// Makes room after the pause. Returns whether the body of a request arrives on the next connection.
    bool receivesBodyAfter(milliseconds pause)
    {
        boost::asio::steady_timer(m_context, pause).wait();
        for (std::size_t filled = 0; filled < m_filling.size(); ++filled) {
            m_acceptor.accept();
        }
        boost::asio::ip::tcp::socket connection = m_acceptor.accept();
        std::string input;
        boost::system::error_code failure;
        boost::asio::read(connection, boost::asio::dynamic_buffer(input), failure);
        const std::size_t head = input.find("\r\n\r\n");
        return head != std::string::npos && input.size() > head + 4;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<boost::asio::ip::tcp::socket> m_filling;
};

} // namespace

TEST_CASE("a call reaches the worker at most once")
{
    // A repeated poll acknowledged the end of a run of a later incarnation of the worker, and the task ran again. A
    // start was repeated, refused and placed elsewhere while the run of the first attempt was working.
    checkSentOnce<order_reply>(sendStart);
    checkSentOnce<order_reply>(sendStop);
    checkSentOnce<worker_report>(sendPoll);
}

TEST_CASE("a call that could not be sent in time does not reach the worker")
{
    // The worker may have restarted meanwhile, and a process that was paused may have sent the call seconds later.
    crowded_server server;
    const auto requests = makeHttpRequests({callsPerAddress});
    call_outcome<worker_report> outcome;
    static traffic_ledger ledger; // Must outlive the calls.
    worker_poll poll;
    poll.wait = longLimit;
    const milliseconds sendingTime(300);
    makeWorkerPort({requests, requests}, ledger)
        .poll({worker_id("i-1"), server.listenAddress()}, poll, longLimit + sendingTime, outcome.callback());
    CHECK_FALSE(server.receivesBodyAfter(2 * sendingTime));
    const auto report = outcome.get();
    REQUIRE(report.has_error());
    CHECK(report.error().kind == error_kind::Unreachable);
    stopHttpRequests(*requests);
}

TEST_CASE("a start whose only attempt is refused has not begun")
{
    const auto unhealthy = outcomeOfFirst<order_reply>(sendStart, 503, "{}");
    REQUIRE(unhealthy.has_value());
    CHECK(unhealthy.value().refusal == order_refusal::Unhealthy);
    const auto full = outcomeOfFirst<order_reply>(sendStart, 409, R"({"clockMs":5,"reason":"room"})");
    REQUIRE(full.has_value());
    CHECK(full.value().refusal == order_refusal::NoCapacity);
    const auto fenced = outcomeOfFirst<order_reply>(sendStart, 409, R"({"clockMs":5,"reason":"fence"})");
    REQUIRE(fenced.has_value());
    CHECK(fenced.value().refusal == order_refusal::Fenced);
}

TEST_CASE("a transaction whose second attempt is refused may have been applied")
{
    // Callers were told that their jobs do not run, and the jobs ran.
    for (const int status : {503, 429, 404}) {
        CAPTURE(status);
        const auto outcome = outcomeOfResent<store_commit>(sendTransaction, status, "{}");
        REQUIRE(outcome.has_error());
        CHECK(outcome.error().kind == error_kind::Unknown);
    }
}

TEST_CASE("a transaction whose second attempt finds other revisions returns them")
{
    const std::string body = R"({"items":[{"key":"job/1","value":"eA==","revision":12}]})";
    const auto outcome = outcomeOfResent<store_commit>(sendTransaction, 412, body);
    REQUIRE(outcome.has_value());
    CHECK_FALSE(outcome.value().applied);
    REQUIRE(outcome.value().current.size() == 1);
    CHECK(outcome.value().current[0].revision == store_revision(12));
}

TEST_CASE("a transaction whose only attempt is refused was not applied")
{
    for (const int status : {503, 429}) {
        CAPTURE(status);
        const auto outcome = outcomeOfFirst<store_commit>(sendTransaction, status, "{}");
        REQUIRE(outcome.has_error());
        CHECK(outcome.error().kind == error_kind::Overloaded);
    }
}

TEST_CASE("a lease that has ended when its renewal is sent again is reported as ended")
{
    const auto outcome = outcomeOfResent<granted_lease>(renewLease, 404, "{}");
    REQUIRE(outcome.has_error());
    CHECK(outcome.error().kind == error_kind::NotFound);
}
