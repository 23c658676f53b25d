#include "connection/front_end.h"

#include "base/log.h"
#include "connection/bearer_secrets.h"
#include "connection/codec.h"
#include "connection/front_end_routes.h"
#include "connection/http_guard.h"
#include "connection/reply_observer.h"
#include "connection/traffic_threads.h"

// Boost 1.74 uses std::exchange in a header of the HTTP library without including <utility>.
// clang-format off
#include <utility>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cpprest/http_listener.h>
#include <mutex>
#include <unordered_map>
// clang-format on

namespace sesamespar {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;

/// Attempts to open the listener on a free loopback port. Another process may bind the port after it was chosen and
/// before the listener binds it.
constexpr int maxPortAttempts = 16;

} // namespace

struct front_end : std::enable_shared_from_this<front_end> {
    front_end_sink sink;
    bearer_secrets secrets;
    std::unique_ptr<http_listener> listener;
    std::shared_ptr<http_guard> guard;
    std::atomic<std::uint64_t> nextId = 1;
    std::atomic<bool> stopped = false;
    std::mutex mutex;
    std::unordered_map<front_end_request_id, http_request> pending;

    front_end() = default;
    front_end(const front_end &) = delete;
    front_end &operator=(const front_end &) = delete;
    ~front_end()
    {
        stopFrontEnd(*this);
    }
};

namespace {

/// Sends a response without waiting for completion. A failure means that the connection has ended.
void sendResponse(const http_request &request, const http_response &response)
{
    observeReply(request.reply(response));
}

http_response makeResponse(const text_answer &answer)
{
    http_response response(static_cast<web::http::status_code>(answer.status));
    response.set_body(answer.body, answer.contentType);
    return response;
}

http_response makeResponse(const job_answer &answer)
{
    http_response response(static_cast<web::http::status_code>(httpStatus(answer)));
    response.set_body(encodeJobAnswer(answer), "application/json");
    const std::int64_t seconds = retryAfterSeconds(answer);
    if (seconds > 0) {
        response.headers().add("Retry-After", seconds);
    }
    return response;
}

http_response makeErrorResponse(int status, const std::string &problem)
{
    http_response response = makeResponse(text_answer{status, "application/json", encodeError(problem)});
    if (status == web::http::status_codes::ServiceUnavailable) {
        response.headers().add("Retry-After", 1);
    }
    if (status == web::http::status_codes::Unauthorized) {
        response.headers().add("WWW-Authenticate", "Bearer");
    }
    return response;
}

/// Removes a pending request from the table. Returns nothing if it is unknown or already completed.
std::optional<http_request> takePending(front_end &frontEnd, front_end_request_id id)
{
    const std::lock_guard lock(frontEnd.mutex);
    const auto found = frontEnd.pending.find(id);
    if (found == frontEnd.pending.end()) {
        return std::nullopt;
    }
    const http_request request = found->second;
    frontEnd.pending.erase(found);
    return request;
}

void submitCall(front_end &frontEnd, const http_request &request, front_end_call call)
{
    const front_end_request_id id(frontEnd.nextId++);
    {
        const std::lock_guard lock(frontEnd.mutex);
        frontEnd.pending.emplace(id, request);
    }
    if (!frontEnd.sink(front_end_request{id, std::move(call)})) {
        if (const auto refused = takePending(frontEnd, id)) {
            sendResponse(*refused, makeErrorResponse(503, "too many requests are waiting; this one was not run"));
        }
    }
}

void handleBody(front_end &frontEnd, const http_request &request, std::string body)
{
    auto parsed = routeRequest({request.method(), request.relative_uri().to_string(), std::move(body)});
    if (const auto *fault = std::get_if<route_error>(&parsed)) {
        sendResponse(request, makeErrorResponse(fault->status, fault->problem));
        return;
    }
    submitCall(frontEnd, request, std::get<front_end_call>(std::move(parsed)));
}

std::string authorizationOf(const http_request &request)
{
    const auto found = request.headers().find("Authorization");
    return found == request.headers().end() ? std::string() : found->second;
}

void handleRequest(front_end &frontEnd, const http_request &received)
{
    http_request request = received;
    const auto access = isCallerTarget(request.relative_uri().path()) ? call_access::Callers : call_access::Operators;
    if (!isAuthorized(frontEnd.secrets, access, authorizationOf(request))) {
        sendResponse(request, makeErrorResponse(401, "the bearer secret is missing or wrong"));
        return;
    }
    request.extract_utf8string(true).then(
        [self = frontEnd.shared_from_this(), request](const pplx::task<std::string> &read) {
            try {
                handleBody(*self, request, read.get());
            } catch (const std::exception &) {
                sendResponse(request, makeErrorResponse(400, "the body could not be read"));
            }
        });
}

/// Returns a loopback port that was free when it was probed. The HTTP library can neither bind to port 0 nor report
/// the port that it bound.
std::uint16_t chooseLoopbackPort()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor probe(context,
                                         boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return probe.local_endpoint().port();
}

void handleUnlessStopped(const std::shared_ptr<front_end> &frontEnd, const http_request &request)
{
    if (frontEnd && !frontEnd->stopped) {
        handleRequest(*frontEnd, request);
    } else {
        sendResponse(request, makeErrorResponse(503, "this daemon has stopped; the request was not run"));
    }
}

/// Closes the listener after the library's threads have processed the end of all connections that the guard closed.
/// Without that, close() raced with connections that the library was about to read from and crashed in about one run
/// of 30.
void closeListener(http_listener &listener)
{
    flushTrafficThreads();
    try {
        listener.close().get();
    } catch (const std::exception &problem) {
        log_event("listener_close_failed", log_level::Warning).with("reason", problem.what());
    }
}

/// Opens the listener on a free loopback port and returns the port.
result<std::uint16_t> openListener(front_end &frontEnd)
{
    std::string problem;
    for (int attempt = 0; attempt < maxPortAttempts; ++attempt) {
        try {
            const std::uint16_t port = chooseLoopbackPort();
            auto listener = std::make_unique<http_listener>("http://127.0.0.1:" + std::to_string(port));
            listener->support([weak = frontEnd.weak_from_this()](const http_request &request) {
                handleUnlessStopped(weak.lock(), request);
            });
            listener->open().get();
            frontEnd.listener = std::move(listener);
            return port;
        } catch (const std::exception &failure) {
            problem = failure.what();
        }
    }
    return makeError(error_kind::InvalidInput, "no loopback port for the HTTP listener: " + problem);
}

} // namespace

result<std::shared_ptr<front_end>> startFrontEnd(const daemon_settings &settings, front_end_sink sink)
{
    auto frontEnd = std::make_shared<front_end>();
    frontEnd->sink = std::move(sink);
    frontEnd->secrets = makeBearerSecrets(settings.callerSecret, settings.operatorSecret);
    const auto port = openListener(*frontEnd);
    if (!port) {
        return port.error();
    }
    guard_limits limits;
    limits.bodyBytes = settings.bodyLimit;
    limits.connections = settings.connectionLimit;
    auto guard = startHttpGuard(settings.http, port.value(), limits);
    if (!guard) {
        return guard.error();
    }
    frontEnd->guard = std::move(guard.value());
    return frontEnd;
}

address boundAddress(const front_end &frontEnd)
{
    return boundAddress(*frontEnd.guard);
}

void answerFrontEnd(front_end &frontEnd, front_end_request_id id, const front_end_answer &answer)
{
    if (const auto request = takePending(frontEnd, id)) {
        sendResponse(*request, std::visit([](const auto &single) { return makeResponse(single); }, answer));
    }
}

void refuseNewRequests(front_end &frontEnd)
{
    refuseNewRequests(*frontEnd.guard);
}

std::size_t openRequests(const front_end &frontEnd)
{
    return openRequests(*frontEnd.guard);
}

void stopFrontEnd(front_end &frontEnd)
{
    if (frontEnd.stopped.exchange(true)) {
        return;
    }
    if (frontEnd.guard) {
        stopHttpGuard(*frontEnd.guard);
    }
    std::unordered_map<front_end_request_id, http_request> unanswered;
    {
        const std::lock_guard lock(frontEnd.mutex);
        unanswered.swap(frontEnd.pending);
    }
    for (const auto &entry : unanswered) {
        sendResponse(entry.second, makeErrorResponse(504, "this daemon has stopped; the outcome is unknown"));
    }
    if (frontEnd.listener) {
        closeListener(*frontEnd.listener);
    }
}

} // namespace sesamespar
