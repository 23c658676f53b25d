#include "base/timer_service.h"

namespace sesamespar {

void subscribe(timer_service &service, timer &subscriber, time_point due)
{
    unsubscribe(subscriber);
    subscriber.due = due;
    service.pending.insert(subscriber);
}

void unsubscribe(timer &subscriber)
{
    if (subscriber.is_linked()) {
        subscriber.unlink();
    }
}

std::optional<time_point> nextDue(const timer_service &service)
{
    if (service.pending.empty()) {
        return std::nullopt;
    }
    return service.pending.begin()->due;
}

void fireDue(timer_service &service, const clock_reading &now)
{
    while (!service.pending.empty() && service.pending.begin()->due <= now.monotonic) {
        timer &first = *service.pending.begin();
        first.unlink();
        first.fire(now);
    }
}

} // namespace sesamespar
