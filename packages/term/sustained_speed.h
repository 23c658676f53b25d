// Learns which workers are steadily faster or slower than others, and matches tasks to workers by it. A worker that is
// several times slower for a time is a fault, which worker_speed.h handles.
#pragma once

#include "term/waiting_steps.h"

namespace sesamespar {

/// Speed of a worker relative to the mean of the cell.
double sustainedSpeed(const cell_worker &worker);

/// Part of the work of a run, in (0, 1], and the time that it took.
struct measured_work {
    double share = 1;
    double tookMs = 0;
};

/// Learns from work that a run of a step has done on the worker. All work of a run weighs as much as one run, so that a
/// task of the tail of the durations does not count more because it is reported more often. Ignores it until the
/// durations of the job's queue are known: estimates that are off by 1.9 in opposite directions make workers that serve
/// different queues seem to differ by more than a factor of three.
void learnSpeed(
    cell_state &state, cell_worker &worker, const cell_job &job, std::uint32_t step, const measured_work &work);

/// Updates whether the workers of the cell are uneven: the upper and the lower fifth of the measured workers differ by
/// a factor of two or more.
void assessUnevenness(cell_state &state);

/// Which workers a step prefers, by their class of speed.
struct speed_preference {
    int leastClass = 0; ///< Classes below are too slow.
    bool fastestFirst = false; ///< Otherwise the slowest worker that is fast enough is the best.
};

/// Preference of a step. Addresses uneven workers, on some of which a job with little slack is late from its start.
/// Jobs with little slack prefer fast workers. Jobs with much slack prefer the slowest workers that are fast enough, so
/// that the fast ones stay free.
speed_preference speedPreference(const cell_state &state, const waiting_step &waiting, utc_time now);

/// Ranks a worker by its speed; a smaller rank is preferred.
int speedRank(const speed_preference &preference, const cell_worker &worker);

} // namespace sesamespar
