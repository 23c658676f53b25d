// A synchronous client of the daemons' HTTP interface, for the command and for load tests. It retries under the
// same key at the next daemon and never reports "not run" after an attempt whose outcome it could not learn.
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

/// How a client reaches the daemons.
struct caller_client_settings {
    std::vector<address> daemons; ///< At least one. Calls start at the first and go to the next after a failure.
    std::string secret; ///< Bearer secret; printable characters without spaces.
    milliseconds limit{30000}; ///< Longest time for a call with its retries, on top of the wait it asks for.
    milliseconds attemptTimeout{5000}; ///< Longest silence within one attempt, on top of the wait.
    backoff_settings backoff;
    /// Keeps connections open between calls. The HTTP library then resends on its own, so that a failed attempt
    /// no longer proves that nothing arrived. Meant for load; such a client must not be asked to wait longer
    /// than `attemptTimeout`.
    bool reuseConnections = false;
};

/// The connections of a client. May be used by several threads at once.
struct caller_client;

/// Frees a client.
struct caller_client_deleter {
    void operator()(caller_client *client) const;
};
using caller_client_ptr = std::unique_ptr<caller_client, caller_client_deleter>;

/// Makes a client; connects to nothing yet. Errors: InvalidInput for no or malformed addresses or a secret that
/// a header cannot carry.
result<caller_client_ptr> makeCallerClient(caller_client_settings settings);

/// Submits a job. An answer of `Unknown` means that the same request may be sent again under the same key.
/// Errors, all of which mean that the job was not recorded: Unauthorized, InvalidInput (the daemon rejects the
/// form of the request), Unreachable.
result<job_answer> submitJob(caller_client &client, const submit_request &request);

/// Asks for the state of a job. Errors: Unauthorized, InvalidInput, Unreachable.
result<job_answer> queryJob(caller_client &client, const status_request &request);

/// Cancels a job. Errors as for submitJob, all of which mean that the cancellation was not recorded.
result<job_answer> cancelJob(caller_client &client, const cancel_request &request);

/// The configuration in force at a daemon.
struct configuration_text {
    config_version version;
    std::string text;
};

/// Reads the configuration. Errors: Unauthorized, Unreachable, NotFound (the daemon has none), Unknown.
result<configuration_text> fetchConfiguration(caller_client &client);

/// Outcome of applying a configuration.
struct apply_outcome {
    enum class kind {
        Applied, ///< In force under `version`.
        Invalid, ///< Not applied, because of `problems`.
        Conflict, ///< Not applied: `version` is in force, not the expected one.
        Refused, ///< Not applied, because of `message`.
        Unknown, ///< May or may not have been applied, because of `message`.
    };
    kind outcome = kind::Unknown;
    config_version version;
    findings problems; ///< Without the name of the file.
    std::string message;
};

/// Applies a configuration, whole or not at all. Without an expected version it is not sent again after an attempt
/// with an unknown outcome, because a repeat could undo a change that came between.
apply_outcome putConfiguration(caller_client &client, const std::string &text, std::optional<config_version> expected);

/// Drains a VM; returns the daemon's answer. Errors: Unknown (the drain may have begun), NotFound, Unauthorized,
/// Unreachable, Overloaded (refused).
result<std::string> drainVm(caller_client &client, const worker_id &vm);

/// Read the nodes page, the state dump and the metrics as the daemon writes them. Errors as for
/// fetchConfiguration.
result<std::string> fetchNodes(caller_client &client);
result<std::string> fetchDump(caller_client &client);
result<std::string> fetchMetrics(caller_client &client);

} // namespace sesamespar
