// Free capacity of the workers during one placement pass.
#pragma once

#include "term/cell_state.h"

#include <cstdint>
#include <vector>

namespace sesamespar {

/// Capacity that the steps of a pass can still use: the free capacity less that kept for earlier steps.
struct free_capacity {
    std::vector<resources> remaining; ///< By slot; zero for a worker that accepts no runs.
    worker_set usable; ///< Workers that accept runs.
    resources largest; ///< The largest amount of each resource that any worker has at the begin of the pass.
    resources available; ///< Sum of `remaining` at the begin of the pass, less what the pass has placed since.
    resources total; ///< Capacity of all workers that accept runs, free or not.
};

/// Measures the free capacity of all workers that accept runs.
free_capacity measureFree(const cell_state &state, time_point uptime);

/// Number of tasks of that need that fit into an amount; 0 if a component of the amount is negative.
std::int64_t countFits(const resources &need, const resources &amount);

} // namespace sesamespar
