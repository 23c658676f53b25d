#include "connection/reply_observer.h"

#include "base/log.h"

#include <exception>

namespace sesamespar {

void observeReply(const pplx::task<void> &reply, const std::function<void()> &onFinished)
{
    // The static analyzer reports a false use after free in the library's reference counting.
#ifndef __clang_analyzer__
    reply.then([onFinished](const pplx::task<void> &sent) {
        if (onFinished) {
            onFinished();
        }
        try {
            sent.get();
        } catch (const std::exception &problem) {
            log_event("reply_failed", log_level::Warning).with("problem", problem.what());
        }
    });
#else
    static_cast<void>(reply);
    static_cast<void>(onFinished);
#endif
}

} // namespace sesamespar
