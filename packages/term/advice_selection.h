// Selects the workers that the advisor is asked about. The advisor is a scarce resource: a request takes a fixed time
// and some more for each worker that it names, and each daemon can have one request in progress.
#pragma once

#include "term/free_capacity.h"
#include "term/waiting_steps.h"

#include <vector>

namespace sesamespar {

/// Time that the advisor needs for a request with that many workers.
std::chrono::duration<double, std::milli> adviceTime(const advice_timing &timing, std::size_t workers);

/// True if a worker belongs to the service of the step's queue and has the label that the step requires.
bool isEligible(const waiting_step &waiting, const cell_worker &worker);

/// Number of tasks of the step that fit on a worker with that amount of capacity, within the step's limit per worker.
std::int64_t countTaskFits(const waiting_step &waiting, const cell_worker &worker, const resources &amount);

/// Number of tasks of the step that its suitable workers would have room for if they were empty.
std::int64_t countPotentialFits(const cell_state &state, const waiting_step &waiting);

/// Selects workers whose suitability for the step is unknown, at most as many as one request may name. `missing` is the
/// number of tasks without a place on a suitable worker. Returns nothing if further workers would not help: the request
/// names as many workers as are expected to have `missing` places, or, if the cell is too full for that, enough for the
/// step to wait for capacity that is freed on a broad choice of workers. Starts at another worker for each step, so
/// that the jobs of a cell spread over all workers.
std::vector<worker_slot>
selectUnassessed(cell_state &state, const free_capacity &free, const waiting_step &waiting, std::size_t missing);

} // namespace sesamespar
