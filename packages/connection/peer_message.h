// Messages between daemons. They are one-way and may be lost, duplicated or reordered. A sender that needs an answer
// repeats its message under the same correlation id.
#pragma once

#include "base/ids.h"
#include "connection/store_api.h"
#include "request/job_answer.h"
#include "request/job_request.h"

#include <string>
#include <variant>
#include <vector>

namespace sesamespar {

/// Version of the protocol between daemons. A message of another version is dropped and logged.
constexpr std::uint32_t peerProtocolVersion = 1;

/// Largest message between daemons in bytes.
constexpr std::size_t maxPeerMessageBytes = 1048576;
/// Largest text of a configuration in bytes. Leaves space for the other fields of a message or of a stored value.
constexpr std::size_t maxConfigTextBytes = maxPeerMessageBytes - 16384;

/// Sent to every peer periodically.
struct heartbeat {
    data_centre_id dataCentre;
    config_version version;
    roster_revision roster;
    bool leading = false; ///< The sender leads its data centre.
    bool complete = false; ///< The sender leads and may accept new jobs.
    epoch_number epoch; ///< Highest epoch that the sender has seen in its data centre.
    bool draining = false; ///< The sender is about to leave; it must not become leader.
    std::vector<worker_id> leaving; ///< VMs that are leaving or drained, according to the sender.
};

/// Any request about a job.
using job_call = std::variant<submit_request, status_request, cancel_request>;

/// Forwards a caller's request to the leader of its home data centre.
struct forward_request {
    correlation_id correlation;
    job_call call;
};

/// Answers a forwarded request. May arrive more than once; `Accepted` may be followed by the outcome.
struct forward_answer {
    correlation_id correlation;
    job_answer answer;
    bool final = true; ///< False if the outcome follows under the same correlation id.
    bool notLeader = false; ///< The receiver of the request does not lead and did not process it.
};

/// Requests the configuration.
struct config_request {
};

/// Sends a configuration.
struct config_push {
    config_version version;
    std::string text;
};

/// Requests the VM list.
struct roster_request {
};

/// Sends the VM list.
struct roster_push {
    vm_list roster;
};

/// Requests that the leader drain a VM of its data centre.
struct drain_push {
    worker_id vm;
};

/// Any message between daemons.
using peer_payload = std::variant<heartbeat,
                                  forward_request,
                                  forward_answer,
                                  config_request,
                                  config_push,
                                  roster_request,
                                  roster_push,
                                  drain_push>;

/// A payload with its sender.
struct peer_message {
    daemon_id sender;
    incarnation_id incarnation; ///< Of the sender's process.
    peer_payload payload;
};

} // namespace sesamespar
