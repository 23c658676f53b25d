// Blocking HTTP calls for the stand-ins and the tests.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <string>

namespace sesamespar::standins {

/// A call to send.
struct outgoing_http {
    address to;
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::string bearer; ///< Secret for the Authorization header; empty sends none.
    milliseconds limit{10000};
};

/// What came back.
struct http_reply {
    int status = 0;
    std::string body;
};

/// Sends the call and waits for the whole answer. Errors: Unknown if no answer came within the limit.
result<http_reply> sendHttp(const outgoing_http &call);

/// Percent-encodes a part of a path or a query.
std::string percentEncode(const std::string &plain);

} // namespace sesamespar::standins
