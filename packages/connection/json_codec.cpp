#include "connection/codec.h"
#include "connection/json_value.h"

namespace sesamespar {

namespace {

const std::string controlPath = "/v1/control";
const std::string snapshotPath = "/v1/snapshot";
const std::string recordsPath = "/v1/records";
const std::string commandsPath = "/v1/commands";

} // namespace

result<web::json::value> parseJson(std::string_view text)
{
    if (!isUtf8(text)) {
        return makeError(error_kind::InvalidInput, "the message is not valid UTF-8");
    }
    // The parser bounds the nesting to 128 levels; it throws on a lone surrogate escape.
    try {
        std::error_code code;
        web::json::value parsed = web::json::value::parse(std::string(text), code);
        if (!code) {
            return parsed;
        }
    } catch (const std::exception &) {
        return makeError(error_kind::InvalidInput, "the message has an invalid escape in a string");
    }
    return makeError(error_kind::InvalidInput, "the message is not valid JSON");
}

std::string encodeWorkerRequest(const worker_request &request)
{
    return std::visit([](const auto &single) { return encodeJson(single); }, request);
}

std::string workerRequestPath(const worker_request &request)
{
    switch (request.index()) {
    case 0:
        return controlPath;
    case 1:
        return snapshotPath;
    case 2:
        return recordsPath;
    default:
        return commandsPath;
    }
}

result<worker_request> decodeWorkerRequest(std::string_view path, std::string_view json)
{
    if (path == controlPath) {
        return decodeJsonAs<worker_request, control_request>(json);
    }
    if (path == snapshotPath) {
        return decodeJsonAs<worker_request, snapshot_request>(json);
    }
    if (path == recordsPath) {
        return decodeJsonAs<worker_request, write_records_request>(json);
    }
    if (path == commandsPath) {
        return decodeJsonAs<worker_request, commands_request>(json);
    }
    return makeError(error_kind::NotFound, "no worker call has the path " + std::string(path));
}

std::string encodeWorkerReply(const worker_reply &reply)
{
    return std::visit([](const auto &single) { return encodeJson(single); }, reply);
}

result<worker_reply> decodeWorkerReply(const worker_request &request, std::string_view json)
{
    switch (request.index()) {
    case 0:
        return decodeJsonAs<worker_reply, control_reply>(json);
    case 1:
        return decodeJsonAs<worker_reply, snapshot_reply>(json);
    case 2:
        return decodeJsonAs<worker_reply, write_records_reply>(json);
    default:
        return decodeJsonAs<worker_reply, commands_reply>(json);
    }
}

std::string encodeSubmitRequest(const submit_request &request)
{
    return encodeJson(request);
}

result<submit_request> decodeSubmitRequest(std::string_view json)
{
    return decodeJson<submit_request>(json, unknown_fields::Reject);
}

std::string encodeJobAnswer(const job_answer &answer)
{
    return encodeJson(answer);
}

result<job_answer> decodeJobAnswer(std::string_view json)
{
    return decodeJson<job_answer>(json);
}

std::string encodeVmList(const vm_list &list)
{
    return encodeJson(list);
}

result<vm_list> decodeVmList(std::string_view json)
{
    return decodeJson<vm_list>(json);
}

std::string encodeError(std::string_view message)
{
    return web::json::value::object({{"error", web::json::value::string(std::string(message))}}).serialize();
}

} // namespace sesamespar
