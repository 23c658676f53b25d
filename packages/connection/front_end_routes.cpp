#include "connection/front_end_routes.h"

#include "connection/codec.h"
#include "connection/codec_checks.h"
#include "connection/message_fields.h"

#include <cpprest/base_uri.h>

#include <array>
#include <charconv>
#include <map>

namespace sesamespar {

namespace {

using route = std::variant<front_end_call, route_error>;
using query_parameters = std::map<std::string, std::string>;

/// A request with its path and query split and percent-decoded.
struct parsed_request {
    const http_request_parts &parts;
    std::vector<std::string> path; ///< Segments; the first is the interface version, v1.
    query_parameters query;
};

/// Parses an unsigned decimal number. Returns nothing if it is malformed or above `maxValue`.
std::optional<std::uint64_t> parseNumber(const std::string &text, std::uint64_t maxValue)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == end && number <= maxValue;
    return valid ? std::optional(number) : std::nullopt;
}

/// Rejects a query with any parameter other than `allowed`; no parameter is called "".
std::optional<route_error> checkQuery(const query_parameters &query, const std::string &allowed)
{
    for (const auto &entry : query) {
        if (entry.first != allowed) {
            return route_error{400, entry.first.substr(0, maxNameBytes) + ": is not a known query parameter"};
        }
    }
    return std::nullopt;
}

std::optional<route_error> checkPathName(const std::string &name, std::string_view fieldName)
{
    decode_fault fault;
    const bool valid = checkLength(name.size(), requiredName, fault)
        && (isUtf8(name) || reject(fault, "must be valid UTF-8")) && checkName(name, fault);
    if (valid) {
        return std::nullopt;
    }
    rejectIn(fault, fieldName);
    return route_error{400, formatFault(fault)};
}

route submitJob(const parsed_request &request)
{
    if (auto fault = checkQuery(request.query, {})) {
        return *fault;
    }
    auto submit = decodeSubmitRequest(request.parts.body);
    if (!submit) {
        return route_error{400, submit.error().message};
    }
    return front_end_call(job_call(std::move(submit.value())));
}

route readStatus(const parsed_request &request, job_id id)
{
    if (auto fault = checkQuery(request.query, "wait_ms")) {
        return *fault;
    }
    status_request status{std::move(id), milliseconds(0)};
    const auto wait = request.query.find("wait_ms");
    if (wait != request.query.end()) {
        const auto number = parseNumber(wait->second, callerWait.most);
        if (!number) {
            return route_error{400, "wait_ms: must be from 0 to " + std::to_string(callerWait.most)};
        }
        status.wait = milliseconds(static_cast<milliseconds::rep>(*number));
    }
    return front_end_call(job_call(std::move(status)));
}

route routeJob(const parsed_request &request)
{
    if (auto fault = checkPathName(request.path[2], "team")) {
        return *fault;
    }
    if (auto fault = checkPathName(request.path[3], "key")) {
        return *fault;
    }
    job_id id{team_id(request.path[2]), idempotency_key(request.path[3])};
    if (request.parts.method == "GET") {
        return readStatus(request, std::move(id));
    }
    if (auto fault = checkQuery(request.query, {})) {
        return *fault;
    }
    return front_end_call(job_call(cancel_request{std::move(id)}));
}

route applyConfiguration(const parsed_request &request)
{
    if (auto fault = checkQuery(request.query, "expected")) {
        return *fault;
    }
    if (request.parts.body.size() > maxConfigTextBytes || !isUtf8(request.parts.body)) {
        return route_error{
            400, "the configuration must be UTF-8 of at most " + std::to_string(maxConfigTextBytes) + " bytes"};
    }
    apply_configuration apply{request.parts.body, std::nullopt};
    const auto expected = request.query.find("expected");
    if (expected != request.query.end()) {
        const auto number = parseNumber(expected->second, any64.most);
        if (!number) {
            return route_error{400, "expected: must be a whole number"};
        }
        apply.expected = config_version(*number);
    }
    return front_end_call(std::move(apply));
}

route drainVm(const parsed_request &request)
{
    if (auto fault = checkQuery(request.query, {})) {
        return *fault;
    }
    if (auto fault = checkPathName(request.path[2], "vm")) {
        return *fault;
    }
    return front_end_call(drain_vm{worker_id(request.path[2])});
}

template<typename Call>
route readWithoutParameters(const parsed_request &request)
{
    if (auto fault = checkQuery(request.query, {})) {
        return *fault;
    }
    return front_end_call(Call{});
}

using route_handler = route (*)(const parsed_request &);

/// A method and path with the function that validates the rest of the request.
struct route_entry {
    std::string_view method;
    std::string_view name; ///< Second segment of the path.
    std::size_t segments;
    route_handler handler;
};

constexpr std::array<route_entry, 9> routes{{{"POST", "jobs", 2, submitJob},
                                             {"GET", "jobs", 4, routeJob},
                                             {"DELETE", "jobs", 4, routeJob},
                                             {"GET", "configuration", 2, readWithoutParameters<read_configuration>},
                                             {"PUT", "configuration", 2, applyConfiguration},
                                             {"POST", "drain", 3, drainVm},
                                             {"GET", "nodes", 2, readWithoutParameters<read_nodes>},
                                             {"GET", "dump", 2, readWithoutParameters<read_dump>},
                                             {"GET", "metrics", 2, readWithoutParameters<read_metrics>}}};

route dispatch(const parsed_request &request)
{
    bool pathExists = false;
    for (const route_entry &entry : routes) {
        const bool matches =
            request.path.size() == entry.segments && request.path[0] == "v1" && request.path[1] == entry.name;
        if (matches && request.parts.method == entry.method) {
            return entry.handler(request);
        }
        pathExists = pathExists || matches;
    }
    if (pathExists) {
        return route_error{405, "the path does not support the method " + request.parts.method};
    }
    return route_error{404, "no such path"};
}

std::vector<std::string> decodeAll(const std::vector<std::string> &encoded)
{
    std::vector<std::string> decoded;
    decoded.reserve(encoded.size());
    for (const std::string &text : encoded) {
        decoded.push_back(web::uri::decode(text));
    }
    return decoded;
}

query_parameters decodeAll(const query_parameters &encoded)
{
    query_parameters decoded;
    for (const auto &[name, text] : encoded) {
        decoded[web::uri::decode(name)] = web::uri::decode(text);
    }
    return decoded;
}

} // namespace

bool isCallerTarget(const std::string &target)
{
    return target == "/v1/jobs" || target.starts_with("/v1/jobs/");
}

std::variant<front_end_call, route_error> routeRequest(const http_request_parts &request)
{
    try {
        const web::uri target(request.target);
        return dispatch(parsed_request{
            request, decodeAll(web::uri::split_path(target.path())), decodeAll(web::uri::split_query(target.query()))});
    } catch (const std::exception &) {
        return route_error{400, "the path or query is malformed"};
    }
}

int httpStatus(const job_answer &answer)
{
    switch (answer.status) {
    case answer_status::Accepted:
        return 202;
    case answer_status::Refused:
        return answer.retryAfter.count() > 0 ? 503 : 422;
    case answer_status::Conflict:
        return 409;
    case answer_status::Expired:
        return 410;
    case answer_status::NotFound:
        return 404;
    case answer_status::Unknown:
        return 504;
    default:
        return 200;
    }
}

std::int64_t retryAfterSeconds(const job_answer &answer)
{
    if (answer.retryAfter.count() <= 0) {
        return 0;
    }
    return std::chrono::ceil<std::chrono::seconds>(answer.retryAfter).count();
}

} // namespace sesamespar
