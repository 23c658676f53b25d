#include "standins/timer_queue.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace sesamespar::standins {

namespace {

/// State that the thread shares with the queue, because an action may drop the last reference to the queue.
struct timer_state {
    std::mutex mutex;
    std::condition_variable changed;
    std::multimap<time_point, std::function<void()>> actions;
    bool stopping = false;
};

void runTimers(const std::shared_ptr<timer_state> &state)
{
    std::unique_lock lock(state->mutex);
    while (!state->stopping) {
        if (state->actions.empty()) {
            state->changed.wait(lock);
            continue;
        }
        const auto first = state->actions.begin();
        if (first->first > std::chrono::steady_clock::now()) {
            state->changed.wait_until(lock, time_point(first->first));
            continue;
        }
        const std::function<void()> action = std::move(first->second);
        state->actions.erase(first);
        lock.unlock();
        action();
        lock.lock();
    }
}

} // namespace

struct timer_queue {
    std::shared_ptr<timer_state> state = std::make_shared<timer_state>();
    std::thread thread{[shared = state] {
        runTimers(shared);
    }};

    timer_queue() = default;
    timer_queue(const timer_queue &) = delete;
    timer_queue &operator=(const timer_queue &) = delete;
    ~timer_queue()
    {
        {
            const std::lock_guard lock(state->mutex);
            state->stopping = true;
        }
        state->changed.notify_all();
        // A thread cannot join itself. If an action dropped the queue, the thread ends after that action.
        if (thread.get_id() == std::this_thread::get_id()) {
            thread.detach();
        } else {
            thread.join();
        }
    }
};

std::shared_ptr<timer_queue> startTimerQueue()
{
    return std::make_shared<timer_queue>();
}

void runAt(timer_queue &queue, time_point due, std::function<void()> action)
{
    {
        const std::lock_guard lock(queue.state->mutex);
        queue.state->actions.emplace(due, std::move(action));
    }
    queue.state->changed.notify_one();
}

} // namespace sesamespar::standins
