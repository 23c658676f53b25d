#include "term/run_lifecycle.h"

#include "base/log.h"
#include "term/objective.h"
#include "term/organisation_usage.h"
#include "term/sustained_speed.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Weight of the newest duration in the moving mean of a queue.
constexpr double historyWeight = 0.05;
/// Number of failed runs in a row, each of another job than the one before, after which a worker is avoided. If one run
/// in twenty fails for other reasons, four in a row occur once in 160,000 runs on a healthy worker.
constexpr unsigned failuresBeforeAvoiding = 4;
/// Time for which such a worker gets only one run at a time.
constexpr milliseconds avoidance{4000};

const char *nameOf(run_end how)
{
    constexpr const char *names[] = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[static_cast<std::size_t>(how)];
}

void finishJob(cell_state &state, cell_job &job, job_phase phase, const clock_reading &now)
{
    job.progress.phase = phase;
    job.progress.ended = now.utc;
    for (placed_run *run : job.runs) {
        if (run != nullptr) {
            requestStop(state, *run);
            if (job.organisation != nullptr) {
                job.progress.organisation = job.accepted.organisation;
                job.progress.unended = job.progress.unended + run->need;
            }
        }
    }
    markChanged(state, job);
    log_event("job_final")
        .with("job", job.accepted.key)
        .with("queue", job.accepted.policy.queue)
        .with("state", phaseName(phase))
        .with("age_ms", now.utc.value - job.accepted.acceptedAt.value);
}

void completeIfDone(cell_state &state, cell_job &job, const clock_reading &now)
{
    const bool done =
        std::all_of(job.steps.begin(), job.steps.end(), [](const cell_step &step) { return step.done == step.count; });
    if (done) {
        finishJob(state, job, job_phase::Completed, now);
    }
}

void markDone(cell_job &job, cell_step &step, std::uint32_t position)
{
    if (job.progress.tasks[position].phase != task_phase::Done) {
        job.progress.tasks[position].phase = task_phase::Done;
        ++step.done;
    }
}

/// Speed at which the work of a run was done: that of its worker, or of the slowest one of a gang. 1 while the workers
/// of the cell are about equally fast.
double speedOf(const cell_state &state, const cell_job &job, const cell_step &step, const placed_run &run, bool gang)
{
    if (!state.unevenWorkers) {
        return 1;
    }
    double speed = sustainedSpeed(*run.worker);
    for (std::uint32_t position = step.first; gang && position < step.first + step.count; ++position) {
        if (job.runs[position] != nullptr) {
            speed = std::min(speed, sustainedSpeed(*job.runs[position]->worker));
        }
    }
    return speed;
}

/// Work of an ended run since its latest report.
measured_work unreportedWork(const placed_run &run, const clock_reading &now)
{
    constexpr double wholeWork = 100;
    const time_point since = run.percentAt.value_or(*run.begunAt);
    return {1 - run.percent / wholeWork, std::chrono::duration<double, std::milli>(now.uptime - since).count()};
}

/// Learns from a run that has done all of its task's work, and whose begin is known.
void learnFromRun(
    cell_state &state, cell_job &job, cell_step &step, const placed_run &run, bool gang, const clock_reading &now)
{
    if (!run.begunAt || run.partial) {
        return;
    }
    const double took = std::chrono::duration<double, std::milli>(now.uptime - *run.begunAt).count();
    if (took <= 0) {
        return;
    }
    const std::uint32_t number = stepOf(job, run.position);
    const double speed = speedOf(state, job, step, run, gang);
    if (!gang) {
        learnSpeed(state, *run.worker, job, number, unreportedWork(run, now));
    }
    learnDuration(job.history->runTimes,
                  job.accepted.job.steps[number].estimate,
                  step.durations,
                  milliseconds(static_cast<std::int64_t>(took * speed)),
                  gang ? 1 : step.count);
}

void recordDuration(const cell_job &job, const placed_run &run, const clock_reading &now)
{
    const double took = std::chrono::duration<double, std::milli>(now.uptime - run.placedAt).count();
    queue_history &history = *job.history;
    history.meanMs = history.meanMs == 0 ? took : history.meanMs + historyWeight * (took - history.meanMs);
}

void recordSuccess(cell_worker &worker)
{
    worker.record.failuresInRow = 0;
    worker.record.avoidedUntil = {};
}

void recordFailure(cell_worker &worker, const job_key &job, const clock_reading &now)
{
    worker_record &record = worker.record;
    if (record.lastFailedJob != job) {
        ++record.failuresInRow;
        record.lastFailedJob = job;
    }
    if (record.failuresInRow >= failuresBeforeAvoiding) {
        if (now.uptime >= record.avoidedUntil) {
            log_event("worker_avoided", log_level::Warning)
                .with("worker", worker.id)
                .with("failures_in_row", record.failuresInRow);
        }
        record.avoidedUntil = now.uptime + avoidance;
    }
}

/// Counts a failed run of a task and returns the failures that count against its attempts. A failed run of a gang
/// counts once, however many members report it.
std::uint32_t countFailure(cell_job &job, cell_step &step, const placed_run &run, bool gang)
{
    task_progress &task = job.progress.tasks[run.position.value];
    if (!gang) {
        return ++task.failures;
    }
    if (step.failedRun < run.run) {
        step.failedRun = run.run;
        ++task.failures;
    }
    std::uint32_t failures = 0;
    for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
        failures += job.progress.tasks[position].failures;
    }
    return failures;
}

/// Unlinks the run and releases its resources.
void releaseCapacity(placed_run &run)
{
    cell_job &job = *run.job;
    run.worker->reserved = run.worker->reserved - run.need;
    releaseUse(job, run.need);
    run.worker->runs.erase(run.worker->runs.iterator_to(run));
    job.runs[run.position.value] = nullptr;
    --job.steps[stepOf(job, run.position)].placed;
}

void carryCheckpoint(cell_job &job, cell_step &step, const placed_run &run, const std::string &checkpoint, bool gang)
{
    const std::string &newest = checkpoint.empty() ? run.checkpoint : checkpoint;
    if (newest.empty()) {
        return;
    }
    if (!gang) {
        job.progress.tasks[run.position.value].checkpoint = newest;
        return;
    }
    // All members of a gang resume from the same checkpoint, and the checkpoint of any member is valid for all.
    for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
        job.progress.tasks[position].checkpoint = newest;
    }
}

void stopRemainingRuns(cell_state &state, cell_job &job, const cell_step &step)
{
    for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
        if (job.runs[position] != nullptr) {
            requestStop(state, *job.runs[position]);
        }
    }
}

void handleDone(
    cell_state &state, cell_job &job, cell_step &step, const placed_run &run, bool gang, const clock_reading &now)
{
    recordDuration(job, run, now);
    learnFromRun(state, job, step, run, gang, now);
    if (gang) {
        for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
            markDone(job, step, position);
        }
    } else {
        markDone(job, step, run.position.value);
    }
    completeIfDone(state, job, now);
}

} // namespace

placed_run &
reserveRun(cell_job &job, task_position position, run_number run, cell_worker &worker, const clock_reading &now)
{
    const std::uint32_t step = stepOf(job, position);
    auto *placed = new placed_run;
    placed->job = &job;
    placed->position = position;
    placed->run = run;
    placed->worker = &worker;
    placed->need = job.accepted.job.steps[step].need;
    placed->placedAt = now.uptime;
    worker.reserved = worker.reserved + placed->need;
    reserveUse(job, placed->need);
    worker.runs.push_back(*placed);
    job.runs[position.value] = placed;
    ++job.steps[step].placed;
    return *placed;
}

placed_run &placeRun(cell_state &state,
                     cell_job &job,
                     task_position position,
                     run_number run,
                     cell_worker &worker,
                     const clock_reading &now)
{
    placed_run &placed = reserveRun(job, position, run, worker, now);
    task_progress &task = job.progress.tasks[position.value];
    task.phase = task_phase::Placed;
    task.run = run;
    task.worker = worker.id;
    task.incarnation = worker.current;
    job.progress.phase = job_phase::Running;
    markChanged(state, job);
    job.awaitsRecord = true;
    placed.recordedIn = job.changes;
    placed.partial = !task.checkpoint.empty();
    return placed;
}

run_number nextRun(const cell_job &job, std::uint32_t first, std::uint32_t count)
{
    run_number highest;
    for (std::uint32_t position = first; position < first + count; ++position) {
        highest = std::max(highest, job.progress.tasks[position].run);
    }
    return run_number(highest.value + 1);
}

void endRun(cell_state &state, placed_run &run, run_end how, const std::string &checkpoint, const clock_reading &now)
{
    const cell_job_ptr job(run.job);
    const std::uint32_t number = stepOf(*job, run.position);
    cell_step &step = job->steps[number];
    const bool gang = job->accepted.job.steps[number].gang;
    const std::unique_ptr<placed_run> ended(&run);
    log_event("run_ended")
        .with("job", job->accepted.key)
        .with("task", run.position)
        .with("run", run.run)
        .with("worker", run.worker->id)
        .with("how", nameOf(how))
        .with("ran_ms", std::chrono::duration_cast<milliseconds>(now.uptime - run.placedAt).count());
    releaseCapacity(run);
    if (how == run_end::Done) {
        recordSuccess(*run.worker);
    } else if (how == run_end::Failed) {
        recordFailure(*run.worker, job->accepted.key, now);
    }
    if (isFinal(job->progress.phase)) {
        removeIfFinished(state, *job);
        return;
    }
    task_progress &task = job->progress.tasks[run.position.value];
    if (task.phase == task_phase::Done) {
        return;
    }
    markChanged(state, *job);
    // The task waits again, or its end may allow a later step to begin.
    considerWaiting(state, *job);
    if (how == run_end::Done) {
        handleDone(state, *job, step, run, gang, now);
        return;
    }
    task.phase = task_phase::Waiting;
    carryCheckpoint(*job, step, run, checkpoint, gang);
    if (how == run_end::Failed && countFailure(*job, step, run, gang) >= job->accepted.policy.maxAttempts) {
        finishJob(state, *job, job_phase::Failed, now);
        return;
    }
    if (gang) {
        stopRemainingRuns(state, *job, step);
    }
}

void withdrawRun(cell_state &state, placed_run &run, const clock_reading &now)
{
    endRun(state, run, run_end::Stopped, {}, now);
}

void completeTask(cell_state &state, cell_job &job, task_position position, const clock_reading &now)
{
    markDone(job, job.steps[stepOf(job, position)], position.value);
    markChanged(state, job);
    considerWaiting(state, job);
    completeIfDone(state, job, now);
}

void cancelJob(cell_state &state, cell_job &job, const clock_reading &now)
{
    job.cancelled = true;
    if (!isFinal(job.progress.phase)) {
        finishJob(state, job, job_phase::Cancelled, now);
    }
}

void requestStop(cell_state &state, placed_run &run)
{
    run.state = run_state::Stopping;
    state.stopsRequested = true;
}

void abandonStart(cell_state &state, placed_run &run)
{
    requestStop(state, run);
    const std::uint32_t step = stepOf(*run.job, run.position);
    if (run.job->accepted.job.steps[step].gang) {
        stopRemainingRuns(state, *run.job, run.job->steps[step]);
    }
}

void removeIfFinished(cell_state &state, cell_job &job)
{
    if (!isFinal(job.progress.phase) || job.storedChanges < job.changes) {
        return;
    }
    const bool idle =
        std::all_of(job.steps.begin(), job.steps.end(), [](const cell_step &step) { return step.placed == 0; });
    if (idle) {
        state.jobs.erase(job.accepted.key);
    }
}

} // namespace sesamespar
