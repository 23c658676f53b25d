// Waits for conditions in tests. Limits are far above the expected duration.
#pragma once

#include "base/time.h"

#include <functional>

namespace sesamespar::harness {

/// Evaluates the condition every 20 ms until it is true or the limit has passed. Returns whether it became true.
bool waitUntil(milliseconds limit, const std::function<bool()> &condition);

} // namespace sesamespar::harness
