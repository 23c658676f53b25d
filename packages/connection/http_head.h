// Parser of HTTP heads for the guard in front of the HTTP library. Stricter than the library's own parser.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sesamespar {

/// Largest head of a request in bytes, including the empty line at its end.
constexpr std::size_t maxHeadBytes = 16384;

/// The parts of a request head that the guard uses or forwards.
struct request_head {
    std::string method;
    std::string target; ///< Path and query as received.
    std::string authorization; ///< Value of the Authorization header; empty if absent.
    std::uint64_t bodyBytes = 0;
    bool keepAlive = true;
    bool expectsContinue = false; ///< The sender waits for status 100 before it sends the body.
};

/// Why a request is rejected: HTTP status and message.
struct head_error {
    int status = 400;
    std::string problem;
};

/// Parses a request head, which must include its empty line. Errors: 400 for a malformed head, 405 for a method that no
/// path supports, 411 for a body without Content-Length, 413 for a body above the limit.
std::variant<request_head, head_error> parseRequestHead(std::string_view head, std::uint64_t bodyLimit);

/// Head of a response of the HTTP library.
struct response_head {
    std::string lines; ///< Status line and headers except Connection, each with its line end.
    std::uint64_t bodyBytes = 0;
    bool keepAlive = true; ///< The library accepts further requests on the connection.
};

/// Parses a response head. Returns nothing if it is malformed or has no Content-Length.
std::optional<response_head> parseResponseHead(std::string_view head);

/// Reason phrase of a status for the status line; "Error" if the status is not in its table.
std::string_view reasonPhrase(int status);

} // namespace sesamespar
