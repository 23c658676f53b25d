// The HTTP side that callers and operators reach: parses, authenticates and checks requests on traffic
// threads, hands them on as typed requests and completes them later with a typed answer.
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

/// Number of a pending HTTP request of this process.
using front_end_request_id = strong_value<struct front_end_request_id_tag, std::uint64_t>;

/// GET /v1/configuration.
struct read_configuration {
};

/// PUT /v1/configuration?expected=VERSION with the YAML text as its body.
struct apply_configuration {
    std::string text;
    std::optional<config_version> expected; ///< Absent: the version in force, whatever it is.
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

/// Any checked request that came in over HTTP.
using front_end_call =
    std::variant<job_call, read_configuration, apply_configuration, drain_vm, read_nodes, read_dump, read_metrics>;

/// A request with the number under which it is answered.
struct front_end_request {
    front_end_request_id id;
    front_end_call call;
};

/// An answer as it goes out: job answers are encoded by the front end, the others come as text.
struct text_answer {
    int status = 200; ///< HTTP status.
    std::string contentType = "application/json";
    std::string body;
};
using front_end_answer = std::variant<job_answer, text_answer>;

/// Called on a traffic thread for each request. Returns false if the queue behind it is full; the request
/// is then answered as refused, since it was not run.
using front_end_sink = std::function<bool(front_end_request)>;

/// The running front end.
struct front_end;

/// Starts to listen on settings.http. Errors: InvalidInput if the address cannot be bound.
result<std::shared_ptr<front_end>> startFrontEnd(const daemon_settings &settings, front_end_sink sink);

/// Address that it listens on, with the port that the kernel chose.
address boundAddress(const front_end &frontEnd);

/// Completes a request. May be called from any thread; an unknown or completed id is ignored.
void answerFrontEnd(front_end &frontEnd, front_end_request_id id, const front_end_answer &answer);

/// Refuses requests that are not yet whole from now on, with status 503 and a body that says that they were not run.
void refuseNewRequests(front_end &frontEnd);

/// Number of requests that are not yet answered with all bytes handed to the network.
std::size_t openRequests(const front_end &frontEnd);

/// Closes the listener and ends its threads. Call after openRequests is 0 or the drain limit has passed.
void stopFrontEnd(front_end &frontEnd);

} // namespace sesamespar
