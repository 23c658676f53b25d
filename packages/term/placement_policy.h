// How a worker is chosen among those that have room. A policy is a plain struct, so that measurements can compare
// several by name.
#pragma once

#include "term/fleet_index.h"

#include <string>

namespace sesamespar {

/// Settings of the choice of a worker.
struct placement_policy {
    std::string name = "balanced";
    double leftWeight = 1.0; ///< Weight of the capacity that is left, so that full workers are preferred.
    double imbalanceWeight = 1.0; ///< Weight of unequal shares left of processors, memory and slots.
    std::size_t probes = 64; ///< Workers that are compared at most.
    std::size_t probesPerBucket = 4; ///< Workers of one bucket that are compared; they differ little.
};

/// Whether workers that are held for a starved job may be chosen.
enum class held_workers {
    Ignore,
    First, ///< Before others, for the job they are held for.
    Last, ///< If no other has room, for work of higher priority.
};

/// What a worker is wanted for.
struct worker_search {
    const job_state *job = nullptr;
    resources need;
    const std::vector<worker_id> *avoid = nullptr; ///< Workers on which this work failed lately; null if none.
    held_workers held = held_workers::Ignore;
};

/// The better a worker suits the need, the lower the score. The worker must have room.
double packingScore(const placement_policy &policy, const worker_state &worker, const resources &need);

/// Worker of one index under the pack rule, or null.
worker_state *packWorker(const placement_policy &policy, fleet_index &index, const worker_search &search);

/// Worker for a task under the rule of its kind, or null. A worker to be avoided is chosen only if no other has room.
worker_state *chooseWorker(scheduler &state, const worker_search &search);

} // namespace sesamespar
