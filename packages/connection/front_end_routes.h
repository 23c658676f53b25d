// From an HTTP request to a checked call. Knows methods, paths and fields, but neither sockets nor secrets.
#pragma once

#include "connection/front_end.h"

#include <string>
#include <variant>

namespace sesamespar {

/// The parts of an HTTP request that say what it asks for.
struct http_request_parts {
    std::string method;
    std::string target; ///< Path and query, percent-encoded.
    std::string body;
};

/// Why a request is not taken.
struct route_fault {
    int status = 400; ///< 400 malformed, 404 no such path, 405 method not used there.
    std::string problem; ///< Names the field or parameter.
};

/// True if the secret of callers is enough for the target; otherwise it takes that of operators.
bool isCallersTarget(const std::string &target);

/// Checks a request and says what it asks for. Never throws.
std::variant<front_end_call, route_fault> routeRequest(const http_request_parts &request);

/// HTTP status of an answer about a job.
int httpStatus(const job_answer &answer);

/// Value of Retry-After in whole seconds, at least 1; 0 if the answer has none.
std::int64_t retryAfterSeconds(const job_answer &answer);

} // namespace sesamespar
