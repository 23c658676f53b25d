// Choice of a worker among those with enough free capacity. A policy is a plain struct, so that benchmarks can compare
// several by name.
#pragma once

#include "term/fleet_index.h"

#include <string>

namespace sesamespar {

/// Parameters of the worker choice.
struct placement_policy {
    std::string name = "balanced";
    double leftoverWeight = 1.0; ///< Weight of the capacity that stays free; prefers full workers.
    double imbalanceWeight = 1.0; ///< Weight of the spread between free processors, memory and slots.
    std::size_t probes = 64; ///< Maximum number of workers that are scored per plane.
    std::size_t probesPerBucket = 4; ///< Maximum per bucket, whose workers differ little.
};

/// Whether workers that are reserved for a starved job may be chosen.
enum class reserved_workers {
    Ignore,
    First, ///< Preferred; for the job that has the reservation.
    Last, ///< Only if no other worker fits; for work of higher priority.
};

/// Task for which a worker is searched.
struct worker_search {
    const job_state *job = nullptr;
    resources need;
    const std::vector<worker_id> *avoid =
        nullptr; ///< Workers on which this work failed since its last success; or null.
    reserved_workers reservedWorkers = reserved_workers::Ignore;
};

/// Score of a worker for a task; lower is better. The task must fit on the worker.
double packingScore(const placement_policy &policy, const worker_state &worker, const resources &need);

/// Returns the worker of `index` with the best packing score among those examined, or null if none fits.
worker_state *packWorker(const placement_policy &policy, fleet_index &index, const worker_search &search);

/// Returns a worker for a task by the placement rule of its kind, or null. A worker in `search.avoid` is chosen only if
/// no other worker fits.
worker_state *chooseWorker(scheduler &state, const worker_search &search);

} // namespace sesamespar
