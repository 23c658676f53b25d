#include "connection/http_call.h"

#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <exception>
#include <system_error>

namespace sesamespar {

namespace {

web::http::client::http_client_config clientSettings(milliseconds idleTimeout)
{
    web::http::client::http_client_config settings;
    settings.set_timeout(idleTimeout);
    // Following a redirect would send the secret to another address.
    settings.set_max_redirects(0);
    settings.set_proxy(web::web_proxy(web::web_proxy::disabled));
    return settings;
}

web::http::http_request makeRequest(const http_call &call, const std::string &secret)
{
    web::http::http_request request(call.method);
    request.set_request_uri(web::uri(call.path));
    request.headers().add(web::http::header_names::authorization, "Bearer " + secret);
    if (!call.contentType.empty()) {
        request.set_body(call.body, call.contentType);
    }
    return request;
}

bool isConnectFailure(const std::error_code &code)
{
    return code == std::errc::host_unreachable || code == std::errc::connection_refused;
}

} // namespace

void limitHttpThreads(unsigned threads)
{
    try {
        crossplat::threadpool::initialize_with_threads(threads);
    } catch (const std::exception &) { // NOLINT(bugprone-empty-catch)
        // The thread pool is already running and keeps its size.
    }
}

struct http_endpoint {
    std::string secret;
    web::http::client::http_client client;
};

http_endpoint_ptr makeHttpEndpoint(const address &daemon, const std::string &secret, milliseconds idleTimeout)
{
    try {
        return std::make_shared<http_endpoint>(
            http_endpoint{secret, {web::uri("http://" + daemon.value), clientSettings(idleTimeout)}});
    } catch (const std::exception &) {
        return nullptr;
    }
}

http_outcome performCall(http_endpoint &endpoint, const http_call &call, bool reused)
{
    http_outcome outcome;
    // Shared with the library, which may still hold the request when this function returns.
    const auto attempts = std::make_shared<std::atomic<unsigned>>(0);
    try {
        web::http::http_request request = makeRequest(call, endpoint.secret);
        // Each attempt reports a progress of 0 bytes once its head is written.
        request.set_progress_handler(
            [attempts](web::http::message_direction::direction direction, utility::size64_t bytes) {
                *attempts += direction == web::http::message_direction::upload && bytes == 0 ? 1 : 0;
            });
        web::http::http_response response = endpoint.client.request(request).get();
        outcome.body = response.extract_utf8string(true).get();
        outcome.status = response.status_code();
        outcome.delivery = call_delivery::Answered;
        outcome.resent = *attempts > 1;
    } catch (const web::http::http_exception &failure) {
        const bool notSent = !reused && isConnectFailure(failure.error_code());
        outcome.delivery = notSent ? call_delivery::NotSent : call_delivery::Uncertain;
        outcome.problem = failure.what();
    } catch (const std::exception &failure) {
        outcome.problem = failure.what();
    }
    return outcome;
}

std::string encodeSegment(const std::string &text)
{
    return web::uri::encode_data_string(text);
}

} // namespace sesamespar
