// HTTP front end for callers and operators. Parses, authenticates and validates requests on traffic threads, delivers
// them as typed requests to a sink and completes each of them later with a typed answer.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "connection/peer_message.h"
#include "version/daemon_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace sesamespar {

/// Identifies an HTTP request within this process.
using front_end_request_id = strong_value<struct front_end_request_id_tag, std::uint64_t>;

/// GET /v1/configuration.
struct read_configuration {
};

/// PUT /v1/configuration?expected=VERSION with the YAML text as its body.
struct apply_configuration {
    std::string text;
    std::optional<config_version> expected; ///< If absent, any active version is replaced.
};

/// POST /v1/drain/VM.
struct drain_vm {
    worker_id vm;
};

/// GET /v1/nodes, /v1/dump and /v1/metrics.
struct read_nodes {
};
struct read_dump {
};
struct read_metrics {
};

/// A validated request.
using front_end_call =
    std::variant<job_call, read_configuration, apply_configuration, drain_vm, read_nodes, read_dump, read_metrics>;

/// A request with the id that its answer must name.
struct front_end_request {
    front_end_request_id id;
    front_end_call call;
};

/// An answer that is already encoded.
struct text_answer {
    int status = 200; ///< HTTP status.
    std::string contentType = "application/json";
    std::string body;
};
/// Answer to a request. The front end encodes job answers.
using front_end_answer = std::variant<job_answer, text_answer>;

/// Called on a traffic thread for each request. Returns false if the receiver's queue is full; the front end then
/// answers with status 503 and the message that the request was not run.
using front_end_sink = std::function<bool(front_end_request)>;

/// The running front end.
struct front_end;

/// Starts a front end that listens on settings.http. Errors: InvalidInput if the address cannot be bound.
result<std::shared_ptr<front_end>> startFrontEnd(const daemon_settings &settings, front_end_sink sink);

/// The listening address, with the actual port if the settings name port 0.
address boundAddress(const front_end &frontEnd);

/// Completes a request. May be called from any thread. Ignores ids that are unknown or already completed.
void answerFrontEnd(front_end &frontEnd, front_end_request_id id, const front_end_answer &answer);

/// From now on refuses each request that is not yet received completely, with status 503 and the message that it was
/// not run.
void refuseNewRequests(front_end &frontEnd);

/// Number of received requests whose answer is not yet written completely to the caller's socket.
std::size_t openRequests(const front_end &frontEnd);

/// Closes the listener and all connections and ends its threads; unanswered requests get no answer. Call when
/// openRequests is 0 or the drain limit has passed.
void stopFrontEnd(front_end &frontEnd);

} // namespace sesamespar
