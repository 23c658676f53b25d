#include "term/long_request_limit.h"

#include <algorithm>
#include <cmath>

namespace sesamespar {

namespace {

/// Shares of the machines, in tenths, that long requests may always and at most use. A burst of short requests finds
/// the rest free.
constexpr std::size_t leastShareTenths = 6;
constexpr std::size_t mostShareTenths = 9;
constexpr std::size_t tenths = 10;
/// Time constant of the decay of the peak. A long request takes up to 1.7 s, so the limit follows the end of a load
/// within about two of them.
constexpr std::chrono::duration<double> peakDecay{2.5};

double decayedPeak(const short_request_use &use, time_point uptime)
{
    const std::chrono::duration<double> elapsed = uptime - use.measuredAt.value_or(uptime);
    return use.peak * std::exp(-elapsed / peakDecay);
}

} // namespace

void recordShortRequests(short_request_use &use, std::size_t open, time_point uptime)
{
    use.peak = std::max(static_cast<double>(open), decayedPeak(use, uptime));
    use.measuredAt = uptime;
}

std::size_t longRequestLimit(std::size_t machines, const short_request_use &use, time_point uptime)
{
    const std::size_t least = std::max<std::size_t>(1, machines * leastShareTenths / tenths);
    if (!use.measuredAt) {
        return least;
    }
    const std::size_t most = std::max(least, machines * mostShareTenths / tenths);
    const auto kept = static_cast<std::size_t>(std::ceil(decayedPeak(use, uptime)));
    return std::clamp(machines - std::min(machines, kept), least, most);
}

} // namespace sesamespar
