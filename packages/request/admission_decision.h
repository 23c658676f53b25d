// Decides at a front end whether a submitted job is refused because the cell has too much work.
#pragma once

#include "request/accepted_job.h"
#include "request/cell_load.h"

namespace sesamespar {

/// The load is used for this long after it was received: two of the leader's reports may be lost. After a change of
/// leader or while the store is down nothing is refused because of an earlier load.
constexpr milliseconds loadValidity{3000};

/// A decision on one job and everything that it rests on.
struct admission_decision {
    bool refused = false;
    milliseconds retryAfter{0}; ///< If refused: when the work ahead will have been done, 1 to 10 s.
    double work = 0; ///< Of the job, in core-milliseconds, corrected by the queue's durations.
    milliseconds chain{0}; ///< Shortest time to complete the job once it is started.
    milliseconds objective{0}; ///< Of the job.
    std::int64_t inTimeAhead = 0; ///< Work ahead of it while it can be in time, in core-milliseconds.
    std::int64_t lateAhead = 0; ///< Work that is ahead of it as well once it is late, in core-milliseconds.
    millicores processors; ///< Of the pool.
    milliseconds wait{0}; ///< Time until the work ahead is done, in that order.
    bool returning = false; ///< It arrives when a caller with this key that was refused earlier was told to return.
    double margin = 0; ///< Factor by which the job must be beyond its limits to be refused.
};

/// Decides on a new job from the load that was received `loadAge` ago. It is refused if it would be completed later
/// than three times its objective by a clear margin, because of the work that is placed before it: first that of jobs
/// in time, of higher priority or smaller; then, when it is late itself, also that of such late jobs. The whole pool is
/// assumed to work on it, so the wait is a lower bound. No daemon remembers whom it has refused: each key has recurring
/// slots of time, Retry-After leads into one of them, and within its slots a job is refused only by a larger margin.
/// Callers that return when told are thus taken at least as often as others.
admission_decision decideAdmission(const cell_load &load, milliseconds loadAge, const accepted_job &job);

} // namespace sesamespar
