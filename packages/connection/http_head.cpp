#include "connection/http_head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace sesamespar {

namespace {

constexpr std::string_view lineEnd = "\r\n";

/// Removes the first line from `rest` and returns it without its line end. Returns nothing if there is no line end.
std::optional<std::string_view> consumeLine(std::string_view &rest)
{
    const std::size_t end = rest.find(lineEnd);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + lineEnd.size());
    return line;
}

bool isTokenChar(char c)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z')
        || punctuation.find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isPrintable(char c)
{
    return c > ' ' && c <= '~';
}

/// True for the characters of a header value: printable ASCII, space, tab and bytes above ASCII.
bool isValueChar(char c)
{
    return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7F');
}

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char leftChar, char rightChar) {
        return toLower(leftChar) == toLower(rightChar);
    });
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view whitespace = " \t";
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// True if a comma-separated header value has an element equal to `wanted`, ignoring case.
bool listContains(std::string_view list, std::string_view wanted)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (equalsIgnoringCase(trim(list.substr(0, comma)), wanted)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

struct header_line {
    std::string_view name;
    std::string_view value;
};

/// Parses a header line. Returns nothing if it is malformed; a folded line, which starts with a space or tab, is
/// treated as malformed.
std::optional<header_line> parseHeader(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        return std::nullopt;
    }
    const std::string_view value = trim(line.substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), isValueChar)) {
        return std::nullopt;
    }
    return header_line{line.substr(0, colon), value};
}

/// Parses a length that consists of digits only. A length that does not fit becomes UINT64_MAX, which exceeds any
/// limit.
std::optional<std::uint64_t> parseLength(std::string_view digits)
{
    const bool onlyDigits =
        !digits.empty() && std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!onlyDigits) {
        return std::nullopt;
    }
    std::uint64_t length = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    return parsed.ec == std::errc() ? length : UINT64_MAX;
}

/// Result of the header lines parsed so far.
struct header_state {
    request_head head;
    std::optional<std::uint64_t> length;
    bool hasTransferEncoding = false;
    bool hasAuthorization = false;
};

std::optional<head_error> readRequestLine(std::string_view line, request_head &head)
{
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) {
        return head_error{400, "the request line is malformed"};
    }
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    const bool wellFormed = isToken(method) && target.starts_with('/')
        && std::all_of(target.begin(), target.end(), isPrintable) && (version == "HTTP/1.1" || version == "HTTP/1.0");
    if (!wellFormed) {
        return head_error{400, "the request line is malformed"};
    }
    if (method != "GET" && method != "POST" && method != "PUT" && method != "DELETE") {
        return head_error{405, "the method must be GET, POST, PUT or DELETE"};
    }
    head.method = method;
    head.target = target;
    head.keepAlive = version == "HTTP/1.1";
    return std::nullopt;
}

std::optional<head_error> readContentLength(std::string_view value, header_state &state)
{
    const auto length = parseLength(value);
    if (!length) {
        return head_error{400, "Content-Length must be a whole number and not negative"};
    }
    if (state.length) {
        return head_error{400, "Content-Length occurs twice"};
    }
    state.length = length;
    return std::nullopt;
}

std::optional<head_error> readAuthorization(std::string_view value, header_state &state)
{
    if (std::exchange(state.hasAuthorization, true)) {
        return head_error{400, "Authorization occurs twice"};
    }
    state.head.authorization = value;
    return std::nullopt;
}

void readConnection(std::string_view value, request_head &head)
{
    if (listContains(value, "close")) {
        head.keepAlive = false;
    } else if (listContains(value, "keep-alive")) {
        head.keepAlive = true;
    }
}

std::optional<head_error> readHeader(const header_line &header, header_state &state)
{
    if (equalsIgnoringCase(header.name, "Content-Length")) {
        return readContentLength(header.value, state);
    }
    if (equalsIgnoringCase(header.name, "Authorization")) {
        return readAuthorization(header.value, state);
    }
    if (equalsIgnoringCase(header.name, "Transfer-Encoding")) {
        state.hasTransferEncoding = true;
    } else if (equalsIgnoringCase(header.name, "Connection")) {
        readConnection(header.value, state.head);
    } else if (equalsIgnoringCase(header.name, "Expect")) {
        state.head.expectsContinue = equalsIgnoringCase(header.value, "100-continue");
    }
    return std::nullopt;
}

std::optional<head_error> checkBody(header_state &state, std::uint64_t bodyLimit)
{
    if (state.hasTransferEncoding && state.length) {
        return head_error{400, "Transfer-Encoding and Content-Length exclude each other"};
    }
    const bool needsLength = state.head.method == "POST" || state.head.method == "PUT";
    if (state.hasTransferEncoding || (needsLength && !state.length)) {
        return head_error{411, "a request with a body needs Content-Length"};
    }
    state.head.bodyBytes = state.length.value_or(0);
    if (state.head.bodyBytes > bodyLimit) {
        return head_error{413, "the request body must have at most " + std::to_string(bodyLimit) + " bytes"};
    }
    return std::nullopt;
}

} // namespace

std::variant<request_head, head_error> parseRequestHead(std::string_view head, std::uint64_t bodyLimit)
{
    header_state state;
    const auto requestLine = consumeLine(head);
    if (auto fault = readRequestLine(requestLine.value_or(std::string_view()), state.head)) {
        return *fault;
    }
    for (auto line = consumeLine(head); line && !line->empty(); line = consumeLine(head)) {
        const auto header = parseHeader(*line);
        if (!header) {
            return head_error{400, "a header line is malformed"};
        }
        if (auto fault = readHeader(*header, state)) {
            return *fault;
        }
    }
    if (auto fault = checkBody(state, bodyLimit)) {
        return *fault;
    }
    return state.head;
}

std::optional<response_head> parseResponseHead(std::string_view head)
{
    response_head parsed;
    std::optional<std::uint64_t> length;
    const auto statusLine = consumeLine(head);
    if (!statusLine || !statusLine->starts_with("HTTP/1.1 ")) {
        return std::nullopt;
    }
    parsed.lines = std::string(*statusLine) + std::string(lineEnd);
    for (auto line = consumeLine(head); line && !line->empty(); line = consumeLine(head)) {
        const auto header = parseHeader(*line);
        if (!header || equalsIgnoringCase(header->name, "Transfer-Encoding")) {
            return std::nullopt;
        }
        if (equalsIgnoringCase(header->name, "Content-Length")) {
            length = parseLength(header->value);
        }
        if (equalsIgnoringCase(header->name, "Connection")) {
            parsed.keepAlive = !listContains(header->value, "close");
        } else {
            parsed.lines += std::string(*line) + std::string(lineEnd);
        }
    }
    if (!length) {
        return std::nullopt;
    }
    parsed.bodyBytes = *length;
    return parsed;
}

std::string_view reasonPhrase(int status)
{
    constexpr std::array<std::pair<int, std::string_view>, 9> knownPhrases{{{400, "Bad Request"},
                                                                            {405, "Method Not Allowed"},
                                                                            {408, "Request Timeout"},
                                                                            {411, "Length Required"},
                                                                            {413, "Content Too Large"},
                                                                            {431, "Request Header Fields Too Large"},
                                                                            {503, "Service Unavailable"},
                                                                            {504, "Gateway Timeout"},
                                                                            {401, "Unauthorized"}}};
    for (const auto &[known, text] : knownPhrases) {
        if (known == status) {
            return text;
        }
    }
    return "Error";
}

} // namespace sesamespar
