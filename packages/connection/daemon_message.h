// Messages between the daemons of a cell: the leader sends advice requests and calls to workers through other daemons,
// the other daemons query the leader for the states of jobs, and a daemon that has lost the store relays jobs to
// another daemon.
#pragma once

#include "connection/advice_port.h"
#include "connection/worker_calls.h"
#include "request/job_progress.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sesamespar {

/// Request to a proxy: the receiver sends the request to the advisor and returns the response.
struct advice_proxy_request {
    correlation_id correlation;
    address answerTo;
    milliseconds limit{0}; ///< Time after which the leader considers the response overdue.
    advice_request request;
};

/// Reply to an advice_proxy_request: the response of the advisor, or the reason why there is none.
struct advice_proxy_response {
    correlation_id correlation;
    std::string problem; ///< Empty if the advisor answered.
    milliseconds advisorTime{0}; ///< Duration of the sender's call to the advisor.
    advice_response answer;
};

/// Asks the leader for the state of a job.
struct status_query {
    correlation_id correlation;
    address answerTo;
    job_key job;
};

/// The state that the store holds, or nothing if the queried daemon does not lead or cannot answer from memory.
struct status_reply {
    correlation_id correlation;
    std::optional<job_phase> phase;
};

/// Asks whether the receiver can store jobs for the sender.
struct relay_probe {
    address answerTo;
};

/// Reply to a relay_probe: whether the daemon reaches the store and accepts jobs.
struct relay_offer {
    address from;
    bool usable = false;
};

/// Asks the receiver to store a job and to return the outcome.
struct relayed_job {
    correlation_id correlation;
    address answerTo;
    milliseconds limit{0}; ///< Time after which the sender no longer uses the outcome.
    job_key key;
    std::string job; ///< In the encoding of accepted jobs in the store.
};

/// Outcome of a relayed job.
enum class relay_result {
    Stored, ///< By this request or an earlier one.
    Refused, ///< The job is not stored and will not be.
    Unknown,
};

/// Reply to a relayed_job.
struct relay_outcome {
    correlation_id correlation;
    relay_result result = relay_result::Unknown;
};

/// A job that the sender has stored.
struct stored_job_notice {
    job_key key;
    store_revision revision; ///< Of the transaction that stored the job.
    std::string job; ///< In the encoding of accepted jobs in the store.
};

/// Tells the leader of jobs before its watch on the store reports them. The message may be lost.
struct accepted_jobs {
    std::vector<stored_job_notice> jobs;
};

/// Asks the receiver for the payload of a job.
struct payload_request {
    job_key job;
    address answerTo;
};

/// Answer to a payload_request.
struct payload_reply {
    job_key job;
    bool known = false; ///< False if the sender does not have the payload.
    std::string payload;
};

/// Any message between the daemons of a cell.
using daemon_message = std::variant<advice_proxy_request,
                                    advice_proxy_response,
                                    status_query,
                                    status_reply,
                                    relay_probe,
                                    relay_offer,
                                    relayed_job,
                                    relay_outcome,
                                    worker_call_batch,
                                    worker_outcome_batch,
                                    accepted_jobs,
                                    payload_request,
                                    payload_reply>;

/// Encodes a message as JSON.
std::string encodeDaemonMessage(const daemon_message &message);

/// Decodes a message. Fields that are missing get their default values. Errors: InvalidInput if the bytes are not a
/// JSON object or the type is unknown.
result<daemon_message> decodeDaemonMessage(std::string_view bytes);

} // namespace sesamespar
