#include "connection/traffic_threads.h"

// Boost 1.74 uses std::exchange in a header of the thread pool without including <utility>.
// clang-format off
#include <utility>
#include <exception>
#include <pplx/threadpool.h>
// clang-format on

namespace sesamespar {

bool initializeTrafficThreads(unsigned threads)
{
    try {
        crossplat::threadpool::initialize_with_threads(threads);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace sesamespar
