// Routing and validation: turns an HTTP request into a validated call. Independent of sockets and authentication.
#pragma once

#include "connection/front_end.h"

#include <string>
#include <variant>

namespace sesamespar {

/// The parts of an HTTP request that determine its call.
struct http_request_parts {
    std::string method;
    std::string target; ///< Path and query, percent-encoded.
    std::string body;
};

/// Why a request is rejected.
struct route_error {
    int status = 400; ///< 400 malformed, 404 unknown path, 405 method not allowed for the path.
    std::string problem; ///< Message for the sender; starts with the field or parameter if one is at fault.
};

/// True if the target is open to callers; all other targets need the operators' secret.
bool isCallerTarget(const std::string &target);

/// Validates a request and returns its call. Never throws.
std::variant<front_end_call, route_error> routeRequest(const http_request_parts &request);

/// HTTP status for an answer about a job.
int httpStatus(const job_answer &answer);

/// Value of the Retry-After header in whole seconds, rounded up; 0 if the answer has no such header.
std::int64_t retryAfterSeconds(const job_answer &answer);

} // namespace sesamespar
