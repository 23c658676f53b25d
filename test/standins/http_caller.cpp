#include "standins/http_caller.h"

#include <cpprest/http_client.h>

namespace sesamespar::standins {

namespace {

web::http::http_request makeRequest(const outgoing_http &call)
{
    web::http::http_request request(call.method);
    request.set_request_uri(web::uri(call.target));
    if (!call.body.empty()) {
        request.set_body(call.body, "application/json");
    }
    if (!call.bearer.empty()) {
        request.headers().add("Authorization", "Bearer " + call.bearer);
    }
    return request;
}

} // namespace

result<http_reply> sendHttp(const outgoing_http &call)
{
    try {
        web::http::client::http_client_config settings;
        settings.set_timeout(call.limit);
        web::http::client::http_client client(web::uri("http://" + call.to.value), settings);
        const web::http::http_response response = client.request(makeRequest(call)).get();
        return http_reply{response.status_code(), response.extract_utf8string(true).get()};
    } catch (const std::exception &problem) {
        return makeError(error_kind::Unknown, call.method + " " + call.to.value + call.target + ": " + problem.what());
    }
}

std::string percentEncode(const std::string &plain)
{
    return web::uri::encode_data_string(plain);
}

} // namespace sesamespar::standins
