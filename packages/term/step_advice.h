// What the placement advisor has said about the workers for one step of a job. Suitability does not change during the
// life of a worker, but the ticket that a start needs expires after one or two seconds.
#pragma once

#include "base/ids.h"
#include "base/strong_value.h"
#include "base/time.h"

#include <boost/dynamic_bitset.hpp>
#include <cstdint>
#include <vector>

namespace sesamespar {

/// Index of a worker in the tables of a term. Low numbers are reused after a worker was removed.
using worker_slot = strong_value<struct worker_slot_tag, std::uint32_t>;

/// A set of workers by their slots.
using worker_set = boost::dynamic_bitset<std::uint64_t>;

bool contains(const worker_set &set, worker_slot slot);
void insert(worker_set &set, worker_slot slot);
void erase(worker_set &set, worker_slot slot);

/// A worker that may run the step, with the latest ticket for it.
struct suitable_worker {
    worker_slot worker;
    advice_ticket ticket;
    time_point validUntil; ///< In uptime.
};

/// State of the advice for one step.
struct step_advice {
    std::vector<suitable_worker> suitable;
    worker_set assessed; ///< Workers whose suitability is known.
    worker_set requested; ///< Workers that are named in requests in progress.
    std::vector<std::uint32_t> requestNumbers; ///< By slot, the number of the latest request that named the worker.
    std::uint32_t requestCount = 0; ///< Requests so far.
    unsigned openRequests = 0;
    time_point nextRequestAt; ///< In uptime; no request before.
    time_point nextSelectionAt; ///< In uptime; before, no unassessed worker would help.
};

/// Returns the entry of a worker, or null if the worker is not known to be suitable.
const suitable_worker *findSuitable(const step_advice &advice, worker_slot worker);

/// Marks a worker as suitable with a new ticket.
void setSuitable(step_advice &advice, suitable_worker entry);

/// Marks the ticket for a worker as expired.
void expireTicket(step_advice &advice, worker_slot worker);

/// Begins a request that names the workers, and returns its number.
std::uint32_t beginRequest(step_advice &advice, const std::vector<worker_slot> &workers);

/// Ends the part of a request that concerns a worker. Returns false if the request no longer counts for the worker,
/// because the worker has restarted since or another worker has its slot.
bool endRequest(step_advice &advice, worker_slot worker, std::uint32_t number);

/// Discards all that is known of a worker. A response to a request in progress no longer counts for it.
void forgetWorker(step_advice &advice, worker_slot worker);

} // namespace sesamespar
