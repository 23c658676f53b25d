// Addresses of the form HOST:PORT.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesamespar {

/// A parsed address. The brackets around an IPv6 host are removed.
struct host_port {
    std::string host;
    std::uint16_t port = 0;
};

/// Parses HOST:PORT or [IPV6]:PORT; returns nullopt for any other form. Port 0 is accepted.
std::optional<host_port> parseHostPort(std::string_view text);

/// Returns true for an IPv4 address or an IPv6 address without brackets.
bool isIpAddress(const std::string &host);

} // namespace sesamespar
