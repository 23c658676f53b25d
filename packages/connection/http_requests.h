// Asynchronous HTTP calls to other processes: connection pools, a deadline for each call, and errors that distinguish
// requests that were not sent from requests that may have taken effect.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "connection/traffic_ledger.h"

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace sesamespar {

/// Connection pools, one for each address.
struct http_requests;

/// A header field of a request.
struct http_field {
    std::string name;
    std::string value;
};

/// A request. The body is JSON; an empty body is not sent.
struct outgoing_request {
    std::string method;
    std::string target; ///< Path and query, percent-encoded.
    std::string body;
    std::vector<http_field> fields;
    traffic_totals *traffic = nullptr; ///< Counts the call, if set. Must outlive it.
    /// Time without an answer after which later calls to the address use new connections, because the open ones may
    /// pass nothing; 0 for the limit of the call.
    milliseconds suspectAfter{0};
    /// The request reaches its receiver at most once: the library's own second attempt is stopped before the body is
    /// written, and the call ends with Unknown.
    bool once = false;
    /// Time within which the body must be written. Afterwards the call ends with Unreachable and the receiver cannot
    /// carry the request out, even if this process was paused meanwhile; 0 for the limit of the call.
    milliseconds writeWithin{0};
    /// If set, the body is written on this connection only. If it has ended, the call ends with Unreachable.
    connection_number connection;
};

/// A complete answer, whatever its status.
struct http_reply {
    int status = 0;
    std::string body;
    /// The library sent the request more than once, because a reused connection ended before the answer. The answer is
    /// that to the last attempt; the receiver may have carried out an earlier one, or may do so later.
    bool resent = false;
    /// The connection that carried the answer; 0 if the pool keeps more than one connection to the address.
    connection_number connection;
};

/// Called exactly once for each request, on a traffic thread or, if the request is rejected before it is sent, on the
/// thread that calls sendHttp. Errors: Unreachable if the request was not sent, Unknown if it may have taken effect,
/// InvalidInput if the answer is too long, Overloaded if the request was not sent because too many calls to the address
/// are in progress or wait.
using http_done = std::function<void(result<http_reply>)>;

/// Error for an answer that refuses a call. Its kind is `kind` if the refusal proves that the call had no effect, and
/// Unknown if the request was sent more than once.
error refusalError(const http_reply &reply, error_kind kind, std::string message);

/// Number of calls and bytes of their bodies since the start.
struct call_traffic {
    std::uint64_t calls = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// Limits of the calls to one address.
struct http_limits {
    std::size_t calls = 0; ///< Number of calls in progress, each on a connection of its own.
    /// Number of further calls that wait for a connection, in order and within their limits.
    std::size_t waiting = 0;
    /// Number of connections that are kept open for later calls. Calls beyond it use connections of their own, which
    /// are closed once no call waits for them. Reliable for requests with a body only: the library may return a
    /// connection late after other requests.
    std::size_t kept = std::numeric_limits<std::size_t>::max();
};

/// Creates empty pools.
std::shared_ptr<http_requests> makeHttpRequests(const http_limits &perAddress);

/// Sends a request. `limit` bounds the whole call, from sending the request to reading the answer.
void sendHttp(
    http_requests &requests, const address &to, const outgoing_request &message, milliseconds limit, http_done done);

/// The connection that a call to the address would use now; 0 if it would open one or wait. Meaningful for pools that
/// keep one connection to each address.
connection_number keptConnection(http_requests &requests, const address &to);

/// Traffic of all calls.
call_traffic httpTraffic(const http_requests &requests);

/// Cancels all calls and waits for their callbacks. Later requests end with Unreachable.
void stopHttpRequests(http_requests &requests);

} // namespace sesamespar
