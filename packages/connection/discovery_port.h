// Where the workers of a cell and the operator's configuration come from. An adapter follows them and decodes them
// into these types; all callbacks run on the control thread.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "version/cell_configuration.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace sesamespar {

/// What a worker says of itself.
struct worker_listing {
    worker_id id;
    address at;
    service_id service;
    std::string rack;
    std::set<std::string> labels;
    resources capacity;
    worker_incarnation incarnation;
    bool draining = false; ///< It leaves; new runs would be cut off.
};

/// What a follower of the workers does with the changes.
struct discovery_sink {
    std::function<void(const worker_listing &, const clock_reading &)> changed;
    std::function<void(const worker_id &, const clock_reading &)> removed;
    std::function<void(const clock_reading &)> listed; ///< All workers were listed.
};

/// Keeps a follower going; dropping it ends the callbacks.
using follow_handle = std::shared_ptr<void>;

/// Follows the workers.
struct discovery_port {
    std::function<follow_handle(discovery_sink)> follow;
};

/// Follows the operator's configuration; only valid versions are passed on.
struct configuration_port {
    std::function<follow_handle(std::function<void(cell_configuration_ptr, const clock_reading &)>)> follow;
};

} // namespace sesamespar
