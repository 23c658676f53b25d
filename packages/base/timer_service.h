// Timers of the control thread. A subscriber owns its timer; the control loop sleeps until the earliest timer is due
// and fires it.
#pragma once

#include "base/time.h"

#include <boost/intrusive/set.hpp>
#include <functional>
#include <optional>

namespace sesamespar {

/// A timer owned by its subscriber. Destroying it cancels it.
struct timer : boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    time_point due;
    std::function<void(const clock_reading &now)> fire;
};

/// Orders timers by their due time.
struct timer_order {
    bool operator()(const timer &left, const timer &right) const
    {
        return left.due < right.due;
    }
};

/// All pending timers, ordered by due time. Timers unlink themselves when destroyed.
struct timer_service {
    boost::intrusive::
        multiset<timer, boost::intrusive::compare<timer_order>, boost::intrusive::constant_time_size<false>>
            pending;
};

/// Sets the timer, pending or not, to fire once at `due`.
void subscribe(timer_service &service, timer &subscriber, time_point due);

/// Cancels the timer if it is pending.
void unsubscribe(timer &subscriber);

/// Due time of the earliest timer, or nothing.
std::optional<time_point> nextDue(const timer_service &service);

/// Fires every timer that is due. A timer may subscribe again from its callback.
void fireDue(timer_service &service, const clock_reading &now);

} // namespace sesamespar
