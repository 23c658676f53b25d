// Addresses of the form HOST:PORT.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sesamespar {

/// The parts of an address. An IPv6 host has no brackets here.
struct host_port {
    std::string host;
    std::uint16_t port = 0;
};

/// Splits HOST:PORT or [IPV6]:PORT; nothing if the text has another form.
std::optional<host_port> parseHostPort(std::string_view text);

/// True for the text of an IPv4 or IPv6 address.
bool isIpAddress(const std::string &host);

} // namespace sesamespar
