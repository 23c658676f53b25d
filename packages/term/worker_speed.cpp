#include "term/worker_speed.h"

#include "base/log.h"
#include "term/objective.h"
#include "term/run_lifecycle.h"
#include "term/sustained_speed.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Shortest time between two reports for a measurement of speed, since shares are whole percents.
constexpr milliseconds shortestSample{300};
/// Weight of the newest report in the mean of a worker: two reports in a row detect a worker without progress.
constexpr double workerWeight = 0.5;
/// Weight of the newest report in the mean of the cell.
constexpr double cellWeight = 0.02;
/// Share of the cell's mean speed below which a worker is slow. Slow workers of the platform take 4 to 8 times as long.
constexpr double slowShare = 0.35;
/// The same for a run without progress; whole percents show progress in each report of a task of up to 30 s.
constexpr double hungShare = 0.05;
/// Time for which a slow worker gets only one run at a time; each report of a slow speed renews it.
constexpr milliseconds avoidance{1500};
/// A run is moved if its remaining work takes this many times as long as all of its work would elsewhere.
constexpr double gainToMove = 1.5;
/// Maximum number of moves of a task, so that no task moves endlessly between workers that all seem slow.
constexpr std::uint64_t maxMoves = 2;
constexpr double wholeWork = 100;

double expectedMs(const cell_state &state, const placed_run &run)
{
    return static_cast<double>(
        std::max<std::int64_t>(expectedDuration(state, *run.job, stepOf(*run.job, run.position)).count(), 1));
}

/// Updates the run from the reported share. Returns the work since the report before, or nothing if no speed can be
/// measured yet.
std::optional<measured_work>
measure(const cell_state &state, const reported_percent &reported, const clock_reading &now)
{
    placed_run &run = *reported.run;
    if (!run.percentAt) {
        run.percent = reported.percent;
        run.percentAt = now.uptime;
        return std::nullopt;
    }
    const auto since = now.uptime - *run.percentAt;
    if (since < shortestSample) {
        return std::nullopt;
    }
    const measured_work work{std::max(0, reported.percent - run.percent) / wholeWork,
                             std::chrono::duration<double, std::milli>(since).count()};
    run.speed = work.share * expectedMs(state, run) / work.tookMs;
    run.percent = reported.percent;
    run.percentAt = now.uptime;
    return work;
}

bool isGang(const placed_run &run)
{
    return run.job->accepted.job.steps[stepOf(*run.job, run.position)].gang;
}

bool isSlow(const cell_state &state, double speed)
{
    return speed < slowShare * state.meanSpeed;
}

bool shouldMove(const cell_state &state, const placed_run &run)
{
    const task_progress &task = run.job->progress.tasks[run.position.value];
    if (run.state != run_state::Running || !isSlow(state, run.speed) || run.run.value > task.failures + maxMoves) {
        return false;
    }
    if (!state.policy.movesProgressingRuns && run.speed >= hungShare * state.meanSpeed) {
        return false;
    }
    const double expected = expectedMs(state, run);
    const double left = (wholeWork - run.percent) / wholeWork * expected;
    return left > gainToMove * expected * std::max(run.speed, 0.0);
}

} // namespace

void assessSpeed(cell_state &state,
                 cell_worker &worker,
                 const std::vector<reported_percent> &reported,
                 const clock_reading &now)
{
    double sum = 0;
    int count = 0;
    for (const reported_percent &entry : reported) {
        // A gang makes no progress if any of its workers makes none, so its speed says nothing about this worker.
        const std::optional<measured_work> work = measure(state, entry, now);
        if (work && !isGang(*entry.run)) {
            sum += entry.run->speed;
            ++count;
            learnSpeed(state, worker, *entry.run->job, stepOf(*entry.run->job, entry.run->position), *work);
        }
    }
    if (count == 0) {
        return;
    }
    const double speed = sum / count;
    worker.speed += workerWeight * (speed - worker.speed);
    state.meanSpeed += cellWeight * (speed - state.meanSpeed);
    if (!isSlow(state, worker.speed)) {
        return;
    }
    worker.record.avoidedUntil = std::max(worker.record.avoidedUntil, now.uptime + avoidance);
    std::size_t moved = 0;
    for (const reported_percent &entry : reported) {
        if (state.policy.movesSlowRuns && shouldMove(state, *entry.run)) {
            requestStop(state, *entry.run);
            ++moved;
        }
    }
    log_event("worker_slow", log_level::Warning)
        .with("worker", worker.id)
        .with("speed", worker.speed)
        .with("mean_speed", state.meanSpeed)
        .with("runs", worker.runs.size())
        .with("moved", moved);
}

} // namespace sesamespar
