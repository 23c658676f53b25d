// Learns which workers are steadily faster or slower than others, and matches tasks to workers by it. A worker that is
// several times slower for a time is a fault, which worker_speed.h handles.
#pragma once

#include "term/waiting_steps.h"

namespace sesamespar {

/// Speed of a worker relative to the mean of the cell.
double sustainedSpeed(const cell_worker &worker);

/// Adds a measured speed: the expected duration of work divided by the time that it took.
void learnSpeed(cell_state &state, cell_worker &worker, double measuredSpeed);

/// Updates whether the workers of the cell are uneven: the upper and the lower fifth of the measured workers differ by
/// a factor of two or more.
void assessUnevenness(cell_state &state);

/// Ranks a worker for a step by its speed; a smaller rank is preferred. Addresses uneven workers, on some of which a
/// job with little slack is late from its start. Jobs with little slack prefer fast workers. Jobs with much slack
/// prefer the slowest workers that are fast enough, so that the fast ones stay free.
int speedRank(const cell_state &state, const waiting_step &waiting, const cell_worker &worker, utc_time now);

} // namespace sesamespar
