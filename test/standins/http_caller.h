// Blocking HTTP client for the stand-ins and the tests.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <string>

namespace sesamespar::standins {

/// A request to send.
struct outgoing_http {
    address to;
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::string bearer; ///< Secret for the Authorization header; empty sends none.
    milliseconds limit{10000}; ///< Timeout.
};

/// Response to a request.
struct http_reply {
    int status = 0;
    std::string body;
};

/// Sends the request and waits for the complete response. Errors: Unknown if none arrives within the timeout.
result<http_reply> sendHttp(const outgoing_http &call);

/// Percent-encodes a path segment or a query parameter.
std::string percentEncode(const std::string &plain);

} // namespace sesamespar::standins
