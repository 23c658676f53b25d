#include "version/host_port.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace sesamespar {

std::optional<host_port> parseHostPort(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    host_port parsed;
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.port);
    if (digits.empty() || read.ec != std::errc{} || read.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const bool printable = std::all_of(host.begin(), host.end(), [](char c) { return c > ' ' && c < 0x7F; });
    if (host.empty() || !printable || (!bracketed && host.find_first_of("[]:/@?#") != std::string_view::npos)) {
        return std::nullopt;
    }
    parsed.host = std::string(host);
    return parsed;
}

bool isIpAddress(const std::string &host)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, host.c_str(), buffer.data()) == 1
        || inet_pton(AF_INET6, host.c_str(), buffer.data()) == 1;
}

} // namespace sesamespar
