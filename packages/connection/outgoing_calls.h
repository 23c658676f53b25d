// Calls to workers and to the store over the HTTP client library. Every call ends in bounded time with a
// reply or an error that tells whether it may have taken effect.
#pragma once

#include "base/result.h"
#include "connection/http_requests.h"
#include "connection/store_api.h"
#include "connection/worker_api.h"

#include <functional>
#include <memory>

namespace sesamespar {

/// Pools of connections to workers and the store.
struct outgoing_calls;

/// Called once on a traffic thread. Errors: Unreachable if the call was certainly not sent (connection
/// refused), Unknown if it may have taken effect (timeout, connection lost, status 5xx), InvalidInput
/// if the answer was malformed or has another status, Overloaded if the receiver refused it for its rate
/// (status 429) or too many calls to it are under way already; then it was not sent.
using worker_done = std::function<void(result<worker_reply>)>;
using store_done = std::function<void(result<store_reply>)>;

/// Makes the pools. `store` is the address of the platform's store.
std::shared_ptr<outgoing_calls> makeOutgoingCalls(const address &store);

/// Calls a worker. The limit covers the whole call, the long-poll wait included.
void callWorker(
    outgoing_calls &calls, const address &worker, const worker_request &request, milliseconds limit, worker_done done);

/// Calls the store.
void callStore(outgoing_calls &calls, const store_request &request, milliseconds limit, store_done done);

/// Traffic with workers and with the store.
call_traffic workerTraffic(const outgoing_calls &calls);
call_traffic storeTraffic(const outgoing_calls &calls);

/// Cancels what is under way and waits until no callback runs or follows.
void stopOutgoingCalls(outgoing_calls &calls);

} // namespace sesamespar
