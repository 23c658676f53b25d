// Events that the control thread handles, and effects that it requests from the traffic threads.
#pragma once

#include "base/result.h"
#include "connection/front_end.h"
#include "connection/peer_message.h"
#include "connection/store_api.h"
#include "connection/worker_api.h"

#include <variant>
#include <vector>

namespace sesamespar {

/// Kinds of calls to a worker, in the order of worker_request. At most one call of each kind is in flight to a worker.
enum class worker_call_kind {
    Control,
    Snapshot,
    Records,
    Commands,
};

/// A call to a worker has ended. `serial` identifies the call.
struct worker_call_ended {
    worker_id worker;
    worker_call_kind kind = worker_call_kind::Control;
    std::uint64_t serial = 0;
    result<worker_reply> outcome;
};

/// Parts of a daemon that call the store. At most one call of each part is in flight.
enum class store_user {
    ConfigurationWatch,
    ConfigurationWrite,
    VmList,
    Archive,
};

/// A call to the store has ended.
struct store_call_ended {
    store_user user = store_user::VmList;
    std::uint64_t serial = 0;
    result<store_reply> outcome;
};

/// SIGTERM or SIGINT was received.
struct shutdown_requested {
};

/// Any event that the control thread handles.
using control_event =
    std::variant<front_end_request, peer_message, worker_call_ended, store_call_ended, shutdown_requested>;

/// Completes a request of the front end.
struct answer_front_end {
    front_end_request_id id;
    front_end_answer answer;
};

/// Sends a message to a peer.
struct send_peer {
    daemon_id peer;
    peer_payload payload;
};

/// Starts a call to a worker.
struct call_worker {
    worker_id worker;
    address target;
    std::uint64_t serial = 0;
    worker_request request;
    milliseconds limit{0};
};

/// Starts a call to the store.
struct call_store {
    store_user user = store_user::VmList;
    std::uint64_t serial = 0;
    store_request request;
    milliseconds limit{0};
};

/// Makes the front end refuse new requests.
struct refuse_requests {
};

/// Ends the process after all answers have been sent.
struct end_process {
};

/// Any effect that a decision requests.
using effect = std::variant<answer_front_end, send_peer, call_worker, call_store, refuse_requests, end_process>;

/// Effects in the order in which they were requested.
using outbox = std::vector<effect>;

} // namespace sesamespar
