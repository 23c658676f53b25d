// One version of a cell's configuration as the platform declares it: the queues, the policy of each queue, the services
// that run their work, and the organisations that share the cell. Immutable once published.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// Expected latency of the placement advisor for the steps of a queue, and the validity of its tickets.
struct advice_timing {
    std::chrono::duration<double, std::milli> decide{0}; ///< Fixed part of one call.
    std::chrono::duration<double, std::milli> perWorker{0}; ///< Added for each worker in the request.
    milliseconds valid{0}; ///< Validity of a ticket.
};

/// Scheduling policy of a queue. Stored with each job, so that the job can continue after its queue was removed.
struct queue_policy {
    queue_id queue;
    service_id service;
    int priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Failed runs of a task before its job fails.
    double stretch = 1.0; ///< The latency objective is the longest chain of steps times this factor.
    milliseconds targetLatency{0}; ///< Added to the latency objective.
    std::optional<advice_timing> advice; ///< Set if the advisor selects the workers of each step.
};

/// A queue, and the host and path prefix of the requests that it receives.
struct queue_declaration {
    std::string host; ///< Value of the Host field, without port.
    std::string pathPrefix;
    queue_policy policy;
    bool isPublic = false; ///< Requests need no API key, also if the configuration declares organisations.
};

/// An organisation that shares the cell with others.
struct organisation_declaration {
    organisation_id name;
    std::vector<api_key> keys; ///< Any of them identifies a request as one of the organisation's.
    /// Jobs per second that the organisation may submit at the service level of its queues, and its relative share of
    /// the cell while the cell is full.
    double weight = 0;
    resources limit; ///< Limit for all running tasks of the organisation together; 0 in a component: no limit.
};

/// A pool of workers.
struct service_declaration {
    service_id name;
    bool refusesOverload = false; ///< The workers reject starts above their capacity; otherwise they accept all.
};

/// One version of the configuration.
struct cell_configuration : boost::intrusive_ref_counter<cell_configuration> {
    config_version version;
    std::vector<queue_declaration> queues;
    std::vector<service_declaration> services;
    /// Empty in a cell that belongs to one organisation; its requests need no API key.
    std::vector<organisation_declaration> organisations;
};

/// Shared ownership; a version is freed with its last user.
using cell_configuration_ptr = boost::intrusive_ptr<const cell_configuration>;

/// Returns the queue of that host with the longest prefix that matches the path, or null.
const queue_declaration *
findQueue(const cell_configuration &configuration, std::string_view host, std::string_view path);

/// Returns the organisation that the API key belongs to, or null.
const organisation_declaration *findOrganisation(const cell_configuration &configuration, const api_key &key);

/// Returns the organisation of that name, or null.
const organisation_declaration *findOrganisation(const cell_configuration &configuration, const organisation_id &name);

} // namespace sesamespar
