// Waits for conditions in tests, with limits far above what is expected.
#pragma once

#include "base/time.h"

#include <functional>

namespace sesamespar::harness {

/// Checks the condition every 20 ms until it is true or the limit has passed; tells whether it became true.
bool waitUntil(milliseconds limit, const std::function<bool()> &condition);

} // namespace sesamespar::harness
