#include "standins/http_service.h"

#include "standins/free_port.h"

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <charconv>
#include <optional>

namespace sesamespar::standins {

using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;

struct http_service {
    std::string host;
    std::uint16_t port = 0;
    http_handler handler;
    std::optional<http_listener> listener;
};

namespace {

/// Another process may bind the chosen port first; the next attempt then chooses another port.
constexpr int maxPortAttempts = 20;

void reply(const http_request &request, const http_answer &answer)
{
    http_response response(static_cast<web::http::status_code>(answer.status));
    response.set_body(answer.body, answer.contentType);
    // Sending fails if the caller has closed the connection. An unobserved exception would terminate the process.
    const auto observe = [](const pplx::task<void> &sent) {
        try {
            sent.get();
        } catch (const std::exception &) {
            return;
        }
    };
    request.reply(response).then(observe, pplx::cancellation_token::none());
}

http_responder makeResponder(const http_request &request)
{
    auto answered = std::make_shared<std::atomic<bool>>(false);
    return [request, answered](const http_answer &answer) {
        if (!answered->exchange(true)) {
            reply(request, answer);
        }
    };
}

http_call toCall(const http_request &request, std::string body)
{
    const web::uri target = request.relative_uri();
    http_call call{request.method(), target.to_string(), target.path(), {}, std::move(body)};
    for (const auto &entry : web::uri::split_query(target.query())) {
        call.query[web::uri::decode(entry.first)] = web::uri::decode(entry.second);
    }
    return call;
}

void handleRequest(const http_handler &handler, const http_request &request)
{
    http_request body = request;
    body.extract_utf8string(true).then([handler, request](const pplx::task<std::string> &extracted) {
        try {
            handler(toCall(request, extracted.get()), makeResponder(request));
        } catch (const std::exception &problem) {
            makeResponder(request)({400, problem.what(), "text/plain"});
        }
    });
}

bool tryOpen(http_service &service)
{
    try {
        service.listener.emplace(web::uri("http://" + service.host + ":" + std::to_string(service.port) + "/"));
        service.listener->support(
            [handler = service.handler](const http_request &request) { handleRequest(handler, request); });
        service.listener->open().wait();
        return true;
    } catch (const std::exception &) {
        service.listener.reset();
        return false;
    }
}

} // namespace

void startHttpThreads(std::size_t threads)
{
    crossplat::threadpool::initialize_with_threads(threads);
}

result<std::shared_ptr<http_service>>
startHttpService(const std::string &host, std::uint16_t port, http_handler handler)
{
    auto service = std::make_shared<http_service>();
    service->host = host;
    service->handler = std::move(handler);
    for (int attempt = 0; attempt < (port == 0 ? maxPortAttempts : 1); ++attempt) {
        service->port = port == 0 ? findFreePort(host) : port;
        if (service->port != 0 && tryOpen(*service)) {
            return service;
        }
    }
    return makeError(error_kind::InvalidInput, "cannot listen on " + boundAddress(*service).value);
}

address boundAddress(const http_service &service)
{
    return address(service.host + ":" + std::to_string(service.port));
}

std::int64_t queryNumber(const query_parameters &query, const std::string &name, std::int64_t fallback)
{
    const std::string text = queryText(query, name);
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end ? number : fallback;
}

std::string queryText(const query_parameters &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

} // namespace sesamespar::standins
