#include "connection/http_requests.h"

#include <cpprest/http_client.h>
#include <netinet/tcp.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace sesamespar {

namespace {

using web::http::client::http_client;

/// Number of clients above which idle clients are dropped. The largest planned fleet has 780 workers.
constexpr std::size_t maxClients = 4096;
/// Largest Content-Length of an answer. The largest answers are full snapshot pages.
constexpr std::size_t maxAnswerBytes = std::size_t{64} * 1024 * 1024;
/// The library's own timeout; must be above the limit of every call, so that the deadline of the call ends it first.
constexpr std::chrono::seconds libraryTimeout{300};

/// Closes a connection whose data stays unacknowledged for this long, to detect a peer that lost power or network
/// access. Half of 3 s, the shortest time in which the platform's machines must detect a lost connection.
constexpr unsigned tcpUserTimeoutMs = 1500;

struct traffic_counters {
    std::atomic<std::uint64_t> calls = 0;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
};

struct pending_call;

/// Number of a new connection. The numbers of a process begin at random, so that they differ from those of others.
connection_number nextConnection()
{
    static std::atomic<std::uint64_t> latest = [] {
        std::random_device entropy;
        return (std::uint64_t(entropy()) << 32U) | entropy();
    }();
    return connection_number(++latest);
}

/// A client of the library, and the connections that it has opened.
struct tracked_client {
    std::unique_ptr<http_client> client;
    std::mutex mutex;
    std::unordered_map<const void *, connection_number> connections; ///< By socket.
    connection_number latest; ///< Of the latest request.
};

/// Notes the socket of a request, which the library shows before it uses the socket. It is not open yet if the
/// connection is new.
void trackConnection(tracked_client &tracked, const void *socket, bool open)
{
    constexpr std::size_t maxTracked = 64;
    const std::lock_guard lock(tracked.mutex);
    if (tracked.connections.size() >= maxTracked) {
        // The sockets that are still in use count as new connections.
        tracked.connections.clear();
    }
    connection_number &connection = tracked.connections[socket];
    if (!open || connection.value == 0) {
        connection = nextConnection();
    }
    tracked.latest = connection;
}

connection_number connectionOf(tracked_client &tracked)
{
    const std::lock_guard lock(tracked.mutex);
    return tracked.latest;
}

/// A call that waits for a connection.
struct waiting_call {
    std::shared_ptr<pending_call> call;
    outgoing_request message;
};

/// The client of one address, its calls in progress, and the calls that wait for one of these to end.
struct address_client {
    explicit address_client(std::shared_ptr<tracked_client> httpClient)
        : client(std::move(httpClient))
    {
    }

    std::shared_ptr<tracked_client> client; ///< Keeps its connections open for later calls.
    std::size_t openCalls = 0; ///< With a connection, of `client` or of their own.
    std::size_t openKept = 0; ///< Those of them that use a connection of `client`.
    std::deque<waiting_call> waiting;
};

} // namespace

struct http_requests {
    explicit http_requests(const http_limits &perAddress)
        : limits(perAddress)
    {
    }
    ~http_requests()
    {
        stopHttpRequests(*this);
    }
    http_requests(const http_requests &) = delete;
    http_requests &operator=(const http_requests &) = delete;

    const http_limits limits;
    traffic_counters counters;

    std::mutex mutex;
    std::condition_variable idle;
    bool stopping = false;
    std::unordered_map<address, std::shared_ptr<address_client>> clients;
    std::unordered_set<pending_call *> pending;
};

namespace {

/// A call that is in progress or waits. It lives until its task and its timer have run; only then does the pool count
/// it as finished.
struct pending_call {
    pending_call(http_requests &requests, address receiver, http_done callback)
        : pool(requests)
        , to(std::move(receiver))
        , deadline(crossplat::threadpool::shared_instance().service())
        , suspicion(crossplat::threadpool::shared_instance().service())
        , done(std::move(callback))
    {
    }
    ~pending_call();
    pending_call(const pending_call &) = delete;
    pending_call &operator=(const pending_call &) = delete;

    http_requests &pool;
    address to;
    boost::asio::steady_timer deadline;
    boost::asio::steady_timer suspicion;
    pplx::cancellation_token_source cancellation;
    http_done done;
    std::shared_ptr<address_client> client; ///< Set when the pool admits the call.
    /// The library's client that has the connection of the call; null while the call waits. Guarded by the pool until
    /// the call is handed to the library.
    std::shared_ptr<tracked_client> sender;
    bool kept = false; ///< The sender is the shared one of the address; otherwise it closes its connection at its end.
    traffic_totals *traffic = nullptr;
    bool once = false; ///< See outgoing_request.
    connection_number connection; ///< See outgoing_request.
    time_point writeBy; ///< In uptime.
    std::atomic<bool> finished = false;
    /// Number of times the library has begun to write the body. It sends a request again by itself if a reused
    /// connection ends before the answer. Requests without a body, which read or end a lease, have the same effect if
    /// repeated and are not counted.
    std::atomic<unsigned> attempts = 0;
};

using pending_ref = std::shared_ptr<pending_call>;

/// Runs the callback unless it has already run. The first of answer, failure and deadline determines the outcome.
void finish(const pending_ref &call, result<http_reply> outcome)
{
    if (!call->finished.exchange(true)) {
        // Destroyed before the call counts as finished, because the callback may refer to state of its owner.
        const http_done done = std::move(call->done);
        done(std::move(outcome));
    }
}

/// Discards the connections to an address. After a call without an answer the idle connections may be dead as well.
void dropConnections(const pending_call &call)
{
    const std::lock_guard lock(call.pool.mutex);
    const auto found = call.pool.clients.find(call.to);
    if (found != call.pool.clients.end() && found->second == call.client) {
        call.pool.clients.erase(found);
    }
}

/// Removes a call from those that wait for a connection. Returns false if it does not wait.
bool leaveQueue(const pending_call &call)
{
    const std::lock_guard lock(call.pool.mutex);
    return call.client
        && std::erase_if(call.client->waiting, [&call](const waiting_call &each) { return each.call.get() == &call; })
        > 0;
}

void startDeadline(const pending_ref &call, milliseconds limit)
{
    call->deadline.expires_after(limit);
    call->deadline.async_wait([call](const boost::system::error_code &cancelled) {
        if (cancelled || call->finished) {
            return;
        }
        if (leaveQueue(*call)) {
            finish(call,
                   makeError(error_kind::Unreachable, "no connection to " + call->to.value + " was free in time"));
            return;
        }
        dropConnections(*call);
        finish(call, makeError(error_kind::Unknown, "call to " + call->to.value + " timed out"));
        call->suspicion.cancel();
        call->cancellation.cancel();
    });
}

/// Discards the connections to the address of a call that has no answer by then.
void startSuspicion(const pending_ref &call, milliseconds after)
{
    call->suspicion.expires_after(after);
    call->suspicion.async_wait([call](const boost::system::error_code &cancelled) {
        if (!cancelled && !call->finished) {
            dropConnections(*call);
        }
    });
}

/// Error of a failed call. A request whose body was never written cannot have taken effect. After an attempt even a
/// refused connection does not prove that the request was not received, since it may be that of a later attempt.
error callError(const pending_call &call, const std::string &problem)
{
    return makeError(call.attempts > 0 ? error_kind::Unknown : error_kind::Unreachable, call.to.value + ": " + problem);
}

/// Ends the call before its body is written. The exception makes the library give the attempt up; the cancellation
/// closes the connection, which would otherwise be reused after an incomplete request.
[[noreturn]] void stopAttempt(pending_call &call, const char *reason)
{
    dropConnections(call);
    call.cancellation.cancel();
    throw std::runtime_error(reason);
}

/// Admits or stops an attempt to send the request whose head is written. Counts it, and in the traffic each attempt but
/// the first.
void beginAttempt(pending_call &call)
{
    if (call.attempts > 0 && call.traffic != nullptr) {
        ++call.traffic->resent;
    }
    if (call.attempts > 0 && call.once) {
        stopAttempt(call, "the connection ended before the answer");
    }
    if (call.connection.value != 0 && connectionOf(*call.sender) != call.connection) {
        stopAttempt(call, "the connection of the request has ended");
    }
    if (readClocks().uptime > call.writeBy) {
        stopAttempt(call, "the request was not written in time");
    }
    ++call.attempts;
}

/// Size of the status line and the header fields of an answer.
std::size_t headerBytes(const web::http::http_headers &headers)
{
    constexpr std::size_t statusLine = 19;
    constexpr std::size_t separators = 4;
    std::size_t size = statusLine;
    for (const auto &[name, value] : headers) {
        size += name.size() + value.size() + separators;
    }
    return size;
}

/// Counts a request with an estimate of the fields that the library adds.
void countSent(traffic_totals &totals, const outgoing_request &message)
{
    constexpr std::size_t libraryFields = 150;
    ++totals.calls;
    totals.sent += libraryFields + message.target.size() + message.body.size();
    for (const http_field &field : message.fields) {
        totals.sent += field.name.size() + field.value.size();
    }
}

/// Reads the body of an answer. The body is read even if Content-Length is above the limit, because the library
/// terminates the process if reading an answer fails and nothing observes the failure.
pplx::task<http_reply> readBody(const pending_ref &call, const web::http::http_response &response)
{
    if (response.headers().content_length() > maxAnswerBytes) {
        finish(call, makeError(error_kind::InvalidInput, call->to.value + " announced an answer above the size limit"));
        call->cancellation.cancel();
    }
    if (call->traffic != nullptr) {
        call->traffic->received += headerBytes(response.headers()) + response.headers().content_length();
    }
    return response.extract_utf8string(true).then([call, status = response.status_code()](std::string body) {
        // With several connections, later requests may have used another one meanwhile.
        const bool single = call->pool.limits.kept == 1;
        return http_reply{
            status, std::move(body), call->attempts > 1, single ? connectionOf(*call->sender) : connection_number()};
    });
}

void handleOutcome(const pending_ref &call, const pplx::task<http_reply> &answer)
{
    try {
        http_reply reply = answer.get();
        call->pool.counters.bytesReceived += reply.body.size();
        finish(call, std::move(reply));
    } catch (const std::exception &problem) {
        finish(call, callError(*call, problem.what()));
    }
    call->deadline.cancel();
    call->suspicion.cancel();
}

web::http::http_request makeRequest(const pending_ref &call, const outgoing_request &message)
{
    web::http::http_request request(message.method);
    request.set_request_uri(message.target);
    for (const http_field &field : message.fields) {
        request.headers().add(field.name, field.value);
    }
    if (!message.body.empty()) {
        request.set_body(message.body, "application/json");
        // Each attempt reports a progress of 0 bytes once its head is written.
        request.set_progress_handler(
            [call](web::http::message_direction::direction direction, utility::size64_t bytes) {
                if (direction == web::http::message_direction::upload && bytes == 0) {
                    beginAttempt(*call);
                }
            });
    }
    return request;
}

std::shared_ptr<tracked_client> makeClient(const address &to)
{
    auto tracked = std::make_shared<tracked_client>();
    web::http::client::http_client_config config;
    config.set_timeout(libraryTimeout);
    config.set_max_redirects(0);
    config.set_nativehandle_options([weak = std::weak_ptr(tracked)](web::http::client::native_handle handle) {
        auto *socket = static_cast<boost::asio::ip::tcp::socket *>(handle);
        if (const auto self = weak.lock()) {
            trackConnection(*self, handle, socket->is_open());
        }
        if (socket->is_open()) {
            const unsigned limit = tcpUserTimeoutMs;
            setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
            socket->set_option(boost::asio::ip::tcp::no_delay(true));
            // The kernel would otherwise go on sending the request of a call that has timed out.
            socket->set_option(boost::asio::socket_base::linger(true, 0));
        }
    });
    tracked->client = std::make_unique<http_client>("http://" + to.value, config);
    return tracked;
}

void dropIdleClients(http_requests &requests)
{
    if (requests.clients.size() >= maxClients) {
        std::erase_if(requests.clients, [](const auto &entry) { return entry.second->openCalls == 0; });
    }
}

/// Ends a call that was not handed to the library.
void endUnsent(const pending_ref &call, error problem)
{
    finish(call, std::move(problem));
    call->deadline.cancel();
    call->suspicion.cancel();
}

/// Gives the call a connection: one that is kept or, if as many as may be kept are in use, one of its own.
void takeConnection(const http_limits &limits, address_client &client, pending_call &call)
{
    call.kept = client.openKept < limits.kept;
    call.sender = call.kept ? client.client : makeClient(call.to);
    ++client.openCalls;
    client.openKept += call.kept ? 1 : 0;
}

/// Registers the call with the client of its address. Returns whether it has a connection; otherwise it waits for one.
/// Throws an exception of the HTTP library if the address is malformed. Errors: those of a request that is not sent.
result<bool> admit(http_requests &requests, const pending_ref &call, const outgoing_request &message)
{
    const std::lock_guard lock(requests.mutex);
    if (requests.stopping) {
        return makeError(error_kind::Unreachable,
                         "call to " + call->to.value + " was not sent: the HTTP client has been stopped");
    }
    auto found = requests.clients.find(call->to);
    if (found == requests.clients.end()) {
        dropIdleClients(requests);
        found = requests.clients.emplace(call->to, std::make_shared<address_client>(makeClient(call->to))).first;
    }
    address_client &client = *found->second;
    const bool connected = client.openCalls < requests.limits.calls;
    if (connected) {
        takeConnection(requests.limits, client, *call);
    } else if (client.waiting.size() < requests.limits.waiting) {
        client.waiting.push_back({call, message});
    } else {
        return makeError(error_kind::Overloaded, "too many calls to " + call->to.value + " are in progress or wait");
    }
    requests.pending.insert(call.get());
    call->client = found->second;
    return connected;
}

/// Hands an admitted call that has a connection to the library.
void transmit(const pending_ref &call, const outgoing_request &message)
{
    if (call->connection.value != 0 && connectionOf(*call->sender) != call->connection) {
        endUnsent(call, makeError(error_kind::Unreachable, "the connection to " + call->to.value + " has ended"));
        return;
    }
    try {
        ++call->pool.counters.calls;
        call->pool.counters.bytesSent += message.body.size();
        if (message.traffic != nullptr) {
            countSent(*message.traffic, message);
        }
        call->sender->client->request(makeRequest(call, message), call->cancellation.get_token())
            .then([call](const web::http::http_response &response) { return readBody(call, response); })
            .then([call](const pplx::task<http_reply> &answer) { handleOutcome(call, answer); });
    } catch (const std::exception &problem) {
        endUnsent(call, makeError(error_kind::Unreachable, call->to.value + ": " + problem.what()));
    }
}

/// Gives the connection of a call that has ended to the first waiting one, and returns the calls to continue with: that
/// one, or all waiting ones if the pool stops.
std::deque<waiting_call> takeWaiting(const pending_call &ended)
{
    address_client &client = *ended.client;
    std::deque<waiting_call> taken;
    if (!ended.sender) {
        return taken;
    }
    if (!client.waiting.empty() && !ended.pool.stopping) {
        taken.push_back(std::move(client.waiting.front()));
        client.waiting.pop_front();
        taken.front().call->sender = ended.sender;
        taken.front().call->kept = ended.kept;
        return taken;
    }
    taken.swap(client.waiting);
    --client.openCalls;
    client.openKept -= ended.kept ? 1 : 0;
    return taken;
}

pending_call::~pending_call()
{
    if (!client) {
        return;
    }
    std::deque<waiting_call> next;
    {
        const std::lock_guard lock(pool.mutex);
        next = takeWaiting(*this);
        pool.pending.erase(this);
        if (pool.pending.empty()) {
            pool.idle.notify_all();
        }
    }
    for (const waiting_call &each : next) {
        if (each.call->sender) {
            transmit(each.call, each.message);
        } else {
            endUnsent(each.call, makeError(error_kind::Unreachable, "the HTTP client has been stopped"));
        }
    }
}

} // namespace

std::shared_ptr<http_requests> makeHttpRequests(const http_limits &perAddress)
{
    return std::make_shared<http_requests>(perAddress);
}

void sendHttp(
    http_requests &requests, const address &to, const outgoing_request &message, milliseconds limit, http_done done)
{
    const auto call = std::make_shared<pending_call>(requests, to, std::move(done));
    call->traffic = message.traffic;
    call->once = message.once;
    call->connection = message.connection;
    call->writeBy = readClocks().uptime + (message.writeWithin.count() > 0 ? message.writeWithin : limit);
    // The timers start first, since another thread may transmit a call as soon as it waits.
    startDeadline(call, limit);
    if (message.suspectAfter.count() > 0 && message.suspectAfter < limit) {
        startSuspicion(call, message.suspectAfter);
    }
    try {
        const result<bool> connected = admit(requests, call, message);
        if (!connected) {
            endUnsent(call, connected.error());
        } else if (connected.value()) {
            transmit(call, message);
        }
    } catch (const std::exception &problem) {
        endUnsent(call, makeError(error_kind::Unreachable, to.value + ": " + problem.what()));
    }
}

connection_number keptConnection(http_requests &requests, const address &to)
{
    const std::lock_guard lock(requests.mutex);
    const auto found = requests.clients.find(to);
    const bool free = found != requests.clients.end() && found->second->openKept == 0;
    return free ? connectionOf(*found->second->client) : connection_number();
}

error refusalError(const http_reply &reply, error_kind kind, std::string message)
{
    if (!reply.resent) {
        return makeError(kind, std::move(message));
    }
    return makeError(error_kind::Unknown, message + " to a second attempt, and the first may have taken effect");
}

call_traffic httpTraffic(const http_requests &requests)
{
    return {requests.counters.calls, requests.counters.bytesSent, requests.counters.bytesReceived};
}

void stopHttpRequests(http_requests &requests)
{
    std::vector<pplx::cancellation_token_source> sources;
    std::unique_lock lock(requests.mutex);
    requests.stopping = true;
    for (const pending_call *call : requests.pending) {
        sources.push_back(call->cancellation);
    }
    lock.unlock();
    for (const auto &source : sources) {
        source.cancel();
    }
    lock.lock();
    requests.idle.wait(lock, [&] { return requests.pending.empty(); });
}

} // namespace sesamespar
