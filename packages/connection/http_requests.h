// HTTP calls to other processes over the HTTP client library: pooled connections, one deadline for each call, and
// an error that tells whether the receiver may have acted on the request.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sesamespar {

/// Pools of connections, one for each address.
struct http_requests;

/// A header field of a request.
struct http_field {
    std::string name;
    std::string value;
};

/// One request. The body is JSON; it is not sent if it is empty.
struct outgoing_request {
    std::string method;
    std::string target; ///< Path with its query, percent-encoded.
    std::string body;
    std::vector<http_field> fields;
};

/// An answer with any status.
struct http_reply {
    int status = 0;
    std::string body;
};

/// Called once on a traffic thread. Errors: Unreachable if the request was certainly not sent, Unknown if it may
/// have taken effect, InvalidInput if the answer is too long, Overloaded if too many calls to the address are under
/// way; then it was not sent.
using http_done = std::function<void(result<http_reply>)>;

/// Traffic so far, bodies only.
struct call_traffic {
    std::uint64_t calls = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// Makes the pools. At most `callsPerAddress` calls to one address are under way at a time.
std::shared_ptr<http_requests> makeHttpRequests(std::size_t callsPerAddress);

/// Sends a request. The limit covers the whole call.
void sendHttp(
    http_requests &requests, const address &to, const outgoing_request &parts, milliseconds limit, http_done done);

/// Traffic of all calls.
call_traffic httpTraffic(const http_requests &requests);

/// Cancels what is under way and waits until no callback runs or follows.
void stopHttpRequests(http_requests &requests);

} // namespace sesamespar
