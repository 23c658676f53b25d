#include "harness/wait_until.h"

#include <thread>

namespace sesamespar::harness {

bool waitUntil(milliseconds limit, const std::function<bool()> &condition)
{
    const time_point end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

} // namespace sesamespar::harness
