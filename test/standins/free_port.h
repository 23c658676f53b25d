// Free ports of the loopback interface, for servers that must know their port before they bind it.
#pragma once

#include <cstdint>
#include <string>

namespace sesamespar::standins {

/// Port that the kernel gave out and that was released again; 0 if there is none. Another process may take
/// it before it is used, so callers retry.
std::uint16_t findFreePort(const std::string &host);

} // namespace sesamespar::standins
