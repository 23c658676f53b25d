// Interfaces that deliver the workers of a cell and the operator's configuration. An adapter watches the sources and
// decodes them into these types; all callbacks run on the control thread.
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

/// A worker as it describes itself.
struct worker_listing {
    worker_id id;
    address at;
    service_id service;
    data_centre_id dataCentre;
    std::string rack;
    std::set<std::string> labels;
    resources capacity;
    worker_incarnation incarnation;
    bool draining = false; ///< The worker shuts down soon, which would interrupt new runs.
};

/// Callbacks for changes of the workers.
struct discovery_sink {
    std::function<void(const worker_listing &, const clock_reading &)> changed;
    std::function<void(const worker_id &, const clock_reading &)> removed;
    std::function<void(const clock_reading &)> listed; ///< A complete listing was delivered.
};

/// Keeps a subscription alive; its destruction ends the callbacks.
using follow_handle = std::shared_ptr<void>;

/// Subscribes to the workers.
struct discovery_port {
    std::function<follow_handle(discovery_sink)> follow;
};

/// Subscribes to the operator's configuration; only valid versions are delivered.
struct configuration_port {
    std::function<follow_handle(std::function<void(cell_configuration_ptr, const clock_reading &)>)> follow;
};

} // namespace sesamespar
