// HTTP server of the stand-ins, based on the listener of the HTTP library. Handlers run on the library's threads, must
// not block, and may answer later from any thread. The library never closes a port: a closed listener answers 404. A
// server therefore runs until its process exits.
#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sesamespar::standins {

/// Query parameters, percent-decoded.
using query_parameters = std::map<std::string, std::string>;

/// One received request.
struct http_call {
    std::string method;
    std::string target; ///< Path and query, not decoded.
    std::string path; ///< Path without the query, not decoded.
    query_parameters query;
    std::string body;
};

/// Response to a request.
struct http_answer {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
};

/// Sends the response to one request. May be called from any thread; only the first call has an effect.
using http_responder = std::function<void(const http_answer &)>;
/// Handles one request.
using http_handler = std::function<void(const http_call &, const http_responder &)>;

/// A running server.
struct http_service;

/// Sets the number of threads of the HTTP library. Must be called once, before any other use of the library.
void startHttpThreads(std::size_t threads);

/// Listens on HOST:PORT; port 0 selects a free port. Errors: InvalidInput if the address cannot be bound.
result<std::shared_ptr<http_service>>
startHttpService(const std::string &host, std::uint16_t port, http_handler handler);

/// Address on which the server listens.
address boundAddress(const http_service &service);

/// Integer value of a query parameter, or the fallback if the parameter is absent or not an integer.
std::int64_t queryNumber(const query_parameters &query, const std::string &name, std::int64_t fallback);

/// Text of a query parameter; empty if the parameter is absent.
std::string queryText(const query_parameters &query, const std::string &name);

} // namespace sesamespar::standins
