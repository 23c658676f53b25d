#include "connection/traffic_threads.h"

// Boost 1.74 uses std::exchange in a header of the thread pool without including <utility>.
// clang-format off
#include <utility>
#include <exception>
#include <pplx/threadpool.h>
// clang-format on

#include <atomic>
#include <barrier>
#include <latch>
#include <memory>
#include <mutex>

namespace sesamespar {

namespace {

// The library's default.
constexpr unsigned defaultThreads = 40;
std::atomic<unsigned> threadCount = defaultThreads;

// Occupies all threads at the same time, so that every handler that was running before has finished afterwards.
void occupyAllThreads()
{
    const auto threads = static_cast<std::ptrdiff_t>(threadCount.load());
    const auto allOccupied = std::make_shared<std::barrier<>>(threads);
    const auto done = std::make_shared<std::latch>(threads);
    for (std::ptrdiff_t index = 0; index < threads; ++index) {
        crossplat::threadpool::shared_instance().service().post([allOccupied, done] {
            allOccupied->arrive_and_wait();
            done->count_down();
        });
    }
    done->wait();
}

} // namespace

bool initializeTrafficThreads(unsigned threads)
{
    try {
        crossplat::threadpool::initialize_with_threads(threads);
        threadCount = threads;
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

void flushTrafficThreads()
{
    // Ending a connection takes several handlers, each of which posts the next.
    constexpr int rounds = 8;
    // Two concurrent calls would deadlock: each would occupy some of the threads and wait for the others.
    static std::mutex flushMutex;
    const std::lock_guard lock(flushMutex);
    for (int round = 0; round < rounds; ++round) {
        occupyAllThreads();
    }
}

} // namespace sesamespar
