#include "base/time.h"

namespace sesamespar {

clock_reading readClocks()
{
    const auto utc = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::steady_clock::now(), utc_time(std::chrono::duration_cast<milliseconds>(utc).count())};
}

} // namespace sesamespar
