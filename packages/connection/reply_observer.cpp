#include "connection/reply_observer.h"

#include "base/log.h"

#include <exception>

namespace sesamespar {

void observeReply(const pplx::task<void> &reply, const std::function<void()> &over)
{
    // The analyzer takes the library's reference counts for a use after free.
#ifndef __clang_analyzer__
    reply.then([over](const pplx::task<void> &sent) {
        if (over) {
            over();
        }
        try {
            sent.get();
        } catch (const std::exception &problem) {
            log_event("reply_failed", log_level::Warning).with("problem", problem.what());
        }
    });
#else
    static_cast<void>(reply);
    static_cast<void>(over);
#endif
}

} // namespace sesamespar
