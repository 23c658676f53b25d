#include "connection/outgoing_calls.h"

#include "connection/codec.h"
#include "connection/http_status.h"

#include <variant>

namespace sesamespar {

namespace {

/// Limit on simultaneous calls to one address. The leader makes at most one call of each of the four types to a worker.
constexpr std::size_t callsPerAddress = 16;

constexpr int firstServerError = 500;

/// Callback with the body of the answer.
using body_done = std::function<void(result<std::string>)>;

/// Returns a value-initialized variant that holds the same alternative as `request`.
template<typename... Alternatives>
std::variant<Alternatives...> emptyOfSameAlternative(const std::variant<Alternatives...> &request)
{
    return std::visit(
        [](const auto &single) -> std::variant<Alternatives...> { return std::remove_cvref_t<decltype(single)>(); },
        request);
}

error statusError(const address &from, const http_reply &reply)
{
    const std::string message = from.value + " answered with status " + std::to_string(reply.status);
    if (reply.status == http_status::tooManyRequests) {
        return refusalError(reply, error_kind::Overloaded, message);
    }
    if (reply.status >= firstServerError) {
        return makeError(error_kind::Unknown, message);
    }
    return refusalError(reply, error_kind::InvalidInput, message);
}

void startCall(
    http_requests &requests, const address &to, const store_http_call &parts, milliseconds limit, body_done done)
{
    sendHttp(requests,
             to,
             {parts.method, parts.target, parts.body, {}},
             limit,
             [to, done = std::move(done)](result<http_reply> reply) {
                 if (!reply) {
                     done(reply.error());
                 } else if (reply.value().status != http_status::ok) {
                     done(statusError(to, reply.value()));
                 } else {
                     done(std::move(reply.value().body));
                 }
             });
}

} // namespace

struct outgoing_calls {
    explicit outgoing_calls(address storeAddress)
        : store(std::move(storeAddress))
    {
    }

    const address store;
    std::shared_ptr<http_requests> toWorkers = makeHttpRequests({callsPerAddress});
    std::shared_ptr<http_requests> toStore = makeHttpRequests({callsPerAddress});
};

std::shared_ptr<outgoing_calls> makeOutgoingCalls(const address &store)
{
    return std::make_shared<outgoing_calls>(store);
}

void callWorker(
    outgoing_calls &calls, const address &worker, const worker_request &request, milliseconds limit, worker_done done)
{
    store_http_call parts{"POST", workerRequestPath(request), encodeWorkerRequest(request)};
    // Decoding the reply needs the type of the request, not its content.
    worker_request requestType = emptyOfSameAlternative(request);
    startCall(*calls.toWorkers,
              worker,
              parts,
              limit,
              [requestType = std::move(requestType), done = std::move(done)](result<std::string> body) {
                  done(body ? decodeWorkerReply(requestType, body.value()) : result<worker_reply>(body.error()));
              });
}

void callStore(outgoing_calls &calls, const store_request &request, milliseconds limit, store_done done)
{
    store_request requestType = emptyOfSameAlternative(request);
    startCall(*calls.toStore,
              calls.store,
              encodeStoreRequest(request),
              limit,
              [requestType = std::move(requestType), done = std::move(done)](result<std::string> body) {
                  done(body ? decodeStoreReply(requestType, body.value()) : result<store_reply>(body.error()));
              });
}

call_traffic workerTraffic(const outgoing_calls &calls)
{
    return httpTraffic(*calls.toWorkers);
}

call_traffic storeTraffic(const outgoing_calls &calls)
{
    return httpTraffic(*calls.toStore);
}

void stopOutgoingCalls(outgoing_calls &calls)
{
    stopHttpRequests(*calls.toWorkers);
    stopHttpRequests(*calls.toStore);
}

} // namespace sesamespar
