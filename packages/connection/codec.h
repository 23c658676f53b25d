// Encoding of messages: JSON for callers, workers and the store; msgpack between daemons. Decoders check
// types, lengths and ranges and never throw.
#pragma once

#include "base/result.h"
#include "connection/peer_message.h"
#include "connection/store_api.h"
#include "connection/worker_api.h"

#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// Encodes a message between daemons, preceded by the protocol version.
std::string encodePeerMessage(const peer_message &message);

/// Decodes a message between daemons. Errors: InvalidInput if it is malformed or of another version.
result<peer_message> decodePeerMessage(std::string_view bytes);

/// Encodes a call to a worker as JSON. workerRequestPath() gives its path.
std::string encodeWorkerRequest(const worker_request &request);

/// HTTP path of a call to a worker.
std::string workerRequestPath(const worker_request &request);

/// Decodes a call to a worker by its path, for stand-ins of workers. Errors: NotFound if no call has the path,
/// InvalidInput if the body is malformed.
result<worker_request> decodeWorkerRequest(std::string_view path, std::string_view json);

/// Encodes a worker's answer as JSON.
std::string encodeWorkerReply(const worker_reply &reply);

/// Decodes a worker's answer. Of `request`, only the alternative is used. Errors: InvalidInput if it is malformed.
result<worker_reply> decodeWorkerReply(const worker_request &request, std::string_view json);

/// Encodes and decodes a job request: {team, key, work, expires, tasks, payload, wait_ms}.
std::string encodeSubmitRequest(const submit_request &request);
result<submit_request> decodeSubmitRequest(std::string_view json);

/// Encodes and decodes a job answer: {status, team, key, reason, retry_after_ms, tasks}.
std::string encodeJobAnswer(const job_answer &answer);
result<job_answer> decodeJobAnswer(std::string_view json);

/// Encodes and decodes the VM list: {revision, vms: [{name, worker, data_centre, rack, state}]}.
std::string encodeVmList(const vm_list &list);
result<vm_list> decodeVmList(std::string_view json);

/// Encodes and decodes job records as an archive segment (msgpack).
std::string encodeRecords(const std::vector<job_record> &records);
result<std::vector<job_record>> decodeRecords(std::string_view bytes);

/// The HTTP form of a call to the store.
struct store_http_call {
    std::string method;
    std::string target; ///< Path and query, percent-encoded.
    std::string body;
};

/// Encodes a call to the store.
store_http_call encodeStoreRequest(const store_request &request);

/// Decodes a call to the store, for stand-ins of the store. Errors: NotFound if no call has the path and the method,
/// InvalidInput if the target or the body is malformed.
result<store_request> decodeStoreRequest(const store_http_call &call);

/// Encodes the store's answer as JSON.
std::string encodeStoreReply(const store_reply &reply);

/// Decodes the store's answer. Of `request`, only the alternative is used. Errors: InvalidInput if it is malformed.
result<store_reply> decodeStoreReply(const store_request &request, std::string_view json);

/// Encodes {"error": message}, the body of an HTTP answer that is not about a job.
std::string encodeError(std::string_view message);

} // namespace sesamespar
