#include "base/mailbox.h"

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

void runMailbox(mailbox &box, timer_service &timers, const bool &finished, const control_task &afterBatch)
{
    while (!finished) {
        std::deque<control_task> tasks = waitForTasks(box, timers);
        for (control_task &task : tasks) {
            task(readClocks());
        }
        fireDue(timers, readClocks());
        afterBatch(readClocks());
    }
}

} // namespace sesamespar
