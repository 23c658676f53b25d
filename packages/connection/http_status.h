// HTTP status codes that clients and listeners use by name.
#pragma once

namespace sesamespar::http_status {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int notFound = 404;
constexpr int notAllowed = 405;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int preconditionFailed = 412;
constexpr int tooLarge = 413;
constexpr int misdirected = 421;
constexpr int tooManyRequests = 429;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

} // namespace sesamespar::http_status
