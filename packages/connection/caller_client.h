// Synchronous client of the daemons' HTTP interface, for the command-line tool and for load tests. It retries with the
// same idempotency key at the next daemon and never reports "not run" after an attempt whose outcome is unknown.
#pragma once

#include "base/backoff.h"
#include "base/findings.h"
#include "base/ids.h"
#include "base/result.h"
#include "request/job_answer.h"
#include "request/job_request.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sesamespar {

/// Addresses, credentials and time limits of a client.
struct caller_client_settings {
    std::vector<address> daemons; ///< At least one. Calls start at the first and move to the next after a failure.
    std::string secret; ///< Bearer secret: one or more printable ASCII characters without spaces.
    milliseconds limit{30000}; ///< Longest time for a call with its retries, in addition to the requested wait.
    milliseconds attemptTimeout{5000}; ///< Idle timeout of one attempt, in addition to the requested wait.
    backoff_settings backoff;
    /// Keeps connections open between calls. The HTTP library then resends requests by itself, so that a failure to
    /// connect no longer proves that the daemon received nothing. Intended for load tests; requests of such a client
    /// must not wait longer than `attemptTimeout`.
    bool reuseConnections = false;
};

/// A client and its connections. May be used by several threads at once.
struct caller_client;

/// Frees a client.
struct caller_client_deleter {
    void operator()(caller_client *client) const;
};
using caller_client_ptr = std::unique_ptr<caller_client, caller_client_deleter>;

/// Creates a client without connecting. Errors: InvalidInput if there is no address, an address is malformed, or the
/// secret is empty or contains a space or a character that is not printable ASCII.
result<caller_client_ptr> makeCallerClient(caller_client_settings settings);

/// Submits a job. After an answer of `Unknown` the same request may be sent again under the same key.
/// Errors, all of which mean that the job was not recorded: Unauthorized, InvalidInput (the daemon rejected the
/// request as malformed), Overloaded, Unreachable.
result<job_answer> submitJob(caller_client &client, const submit_request &request);

/// Queries the state of a job. Errors: Unauthorized, InvalidInput, Overloaded, Unreachable.
result<job_answer> queryJob(caller_client &client, const status_request &request);

/// Cancels a job. Errors: those of submitJob, all of which mean that the cancellation was not recorded.
result<job_answer> cancelJob(caller_client &client, const cancel_request &request);

/// The active configuration of a daemon.
struct configuration_text {
    config_version version;
    std::string text;
};

/// Reads the active configuration. Errors: Unauthorized, Unreachable, NotFound (the daemon has none), Unknown.
result<configuration_text> fetchConfiguration(caller_client &client);

/// Outcome of applying a configuration.
struct apply_outcome {
    enum class kind {
        Applied, ///< Active as `version`.
        Invalid, ///< Not applied, because of `problems`.
        Conflict, ///< Not applied: `version` is active, not the expected version.
        Refused, ///< Not applied, because of `message`.
        Unknown, ///< May or may not have been applied, because of `message`.
    };
    kind outcome = kind::Unknown;
    config_version version;
    findings problems; ///< Their file names are empty.
    std::string message;
};

/// Applies a configuration atomically. Without an expected version the request is not sent again after an attempt with
/// an unknown outcome, because a retry could undo a change that another operator made in between.
apply_outcome putConfiguration(caller_client &client, const std::string &text, std::optional<config_version> expected);

/// Drains a VM; returns the daemon's answer. Errors: Unknown (the drain may have begun), NotFound, Unauthorized,
/// Unreachable, Overloaded (refused).
result<std::string> drainVm(caller_client &client, const worker_id &vm);

/// Read the nodes page, the state dump and the metrics as the daemon formats them. Errors: those of
/// fetchConfiguration.
result<std::string> fetchNodes(caller_client &client);
result<std::string> fetchDump(caller_client &client);
result<std::string> fetchMetrics(caller_client &client);

} // namespace sesamespar
