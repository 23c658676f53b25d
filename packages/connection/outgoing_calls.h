// Typed calls to workers and to the store over HTTP. Every call ends in bounded time with a reply or with an error that
// says whether the call may have taken effect.
#pragma once

#include "base/result.h"
#include "connection/http_requests.h"
#include "connection/store_api.h"
#include "connection/worker_api.h"

#include <functional>
#include <memory>

namespace sesamespar {

/// Connection pools for workers and for the store.
struct outgoing_calls;

/// Called exactly once for each call; see http_done for the thread. Errors: Unreachable if the call was not sent (for
/// example connection refused), Unknown if it may have taken effect (timeout, connection lost, status 5xx, any refusal
/// of a call that the library sent more than once), InvalidInput if the answer is malformed or has another status,
/// Overloaded if the receiver limited the rate (status 429) or if the call was not sent because too many calls to the
/// receiver are in progress.
using worker_done = std::function<void(result<worker_reply>)>;
using store_done = std::function<void(result<store_reply>)>;

/// Creates the pools. `store` is the address of the platform's store.
std::shared_ptr<outgoing_calls> makeOutgoingCalls(const address &store);

/// Calls a worker. `limit` bounds the whole call, including the wait of a long poll.
void callWorker(
    outgoing_calls &calls, const address &worker, const worker_request &request, milliseconds limit, worker_done done);

/// Calls the store. `limit` bounds the whole call.
void callStore(outgoing_calls &calls, const store_request &request, milliseconds limit, store_done done);

/// Traffic with workers and with the store.
call_traffic workerTraffic(const outgoing_calls &calls);
call_traffic storeTraffic(const outgoing_calls &calls);

/// Cancels all calls and waits for their callbacks. Later calls end with Unreachable.
void stopOutgoingCalls(outgoing_calls &calls);

} // namespace sesamespar
