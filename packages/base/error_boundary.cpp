#include "base/error_boundary.h"

#include "base/log.h"

#include <atomic>

namespace sesamespar {

void logContainedError(std::string_view kind, std::string_view item, const char *problem)
{
    static std::atomic<std::uint64_t> containedErrors = 0;
    const std::uint64_t count = ++containedErrors;
    if (shouldLogOccurrence(count)) {
        log_event("error_contained", log_level::Error)
            .with("kind", kind)
            .with("item", item)
            .with("problem", problem)
            .with("count", count);
    }
}

} // namespace sesamespar
