#include "connection/outgoing_calls.h"

#include "connection/codec.h"

#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace sesamespar {

namespace {

using web::http::client::http_client;

/// Calls under way to one address. The leader has at most one of each of the four types to a worker.
constexpr std::size_t callsPerAddress = 16;
/// Clients that are kept; idle ones above it are dropped. The largest fleet planned has 780 workers.
constexpr std::size_t clientLimit = 4096;
/// Largest announced answer. A full snapshot page is the largest answer there is.
constexpr std::size_t answerLimit = std::size_t{64} * 1024 * 1024;
/// The library's own limit only has to be above the limit of every call.
constexpr std::chrono::seconds libraryTimeout{300};

/// Callback with the body of the answer.
using body_done = std::function<void(result<std::string>)>;

struct traffic_counters {
    std::atomic<std::uint64_t> calls = 0;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
};

/// The client of one address and the number of its calls under way.
struct address_client {
    std::shared_ptr<http_client> client;
    std::size_t open = 0;
};

struct pending_call;

} // namespace

struct outgoing_calls {
    explicit outgoing_calls(address storeAddress)
        : store(std::move(storeAddress))
    {
    }
    ~outgoing_calls()
    {
        stopOutgoingCalls(*this);
    }
    outgoing_calls(const outgoing_calls &) = delete;
    outgoing_calls &operator=(const outgoing_calls &) = delete;

    const address store;
    traffic_counters workerCounters;
    traffic_counters storeCounters;

    std::mutex mutex;
    std::condition_variable idle;
    bool stopping = false;
    std::unordered_map<address, address_client> clients;
    std::unordered_set<pending_call *> pending;
};

namespace {

/// One call under way. It lives until its task and its timer have run; only then the pool counts it as over.
struct pending_call {
    pending_call(outgoing_calls &calls, traffic_counters &traffic, address receiver, body_done callback)
        : pool(calls)
        , counters(traffic)
        , to(std::move(receiver))
        , deadline(crossplat::threadpool::shared_instance().service())
        , done(std::move(callback))
    {
    }
    ~pending_call()
    {
        if (!admitted) {
            return;
        }
        const std::lock_guard lock(pool.mutex);
        pool.pending.erase(this);
        --pool.clients.at(to).open;
        if (pool.pending.empty()) {
            pool.idle.notify_all();
        }
    }
    pending_call(const pending_call &) = delete;
    pending_call &operator=(const pending_call &) = delete;

    outgoing_calls &pool;
    traffic_counters &counters;
    address to;
    boost::asio::steady_timer deadline;
    pplx::cancellation_token_source cancellation;
    body_done done;
    bool admitted = false; ///< Counted in the pool.
    std::atomic<bool> finished = false;
    /// The whole request was written at least once. It stays set when the library sends the request again.
    std::atomic<bool> written = false;
};

using pending_ref = std::shared_ptr<pending_call>;

/// Calls back once, with whatever comes first of the answer, a failure and the deadline.
void finish(const pending_ref &call, result<std::string> outcome)
{
    if (!call->finished.exchange(true)) {
        // Freed before the call counts as over, since it may refer to state of the caller.
        const body_done done = std::move(call->done);
        done(std::move(outcome));
    }
}

/// An empty variant of the same alternative.
template<typename... Alternatives>
std::variant<Alternatives...> sameAlternative(const std::variant<Alternatives...> &request)
{
    return std::visit(
        [](const auto &single) -> std::variant<Alternatives...> { return std::remove_cvref_t<decltype(single)>(); },
        request);
}

void startDeadline(const pending_ref &call, milliseconds limit)
{
    call->deadline.expires_after(limit);
    call->deadline.async_wait([call](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            finish(call, makeError(error_kind::Unknown, "call to " + call->to.value + " timed out"));
            call->cancellation.cancel();
        }
    });
}

error statusFault(const address &from, int status)
{
    const std::string message = from.value + " answered with status " + std::to_string(status);
    if (status == web::http::status_codes::TooManyRequests) {
        return makeError(error_kind::Overloaded, message);
    }
    return makeError(status >= 500 ? error_kind::Unknown : error_kind::InvalidInput, message);
}

/// A request that was never written whole cannot have taken effect. After that the library may have sent it
/// once more by itself, so not even a refused connection tells that it was not received.
error callFault(const pending_call &call, const std::string &problem)
{
    return makeError(call.written ? error_kind::Unknown : error_kind::Unreachable, call.to.value + ": " + problem);
}

/// Reads the body. It is read even if the status or the announced length already decides, because the library
/// ends the process when the failure of a body that nobody reads is not observed.
pplx::task<std::string> readBody(const pending_ref &call, const web::http::http_response &response)
{
    if (response.status_code() != web::http::status_codes::OK) {
        finish(call, statusFault(call->to, response.status_code()));
    }
    if (response.headers().content_length() > answerLimit) {
        finish(call, makeError(error_kind::InvalidInput, call->to.value + " announced too long an answer"));
        call->cancellation.cancel();
    }
    return response.extract_utf8string(true);
}

void handleOutcome(const pending_ref &call, const pplx::task<std::string> &body)
{
    try {
        std::string text = body.get();
        call->counters.bytesReceived += text.size();
        finish(call, std::move(text));
    } catch (const std::exception &problem) {
        finish(call, callFault(*call, problem.what()));
    }
    call->deadline.cancel();
}

web::http::http_request makeRequest(const pending_ref &call, const store_http_call &parts)
{
    web::http::http_request request(parts.method);
    request.set_request_uri(parts.target);
    if (!parts.body.empty()) {
        request.set_body(parts.body, "application/json");
        request.set_progress_handler([call](web::http::message_direction::direction direction, utility::size64_t) {
            if (direction == web::http::message_direction::upload) {
                call->written = true;
            }
        });
    }
    return request;
}

std::shared_ptr<http_client> makeClient(const address &to)
{
    web::http::client::http_client_config config;
    config.set_timeout(libraryTimeout);
    config.set_max_redirects(0);
    return std::make_shared<http_client>("http://" + to.value, config);
}

void dropIdleClients(outgoing_calls &calls)
{
    if (calls.clients.size() >= clientLimit) {
        std::erase_if(calls.clients, [](const auto &entry) { return entry.second.open == 0; });
    }
}

/// Takes a place among the calls to that address. Throws what the library throws for a malformed address.
result<std::shared_ptr<http_client>> admit(outgoing_calls &calls, const pending_ref &call)
{
    const std::lock_guard lock(calls.mutex);
    if (calls.stopping) {
        return makeError(error_kind::Unreachable, "calls to " + call->to.value + " have been stopped");
    }
    auto found = calls.clients.find(call->to);
    if (found == calls.clients.end()) {
        dropIdleClients(calls);
        found = calls.clients.emplace(call->to, address_client{makeClient(call->to), 0}).first;
    }
    if (found->second.open >= callsPerAddress) {
        return makeError(error_kind::Overloaded, "too many calls to " + call->to.value + " are under way");
    }
    ++found->second.open;
    calls.pending.insert(call.get());
    call->admitted = true;
    return found->second.client;
}

void send(const pending_ref &call, http_client &client, const store_http_call &parts, milliseconds limit)
{
    ++call->counters.calls;
    call->counters.bytesSent += parts.body.size();
    startDeadline(call, limit);
    client.request(makeRequest(call, parts), call->cancellation.get_token())
        .then([call](const web::http::http_response &response) { return readBody(call, response); })
        .then([call](const pplx::task<std::string> &body) { handleOutcome(call, body); });
}

void startCall(outgoing_calls &calls,
               traffic_counters &counters,
               const address &to,
               const store_http_call &parts,
               milliseconds limit,
               body_done done)
{
    const auto call = std::make_shared<pending_call>(calls, counters, to, std::move(done));
    try {
        const auto client = admit(calls, call);
        if (!client) {
            finish(call, client.error());
            return;
        }
        send(call, *client.value(), parts, limit);
    } catch (const std::exception &problem) {
        finish(call, makeError(error_kind::Unreachable, to.value + ": " + problem.what()));
        call->deadline.cancel();
    }
}

call_traffic readCounters(const traffic_counters &counters)
{
    return {counters.calls, counters.bytesSent, counters.bytesReceived};
}

} // namespace

std::shared_ptr<outgoing_calls> makeOutgoingCalls(const address &store)
{
    return std::make_shared<outgoing_calls>(store);
}

void callWorker(
    outgoing_calls &calls, const address &worker, const worker_request &request, milliseconds limit, worker_done done)
{
    store_http_call parts{"POST", workerRequestPath(request), encodeWorkerRequest(request)};
    // Only the alternative is needed to decode the answer, not the content.
    worker_request shape = sameAlternative(request);
    startCall(calls,
              calls.workerCounters,
              worker,
              parts,
              limit,
              [shape = std::move(shape), done = std::move(done)](result<std::string> body) {
                  done(body ? decodeWorkerReply(shape, body.value()) : result<worker_reply>(body.error()));
              });
}

void callStore(outgoing_calls &calls, const store_request &request, milliseconds limit, store_done done)
{
    store_request shape = sameAlternative(request);
    startCall(calls,
              calls.storeCounters,
              calls.store,
              encodeStoreRequest(request),
              limit,
              [shape = std::move(shape), done = std::move(done)](result<std::string> body) {
                  done(body ? decodeStoreReply(shape, body.value()) : result<store_reply>(body.error()));
              });
}

call_traffic workerTraffic(const outgoing_calls &calls)
{
    return readCounters(calls.workerCounters);
}

call_traffic storeTraffic(const outgoing_calls &calls)
{
    return readCounters(calls.storeCounters);
}

void stopOutgoingCalls(outgoing_calls &calls)
{
    std::vector<pplx::cancellation_token_source> sources;
    std::unique_lock lock(calls.mutex);
    calls.stopping = true;
    for (const pending_call *call : calls.pending) {
        sources.push_back(call->cancellation);
    }
    lock.unlock();
    for (const auto &source : sources) {
        source.cancel();
    }
    lock.lock();
    calls.idle.wait(lock, [&] { return calls.pending.empty(); });
}

} // namespace sesamespar
