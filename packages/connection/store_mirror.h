// Mirrors all keys of the store that have a prefix: lists them once, then watches. If the store no longer has the
// history that a watch needs, or a watch may have missed changes, the mirror lists again and reports the differences.
#pragma once

#include "base/mailbox.h"
#include "connection/store_port.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sesamespar {

/// Callbacks for changes of the mirrored keys. All run on the control thread.
struct mirror_sink {
    std::function<void(const store_item &, const clock_reading &)> changed;
    std::function<void(const std::string &key, const clock_reading &)> removed;
    std::function<void(const clock_reading &)> listed; ///< A complete listing was applied.
};

/// Mirror of one prefix.
struct store_mirror;

/// Starts a mirror. `pause` separates two calls to the store, so that one response carries many changes.
std::shared_ptr<store_mirror> followPrefix(const store_port &store,
                                           mailbox &box,
                                           timer_service &timers,
                                           std::string prefix,
                                           milliseconds pause,
                                           mirror_sink sink);

/// Applies an item that another call to the store has returned, unless the mirror has applied all changes up to its
/// revision already. The mirror then reports the removal of the item even if no watch ever reported the item itself.
void learnItem(store_mirror &mirror, const store_item &item, const clock_reading &now);

/// Stops the mirror. The sink is not called afterwards.
void stopFollowing(store_mirror &mirror);

/// Returns a handle that stops the mirror when the last copy of the handle is destroyed.
std::shared_ptr<void> untilDropped(std::shared_ptr<store_mirror> mirror);

} // namespace sesamespar
