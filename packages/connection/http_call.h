// One HTTP call to a daemon, with what is known about its delivery. Hides the HTTP library.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <memory>
#include <string>

namespace sesamespar {

/// What is known about an attempt.
enum class call_delivery {
    Answered, ///< The whole answer was read.
    NotSent, ///< No connection was made, so the daemon has seen nothing.
    Uncertain, ///< The daemon may have acted on the request.
};

/// What came of an attempt.
struct http_outcome {
    call_delivery delivery = call_delivery::Uncertain;
    int status = 0; ///< HTTP status if answered.
    std::string body;
    std::string problem; ///< Why there is no answer, in one sentence.
};

/// One request.
struct http_call {
    std::string method; ///< GET, PUT, POST or DELETE.
    std::string path; ///< With its query, percent-encoded.
    std::string body;
    std::string contentType; ///< Of the body; empty if there is none.
};

/// Bounds the threads that the HTTP library starts, 40 by default. Has no effect after its first use.
void limitHttpThreads(unsigned threads);

/// Connections to one daemon.
struct http_endpoint;
using http_endpoint_ptr = std::shared_ptr<http_endpoint>;

/// Makes the connections to a daemon; connects to nothing yet. Null if the address is malformed. `silence` bounds
/// the time in which no byte arrives.
http_endpoint_ptr makeHttpEndpoint(const address &daemon, const std::string &secret, milliseconds silence);

/// Makes one call and blocks until it is answered or has failed. `reused` tells that earlier calls went through
/// the same endpoint: the library may then send the request again on a new connection, and a failure to connect
/// proves nothing.
http_outcome performCall(http_endpoint &endpoint, const http_call &call, bool reused);

/// Percent-encodes a path segment or the value of a query.
std::string encodeSegment(const std::string &text);

} // namespace sesamespar
