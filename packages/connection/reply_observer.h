// Error handling for the task with which the HTTP library sends a response.
#pragma once

#include <pplx/pplxtasks.h>

#include <functional>

namespace sesamespar {

/// Logs a failure to send a response, without blocking. The library terminates the process if nothing observes such a
/// failure. `onFinished` runs on a traffic thread after the response was written or has failed.
void observeReply(const pplx::task<void> &reply, const std::function<void()> &onFinished = {});

} // namespace sesamespar
