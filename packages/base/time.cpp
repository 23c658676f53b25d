#include "base/time.h"

#include <ctime>

namespace sesamespar {

namespace {

time_point readUptime()
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace

clock_reading readClocks()
{
    const auto utc = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::steady_clock::now(),
            utc_time(std::chrono::duration_cast<milliseconds>(utc).count()),
            readUptime()};
}

} // namespace sesamespar
