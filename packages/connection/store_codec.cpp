#include "connection/base64.h"
#include "connection/codec.h"
#include "connection/json_value.h"

#include <cpprest/base_uri.h>

#include <charconv>
#include <map>
#include <optional>

namespace sesamespar {

/// A value as encoded in JSON, with its content as base64.
struct encoded_store_value {
    std::string value;
    store_revision revision;
};

/// Body of a put.
struct encoded_store_content {
    std::string value;
};

constexpr value_limits base64Bytes{0, (maxStoreValueBytes + 2) / 3 * 4};

template<>
struct field_list<encoded_store_value> {
    static constexpr auto fields = std::make_tuple(field("value", &encoded_store_value::value, base64Bytes),
                                                   field("revision", &encoded_store_value::revision, any64));
};

template<>
struct field_list<encoded_store_content> {
    static constexpr auto fields = std::make_tuple(field("value", &encoded_store_content::value, base64Bytes));
};

namespace {

using query_parameters = std::map<std::string, std::string>;

const std::string valuePath = "/v1/kv/";
const std::string keysPath = "/v1/keys";
const std::string vmsPath = "/v1/vms";

result<std::string> decodeStoredBytes(const std::string &text)
{
    auto bytes = decodeBase64(text);
    if (!bytes) {
        return makeError(error_kind::InvalidInput, "value: must be base64");
    }
    return std::move(*bytes);
}

std::string keyTarget(const std::string &key)
{
    return valuePath + web::uri::encode_data_string(key);
}

store_http_call encodeCall(const store_get &request)
{
    return {"GET", keyTarget(request.key), {}};
}

store_http_call encodeCall(const store_put &request)
{
    return {"PUT",
            keyTarget(request.key) + "?expected=" + std::to_string(request.expected.value),
            encodeJson(encoded_store_content{encodeBase64(request.value)})};
}

store_http_call encodeCall(const store_watch &request)
{
    return {"GET",
            keyTarget(request.key) + "?after=" + std::to_string(request.after.value)
                + "&wait=" + std::to_string(request.wait.count()),
            {}};
}

store_http_call encodeCall(const store_list &request)
{
    return {"GET",
            keysPath + "?prefix=" + web::uri::encode_data_string(request.prefix)
                + "&after=" + web::uri::encode_data_string(request.after),
            {}};
}

store_http_call encodeCall(const store_vm_list &)
{
    return {"GET", vmsPath, {}};
}

std::string encodeReply(const store_value &reply)
{
    return encodeJson(encoded_store_value{encodeBase64(reply.value), reply.revision});
}

template<typename Reply>
std::string encodeReply(const Reply &reply)
{
    return encodeJson(reply);
}

/// Number in a query parameter, or nothing if it is absent or malformed.
std::optional<std::uint64_t> queryNumber(const query_parameters &query, const std::string &name)
{
    const auto found = query.find(name);
    if (found == query.end()) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char *end = found->second.data() + found->second.size();
    const auto parsed = std::from_chars(found->second.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

std::string queryText(const query_parameters &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : web::uri::decode(found->second);
}

result<store_request> decodePut(std::string key, const query_parameters &query, const std::string &body)
{
    const auto expected = queryNumber(query, "expected");
    if (!expected) {
        return makeError(error_kind::InvalidInput, "expected: must be a whole number and not negative");
    }
    const auto content = decodeJson<encoded_store_content>(body);
    if (!content) {
        return content.error();
    }
    auto bytes = decodeStoredBytes(content.value().value);
    if (!bytes) {
        return bytes.error();
    }
    return store_request(store_put{std::move(key), std::move(bytes.value()), store_revision(*expected)});
}

result<store_request> decodeGetOrWatch(std::string key, const query_parameters &query)
{
    if (!query.contains("after") && !query.contains("wait")) {
        return store_request(store_get{std::move(key)});
    }
    const auto after = queryNumber(query, "after");
    const auto wait = queryNumber(query, "wait");
    if (!after || !wait || *wait > anyDuration.most) {
        return makeError(error_kind::InvalidInput,
                         "after and wait: must be whole numbers, and wait at most one year in milliseconds");
    }
    return store_request(
        store_watch{std::move(key), store_revision(*after), milliseconds(static_cast<milliseconds::rep>(*wait))});
}

result<store_request> decodeTarget(const store_http_call &call, const web::uri &target)
{
    const query_parameters query = web::uri::split_query(target.query());
    const std::string &path = target.path();
    if (call.method == "GET" && path == vmsPath) {
        return store_request(store_vm_list{});
    }
    if (call.method == "GET" && path == keysPath) {
        return store_request(store_list{queryText(query, "prefix"), queryText(query, "after")});
    }
    if (!path.starts_with(valuePath) || path.size() == valuePath.size()) {
        return makeError(error_kind::NotFound, "no call to the store has the path " + path);
    }
    std::string key = web::uri::decode(path.substr(valuePath.size()));
    if (call.method == "GET") {
        return decodeGetOrWatch(std::move(key), query);
    }
    if (call.method == "PUT") {
        return decodePut(std::move(key), query, call.body);
    }
    return makeError(error_kind::NotFound, "the store has no call with the method " + call.method);
}

result<store_reply> decodeValue(std::string_view json)
{
    const auto encoded = decodeJson<encoded_store_value>(json);
    if (!encoded) {
        return encoded.error();
    }
    auto bytes = decodeStoredBytes(encoded.value().value);
    if (!bytes) {
        return bytes.error();
    }
    return store_reply(store_value{std::move(bytes.value()), encoded.value().revision});
}

} // namespace

store_http_call encodeStoreRequest(const store_request &request)
{
    return std::visit([](const auto &single) { return encodeCall(single); }, request);
}

result<store_request> decodeStoreRequest(const store_http_call &call)
{
    try {
        return decodeTarget(call, web::uri(call.target));
    } catch (const std::exception &) {
        return makeError(error_kind::InvalidInput, "the target of the call is malformed");
    }
}

std::string encodeStoreReply(const store_reply &reply)
{
    return std::visit([](const auto &single) { return encodeReply(single); }, reply);
}

result<store_reply> decodeStoreReply(const store_request &request, std::string_view json)
{
    if (std::holds_alternative<store_put>(request)) {
        return decodeJsonAs<store_reply, store_put_reply>(json);
    }
    if (std::holds_alternative<store_list>(request)) {
        return decodeJsonAs<store_reply, store_keys>(json);
    }
    if (std::holds_alternative<store_vm_list>(request)) {
        return decodeJsonAs<store_reply, vm_list>(json);
    }
    return decodeValue(json);
}

} // namespace sesamespar
