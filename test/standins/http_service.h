// HTTP server of the stand-ins, over the HTTP library's listener. Handlers run on the library's threads,
// must not block, and may answer later from any thread. The library never closes a port again: a closed
// listener answers 404. A server therefore runs until its process ends.
#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sesamespar::standins {

/// Decoded parameters of a query.
using query_parameters = std::map<std::string, std::string>;

/// One call as it came in.
struct http_call {
    std::string method;
    std::string target; ///< Path and query as they were sent.
    std::string path; ///< Without the query, not decoded.
    query_parameters query;
    std::string body;
};

/// Answer to a call.
struct http_answer {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
};

/// Answers one call. Only the first answer to a call counts; it may be given from any thread.
using http_responder = std::function<void(const http_answer &)>;
/// Takes each call.
using http_handler = std::function<void(const http_call &, const http_responder &)>;

/// A running server.
struct http_service;

/// Sets the number of threads of the HTTP library. Call once, before anything else of the library.
void startHttpThreads(std::size_t threads);

/// Listens on HOST:PORT; port 0 takes a free one. Errors: InvalidInput if the address cannot be bound.
result<std::shared_ptr<http_service>>
startHttpService(const std::string &host, std::uint16_t port, http_handler handler);

/// Address that it listens on.
address boundAddress(const http_service &service);

/// Number parameter of a query, or the fallback if it is absent or not a number.
std::int64_t queryNumber(const query_parameters &query, const std::string &name, std::int64_t fallback);

/// Text parameter of a query; empty if it is absent.
std::string queryText(const query_parameters &query, const std::string &name);

} // namespace sesamespar::standins
