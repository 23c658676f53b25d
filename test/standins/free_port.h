// Finds free ports for servers that need a port number before they bind it.
#pragma once

#include <cstdint>
#include <string>

namespace sesamespar::standins {

/// Lets the kernel choose a free port of the host's IPv4 address and releases it again. Returns 0 on failure. Another
/// process may bind the port before the caller does, so callers retry.
std::uint16_t findFreePort(const std::string &host);

} // namespace sesamespar::standins
