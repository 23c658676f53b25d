// Follows all keys with a prefix in the store: lists them once, then watches. When the history that a watch needs is
// gone, or a watch may have missed something, it lists again and reports what has changed.
#pragma once

#include "base/mailbox.h"
#include "connection/store_port.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sesamespar {

/// What a follower does with the changes. All run on the control thread.
struct mirror_sink {
    std::function<void(const store_item &, const clock_reading &)> changed;
    std::function<void(const std::string &key, const clock_reading &)> removed;
    std::function<void(const clock_reading &)> listed; ///< A full listing was taken in.
};

/// One follower.
struct store_mirror;

/// Starts to follow. `pause` is left between two calls, so that many changes come in one answer.
std::shared_ptr<store_mirror> followPrefix(const store_port &store,
                                           mailbox &box,
                                           timer_service &timers,
                                           std::string prefix,
                                           milliseconds pause,
                                           mirror_sink sink);

/// Ends it; the sink is not called any more.
void stopFollowing(store_mirror &mirror);

/// A handle that ends the following when it is dropped.
std::shared_ptr<void> untilDropped(std::shared_ptr<store_mirror> mirror);

} // namespace sesamespar
