// Heads of HTTP messages as the guard in front of the HTTP library reads them. Stricter than the library.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sesamespar {

/// Largest head of a request in bytes, with the empty line at its end.
constexpr std::size_t maxHeadBytes = 16384;

/// Head of a request: all of it that is passed on.
struct request_head {
    std::string method;
    std::string target; ///< Path and query as sent.
    std::string authorization; ///< Value of the Authorization header; empty if absent.
    std::uint64_t bodyBytes = 0;
    bool keepAlive = true;
    bool expectsContinue = false; ///< The sender waits for status 100 before it sends the body.
};

/// Why a request is not taken.
struct head_fault {
    int status = 400;
    std::string problem;
};

/// Parses a head up to and with its empty line. Faults: 400 for anything malformed, 405 for a method that is
/// not used, 411 for a body without Content-Length, 413 for a body above the limit.
std::variant<request_head, head_fault> parseRequestHead(std::string_view head, std::uint64_t bodyLimit);

/// Head of an answer of the HTTP library.
struct response_head {
    std::string lines; ///< Status line and headers without Connection, each with its line end.
    std::uint64_t bodyBytes = 0;
    bool keepAlive = true; ///< The library serves further requests on the connection.
};

/// Parses the head of an answer; nothing if it is malformed or its body has no announced length.
std::optional<response_head> parseResponseHead(std::string_view head);

/// Text of a status in a status line.
std::string_view statusText(int status);

} // namespace sesamespar
