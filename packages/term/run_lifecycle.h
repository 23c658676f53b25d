// Life of a run: placed, noted in the store, started, seen running, ended. A run keeps its room on the worker until
// it is proved to be over, and its task is not placed again before.
#pragma once

#include "term/cell_state.h"

namespace sesamespar {

/// Reserves room on a worker for a run of a task. The job's progress stays as it is.
placed_run &
reserveRun(cell_job &job, task_position position, run_number run, cell_worker &worker, const clock_reading &now);

/// Places the next run of a task on a worker: reserves its room and notes it in the job's progress. Members of a gang
/// get the same `run`.
placed_run &placeRun(cell_state &state,
                     cell_job &job,
                     task_position position,
                     run_number run,
                     cell_worker &worker,
                     const clock_reading &now);

/// Number for the next run of the tasks at [first, first + count): above all earlier ones.
run_number nextRun(const cell_job &job, std::uint32_t first, std::uint32_t count);

/// Takes the end of a run: frees its room, moves its task on and, if it was the last or failed for good, the job.
/// The run no longer exists afterwards.
void endRun(cell_state &state, placed_run &run, run_end how, const std::string &checkpoint, const clock_reading &now);

/// Takes back a run of which it is certain that it did not start and will not.
void withdrawRun(cell_state &state, placed_run &run, const clock_reading &now);

/// Ends every run on a worker whose life is over or whose lease has certainly lapsed.
void endAllRuns(cell_state &state, cell_worker &worker, const clock_reading &now);

/// Notes that a task is done without a run of this term, and completes the job if it was the last.
void completeTask(cell_state &state, cell_job &job, task_position position, const clock_reading &now);

/// Makes a job cancelled, unless it is final.
void cancelJob(cell_state &state, cell_job &job, const clock_reading &now);

/// Notes that a run has to stop; whoever makes the calls to workers sends the stop.
void requestStop(cell_state &state, placed_run &run);

/// Removes a job from the state once it is final, stored, and has no runs.
void removeIfFinished(cell_state &state, cell_job &job);

} // namespace sesamespar
