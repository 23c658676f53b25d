// The guard listens on the public address and bounds what a sender can cost before the HTTP library sees
// anything of a request: the library has no read timeout and no limits of head, body or connections. It
// passes whole requests on to the library's listener on a loopback port.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <memory>

namespace sesamespar {

/// Limits on callers.
struct guard_limits {
    std::uint64_t bodyBytes = 0;
    std::uint32_t connections = 0;
    milliseconds request{10000}; ///< From the first byte of a request, or the accept, to its last byte.
    milliseconds idle{60000}; ///< Between two requests on one connection.
    milliseconds answer{90000}; ///< Until the library answers; the longest wait of a caller and 30 s more.
    milliseconds write{30000}; ///< From the first to the last byte of an answer.
    milliseconds linger{2000}; ///< Reads on after a fault, so that the sender gets the status and no reset.
};

/// The running guard with its thread.
struct http_guard;

/// Listens on `listen` and passes requests on to `127.0.0.1:port`. Errors: InvalidInput if the address cannot
/// be bound.
result<std::shared_ptr<http_guard>>
startHttpGuard(const address &listen, std::uint16_t port, const guard_limits &limits);

/// Address that it listens on, with the port that the kernel chose.
address boundAddress(const http_guard &guard);

/// Answers every request that is not yet passed on with status 503.
void refuseNewRequests(http_guard &guard);

/// Whole requests whose answer is not yet written to the caller's socket to its last byte.
std::size_t openRequests(const http_guard &guard);

/// Closes all connections and ends the thread.
void stopHttpGuard(http_guard &guard);

} // namespace sesamespar
