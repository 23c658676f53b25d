#include "standins/timer_queue.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace sesamespar::standins {

struct timer_queue {
    std::mutex mutex;
    std::condition_variable changed;
    std::multimap<time_point, std::function<void()>> actions;
    bool stopping = false;
    std::thread thread;

    ~timer_queue()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
        }
        changed.notify_all();
        thread.join();
    }
};

namespace {

void runTimers(timer_queue &queue)
{
    std::unique_lock lock(queue.mutex);
    while (!queue.stopping) {
        if (queue.actions.empty()) {
            queue.changed.wait(lock);
            continue;
        }
        const auto first = queue.actions.begin();
        if (first->first > std::chrono::steady_clock::now()) {
            queue.changed.wait_until(lock, time_point(first->first));
            continue;
        }
        const std::function<void()> action = std::move(first->second);
        queue.actions.erase(first);
        lock.unlock();
        action();
        lock.lock();
    }
}

} // namespace

std::shared_ptr<timer_queue> startTimerQueue()
{
    auto queue = std::make_shared<timer_queue>();
    queue->thread = std::thread([plain = queue.get()] { runTimers(*plain); });
    return queue;
}

void runAt(timer_queue &queue, time_point due, std::function<void()> action)
{
    {
        const std::lock_guard lock(queue.mutex);
        queue.actions.emplace(due, std::move(action));
    }
    queue.changed.notify_one();
}

} // namespace sesamespar::standins
