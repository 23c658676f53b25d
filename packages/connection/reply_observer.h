// Looks after the task with which the HTTP library sends a response.
#pragma once

#include <pplx/pplxtasks.h>

#include <functional>

namespace sesamespar {

/// Waits for nothing, but observes a failure to send: the library ends the process for one that nobody observes.
/// `over` runs on a traffic thread once the response was written or has failed.
void observeReply(const pplx::task<void> &reply, const std::function<void()> &over = {});

} // namespace sesamespar
