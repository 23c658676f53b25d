// What reaches the control thread, and what it asks the traffic threads to do.
#pragma once

#include "base/result.h"
#include "connection/front_end.h"
#include "connection/peer_message.h"
#include "connection/store_api.h"
#include "connection/worker_api.h"

#include <variant>
#include <vector>

namespace sesamespar {

/// Sorts of calls to a worker; at most one of each is under way to a worker.
enum class worker_call_kind {
    Control,
    Snapshot,
    Records,
    Commands,
};

/// A call to a worker has ended. `serial` is that of the call.
struct worker_call_ended {
    worker_id worker;
    worker_call_kind kind = worker_call_kind::Control;
    std::uint64_t serial = 0;
    result<worker_reply> outcome;
};

/// Parts of a daemon that call the store; at most one call of each part is under way.
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

/// Anything that the control thread handles.
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

/// Stops the front end from taking new requests.
struct refuse_requests {
};

/// Ends the process after all answers have gone out.
struct end_process {
};

/// Anything that a decision asks for.
using effect = std::variant<answer_front_end, send_peer, call_worker, call_store, refuse_requests, end_process>;

/// Effects in the order in which they were asked for.
using outbox = std::vector<effect>;

} // namespace sesamespar
