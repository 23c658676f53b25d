#include "base/mailbox.h"

#include "base/error_boundary.h"

namespace sesamespar {

namespace {

std::deque<control_task> waitForTasks(mailbox &box, const timer_service &timers)
{
    std::unique_lock lock(box.mutex);
    const auto due = nextDue(timers);
    const auto ready = [&box] {
        return !box.tasks.empty();
    };
    if (due) {
        box.arrived.wait_until(lock, *due, ready);
    } else {
        box.arrived.wait(lock, ready);
    }
    box.requests = 0;
    return std::exchange(box.tasks, {});
}

} // namespace

void post(mailbox &box, control_task task)
{
    {
        const std::lock_guard lock(box.mutex);
        box.tasks.push_back(std::move(task));
    }
    box.arrived.notify_one();
}

bool postRequest(mailbox &box, control_task task)
{
    {
        const std::lock_guard lock(box.mutex);
        if (box.requests >= maxQueuedRequests) {
            return false;
        }
        ++box.requests;
        box.tasks.push_back(std::move(task));
    }
    box.arrived.notify_one();
    return true;
}

void runBatch(std::deque<control_task> &tasks,
              timer_service &timers,
              const mailbox_handlers &handlers,
              const std::function<clock_reading()> &readClock)
{
    const auto contain = [&](std::string_view kind, const auto &step) {
        const bool completed = runContained(kind, {}, step);
        if (!completed && handlers.onError) {
            runContained("error_handler", {}, [&] { handlers.onError(readClock()); });
        }
        return completed;
    };
    for (control_task &task : tasks) {
        contain("task", [&] { task(readClock()); });
    }
    // A timer is no longer pending when it fires, so the next round continues with the one after it.
    while (!contain("timer", [&] { fireDue(timers, readClock()); })) { }
    contain("batch", [&] { handlers.afterBatch(readClock()); });
}

void runMailbox(mailbox &box, timer_service &timers, const bool &finished, const mailbox_handlers &handlers)
{
    while (!finished) {
        std::deque<control_task> tasks = waitForTasks(box, timers);
        runBatch(tasks, timers, handlers, readClocks);
    }
}

} // namespace sesamespar
