// Callbacks of the links between processes. They run on the thread of the links.
#pragma once

#include "base/ids.h"

#include <functional>
#include <string_view>

namespace sesamespar {

/// Called with each packet.
using packet_sink = std::function<void(std::string_view bytes)>;

/// Called when an address becomes unreachable, and when it is reachable again.
using reachability_sink = std::function<void(const address &to, bool reachable)>;

} // namespace sesamespar
