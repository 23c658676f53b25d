#include "request/outage_backoff.h"

#include "request/retry_spread.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Duration of the shortest outages. A retry before is refused again.
constexpr milliseconds shortestOutage{4000};
/// Shortest delay for an outage that has just begun or may end at any time.
constexpr milliseconds shortestDelay{2000};
/// The delay grows by a third of the age of the outage: its end is the less certain, and the more retries of the
/// callers are used up, the longer it has lasted.
constexpr int growthDivisor = 3;
/// Callers whose time limit is some seconds would give up on a longer delay.
constexpr milliseconds longestDelay{8000};
/// Callers that were refused at the same moment return within this time. Retry-After is sent in whole seconds.
constexpr milliseconds spreadWidth{2000};

} // namespace

milliseconds outageRetryAfter(milliseconds downFor, const job_key &key)
{
    const milliseconds age = std::max(downFor, milliseconds(0));
    const milliseconds earliest = std::max(shortestOutage - age, shortestDelay + age / growthDivisor);
    const auto spread = static_cast<std::int64_t>(spreadOfKey(key) * static_cast<double>(spreadWidth.count()));
    return std::min(earliest, longestDelay - spreadWidth) + milliseconds(spread);
}

} // namespace sesamespar
