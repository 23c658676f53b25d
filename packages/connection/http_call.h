// Blocking HTTP calls to a daemon, each with its delivery state. Keeps the HTTP library out of other headers.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <memory>
#include <string>

namespace sesamespar {

/// Whether the daemon may have received a call.
enum class call_delivery {
    Answered, ///< The complete answer was read.
    NotSent, ///< No connection was made, so the daemon received nothing.
    Uncertain, ///< The daemon may have acted on the request.
};

/// Outcome of a call.
struct http_outcome {
    call_delivery delivery = call_delivery::Uncertain;
    int status = 0; ///< HTTP status if answered.
    /// The library sent the request more than once. The answer is that to the last attempt; an earlier one may have
    /// taken effect.
    bool resent = false;
    std::string body;
    std::string problem; ///< Why there is no answer; empty if answered.
};

/// Request of a call.
struct http_call {
    std::string method; ///< GET, PUT, POST or DELETE.
    std::string path; ///< Path and query, percent-encoded.
    std::string body;
    std::string contentType; ///< Of the body; empty if there is none.
};

/// Sets the number of threads of the HTTP library, which starts 40 by default. Has no effect once the library is in
/// use.
void limitHttpThreads(unsigned threads);

/// The connections to one daemon.
struct http_endpoint;
using http_endpoint_ptr = std::shared_ptr<http_endpoint>;

/// Creates the endpoint of a daemon without connecting. Returns null if the address is malformed. A call fails if no
/// byte arrives for `idleTimeout`.
http_endpoint_ptr makeHttpEndpoint(const address &daemon, const std::string &secret, milliseconds idleTimeout);

/// Makes one call and blocks until it is answered or has failed. Set `reused` if the endpoint may have served other
/// calls: the library may then send the request a second time on a new connection, and a failure to connect does not
/// prove that the daemon received nothing.
http_outcome performCall(http_endpoint &endpoint, const http_call &call, bool reused);

/// Percent-encodes a path segment or the value of a query parameter.
std::string encodeSegment(const std::string &text);

} // namespace sesamespar
