// Reverse proxy in front of the HTTP library's listener. It listens on the public address, enforces read timeouts and
// limits on heads, bodies and connections, which the library lacks, and forwards only complete requests to the
// library's listener on a loopback port.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <memory>

namespace sesamespar {

/// Limits on callers, and timeouts.
struct guard_limits {
    std::uint64_t bodyBytes = 0;
    std::uint32_t connections = 0;
    milliseconds request{10000}; ///< From the accept, or the first byte of a later request, to its last byte.
    milliseconds idle{60000}; ///< Between two requests on one connection.
    milliseconds answer{90000}; ///< Until the library answers: the longest wait of a caller (60 s) and 30 s more.
    milliseconds write{30000}; ///< From the first to the last byte of an answer.
    milliseconds linger{2000}; ///< Reading continues this long after an error, so that no reset discards the answer.
};

/// A running guard and its thread.
struct http_guard;

/// Starts a guard that listens on `listen` and forwards requests to `127.0.0.1:port`. Errors: InvalidInput if the
/// address cannot be bound.
result<std::shared_ptr<http_guard>>
startHttpGuard(const address &listen, std::uint16_t port, const guard_limits &limits);

/// The listening address, with the actual port if `listen` has port 0.
address boundAddress(const http_guard &guard);

/// From now on answers each request that is not yet forwarded with status 503.
void refuseNewRequests(http_guard &guard);

/// Number of completely received requests whose answer is not yet written completely to the caller's socket.
std::size_t openRequests(const http_guard &guard);

/// Closes the listener and all connections and joins the thread.
void stopHttpGuard(http_guard &guard);

} // namespace sesamespar
