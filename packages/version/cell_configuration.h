// One version of the operator's configuration of a cell whose queues and services the platform declares: queues,
// how their work is to be treated, and the services that run it. Immutable once published.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// How long the placement advisor takes for the steps of a queue and how long its tickets hold.
struct advice_timing {
    std::chrono::duration<double, std::milli> decide{0}; ///< For one call.
    std::chrono::duration<double, std::milli> perWorker{0}; ///< For each worker asked about.
    milliseconds valid{0}; ///< Life of a ticket.
};

/// How the work of a queue is treated. Kept with each job, so that it can go on after its queue was removed.
struct queue_policy {
    queue_id queue;
    service_id service;
    int priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Runs of a task that may end as failed.
    double stretch = 1.0; ///< The objective allows the longest chain of work times this.
    milliseconds targetLatency{0}; ///< Added to the objective.
    std::optional<advice_timing> advice; ///< Set if only some workers may run a step.
};

/// A queue and the requests that belong to it.
struct queue_declaration {
    std::string host; ///< Value of the Host field, without port.
    std::string pathPrefix;
    queue_policy policy;
};

/// A pool of workers.
struct service_declaration {
    service_id name;
    bool refusesOverload = false; ///< The workers refuse what does not fit. Otherwise they start whatever they get.
};

/// One version.
struct cell_configuration : boost::intrusive_ref_counter<cell_configuration> {
    config_version version;
    std::vector<queue_declaration> queues;
    std::vector<service_declaration> services;
};

/// Shared by all that use the version.
using cell_configuration_ptr = boost::intrusive_ptr<const cell_configuration>;

/// The queue with that host and the longest prefix that the path begins with, or null.
const queue_declaration *
findQueue(const cell_configuration &configuration, std::string_view host, std::string_view path);

} // namespace sesamespar
