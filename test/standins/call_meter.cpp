#include "standins/call_meter.h"

#include <algorithm>

namespace sesamespar::standins {

namespace {

constexpr std::size_t maxCountedSeconds = 3600;

} // namespace

bool countCall(call_meter &meter, call_kind kind, time_point now)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(now - meter.start).count();
    const auto second = std::min(static_cast<std::size_t>(std::max<std::int64_t>(elapsed, 0)), maxCountedSeconds);
    if (meter.seconds.size() <= second) {
        meter.seconds.resize(second + 1);
    }
    ++meter.byKind.at(static_cast<std::size_t>(kind));
    second_count &current = meter.seconds.at(second);
    const bool write = kind == call_kind::Put;
    const std::uint64_t count = write ? ++current.writes : ++current.reads;
    if (count <= (write ? meter.writesPerSecond : meter.readsPerSecond)) {
        return true;
    }
    ++meter.refused;
    return false;
}

} // namespace sesamespar::standins
