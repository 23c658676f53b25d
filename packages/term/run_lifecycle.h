// Life cycle of a run: placed, written to the store, started, reported as running, ended. The resources of a run stay
// reserved until the run has provably ended, and its task is not placed again before.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// Reserves resources on a worker for a run of a task. Does not change the progress of the job.
placed_run &
reserveRun(cell_job &job, task_position position, run_number run, cell_worker &worker, const clock_reading &now);

/// Places the next run of a task on a worker: reserves its resources and records it in the progress of the job. The
/// members of a gang get the same `run`.
placed_run &placeRun(cell_state &state,
                     cell_job &job,
                     task_position position,
                     run_number run,
                     cell_worker &worker,
                     const clock_reading &now);

/// Number for the next run of the tasks at [first, first + count), higher than all earlier ones.
run_number nextRun(const cell_job &job, std::uint32_t first, std::uint32_t count);

/// Ends a run: releases its resources and updates the state of its task. The job becomes final if the task was the last
/// one or has used up its attempts. Destroys the run.
void endRun(cell_state &state, placed_run &run, run_end how, const std::string &checkpoint, const clock_reading &now);

/// Withdraws a run that certainly has not started and will not start.
void withdrawRun(cell_state &state, placed_run &run, const clock_reading &now);

/// Marks a task as done that has no run of this term, and completes the job if the task was the last one.
void completeTask(cell_state &state, cell_job &job, task_position position, const clock_reading &now);

/// Cancels a job unless it is final.
void cancelJob(cell_state &state, cell_job &job, const clock_reading &now);

/// Marks a run to be stopped. The stop is sent by sendStops of worker_sessions.h.
void requestStop(cell_state &state, placed_run &run);

/// Gives up the start of a run: marks it to be stopped, and the other members of its gang, which would wait for it in
/// vain until their time limit.
void abandonStart(cell_state &state, placed_run &run);

/// Removes a job from the state if it is final, stored, and has no runs.
void removeIfFinished(cell_state &state, cell_job &job);

} // namespace sesamespar
