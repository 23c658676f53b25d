// Messages between the daemons of a cell: the leader has others ask the advisor on its behalf, the others ask the
// leader for the states of jobs, and a daemon that has lost the store has another one store jobs.
#pragma once

#include "connection/advice_port.h"
#include "request/job_progress.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sesamespar {

/// Ask the advisor and send the answer back.
struct advice_proxy_request {
    correlation_id correlation;
    address answerTo;
    milliseconds limit{0}; ///< The leader waits no longer.
    advice_request question;
};

/// The answer, or why there is none.
struct advice_proxy_response {
    correlation_id correlation;
    std::string problem; ///< Empty if answered.
    advice_response answer;
};

/// Ask the leader for the state of a job.
struct status_question {
    correlation_id correlation;
    address answerTo;
    job_key job;
};

/// The state as the store has it, or nothing if the asked daemon cannot tell.
struct status_answer {
    correlation_id correlation;
    std::optional<job_phase> phase;
};

/// Could you store jobs for me?
struct relay_probe {
    address answerTo;
};

/// Whether the daemon reaches the store and takes jobs.
struct relay_offer {
    address from;
    bool usable = false;
};

/// Store a job and send the outcome back.
struct relayed_job {
    correlation_id correlation;
    address answerTo;
    milliseconds limit{0}; ///< The outcome is of no use later.
    job_key key;
    std::string job; ///< As the store keeps accepted jobs.
};

/// What became of a relayed job.
enum class relay_result {
    Stored, ///< Now or before.
    Refused, ///< It is not stored and will not be.
    Unknown,
};

/// Tells what became of it.
struct relay_outcome {
    correlation_id correlation;
    relay_result result = relay_result::Unknown;
};

/// Any of them.
using daemon_message = std::variant<advice_proxy_request,
                                    advice_proxy_response,
                                    status_question,
                                    status_answer,
                                    relay_probe,
                                    relay_offer,
                                    relayed_job,
                                    relay_outcome>;

/// Bytes of a message.
std::string encodeDaemonMessage(const daemon_message &message);

/// Errors: InvalidInput.
result<daemon_message> decodeDaemonMessage(std::string_view bytes);

} // namespace sesamespar
