#include "term/worker_reports.h"

#include "base/log.h"
#include "term/run_lifecycle.h"
#include "term/worker_speed.h"

#include <algorithm>

namespace sesamespar {

namespace {

using run_key = std::pair<run_task, run_number>;
using run_table = std::map<run_key, placed_run *>;

run_table indexRuns(cell_worker &worker)
{
    run_table table;
    for (placed_run &run : worker.runs) {
        table.emplace(run_key(taskName(*run.job, run.position), run.run), &run);
    }
    return table;
}

/// Handles the end of a run that this term had already ended because the worker was unreachable. A task that was done
/// and is not placed again yet counts as done. Returns the job if it changed.
cell_job_ptr handleLateEnd(cell_state &state, const ended_row &row, const clock_reading &now)
{
    const auto found = state.jobs.find(row.task.job);
    if (found == state.jobs.end() || isFinal(found->second->progress.phase) || row.how != run_end::Done) {
        return nullptr;
    }
    cell_job &job = *found->second;
    const auto position = positionOf(job, row.task.step, row.task.index);
    if (!position || job.runs[position->value] != nullptr) {
        return nullptr;
    }
    task_progress &task = job.progress.tasks[position->value];
    const bool gang = job.accepted.job.steps[row.task.step].gang;
    if (gang || task.phase != task_phase::Waiting || task.run != row.run) {
        return nullptr;
    }
    completeTask(state, job, *position, now);
    return found->second;
}

void handleEnd(cell_state &state, cell_worker &worker, const ended_row &row, run_table &table, const clock_reading &now)
{
    auto &ends = state.ends[worker.id];
    if (row.number <= worker.seenEnds || ends.contains(row.number)) {
        return;
    }
    unstored_end end{row.number, nullptr, 0};
    const auto job = state.jobs.find(row.task.job);
    const auto found = table.find({row.task, row.run});
    if (found == table.end()) {
        end.job = handleLateEnd(state, row, now);
        if (!end.job && job != state.jobs.end()) {
            // This term may have handled the end before, and its change may not be stored yet.
            end.job = job->second;
        }
    } else {
        end.job = found->second->job;
        markBegun(state, *found->second, now);
        endRun(state, *found->second, row.how, row.checkpoint, now);
        table.erase(found);
    }
    if (end.job) {
        end.change = end.job->changes;
    }
    ends.emplace(row.number, std::move(end));
}

end_number oldestEndIn(const worker_report &report)
{
    const auto oldest = std::min_element(report.ended.begin(),
                                         report.ended.end(),
                                         [](const ended_row &a, const ended_row &b) { return a.number < b.number; });
    return oldest == report.ended.end() ? end_number(0) : oldest->number;
}

/// True if a report to a poll sent at `sentAt` would list the run, had it not ended.
bool wouldBeListed(const placed_run &run, time_point sentAt)
{
    const bool answered = run.sent && run.openOrders == 0 && run.orderedAt <= sentAt;
    return answered && (!run.startUnknown || run.stopAccepted);
}

/// True if the report, to a poll sent at `sentAt`, is of another start of the worker than the one that the leader has
/// learned of. Two incarnations may have the same birth, if the time of day was set back between them; the clock of the
/// later one is then behind.
bool showsRestart(const cell_worker &worker, const worker_report &report, time_point sentAt)
{
    if (report.incarnation != worker.current) {
        return true;
    }
    if (!worker.clock) {
        return false;
    }
    const auto elapsed = elapsedBetween(worker.clockAt, sentAt);
    const auto least = static_cast<std::int64_t>(static_cast<double>(elapsed.count()) / slowestClock);
    return report.workerClock < *worker.clock + milliseconds(least - 1);
}

} // namespace

std::vector<orphan_run> applyReport(
    cell_state &state, cell_worker &worker, const worker_report &report, time_point sentAt, const clock_reading &now)
{
    std::vector<orphan_run> orphans;
    if (showsRestart(worker, report, sentAt)) {
        if (sentAt < worker.currentSince) {
            // The poll was open when the listing showed the current incarnation, so either may be the later one. The
            // next report shows which it is.
            return orphans;
        }
        beginWorkerIncarnation(state, worker, report.incarnation, now);
    }
    worker.seen = true;
    worker.clock = report.workerClock;
    worker.clockAt = now.uptime;
    worker.oldestEnd = oldestEndIn(report);
    worker.listedOn = report.connection;
    run_table table = indexRuns(worker);
    for (const ended_row &row : report.ended) {
        handleEnd(state, worker, row, table, now);
    }
    std::vector<reported_percent> speeds;
    for (const running_row &row : report.running) {
        const auto found = table.find({row.task, row.run});
        if (found == table.end()) {
            orphans.push_back({row.task, row.run});
            continue;
        }
        placed_run &run = *found->second;
        if (row.percent) {
            speeds.push_back({&run, *row.percent});
        }
        run.checkpoint = row.checkpoint.empty() ? run.checkpoint : row.checkpoint;
        // Before the flag is reset, since after a lost reply the run may have begun long before this report.
        markBegun(state, run, now);
        run.startUnknown = false;
        run.reported = true;
        run.state = run.state == run_state::Starting ? run_state::Running : run.state;
        table.erase(found);
    }
    worker.orphanRuns = static_cast<unsigned>(orphans.size());
    for (const auto &[key, run] : table) {
        if (report.complete && wouldBeListed(*run, sentAt)) {
            log_event("run_missing", log_level::Warning)
                .with("job", key.first.job)
                .with("task", run->position)
                .with("run", key.second)
                .with("worker", worker.id)
                .with("birth", report.incarnation)
                .with("worker_clock_ms", report.workerClock.count())
                .with("polled_ms_ago", elapsedBetween(sentAt, now.uptime).count())
                .with("ordered_ms_ago", elapsedBetween(run->orderedAt, now.uptime).count());
            endRun(state, *run, run->state == run_state::Stopping ? run_end::Stopped : run_end::LeaseExpired, {}, now);
        }
    }
    assessSpeed(state, worker, speeds, now);
    advanceSeenEnds(state, worker);
    return orphans;
}

void beginWorkerIncarnation(cell_state &state,
                            cell_worker &worker,
                            worker_incarnation incarnation,
                            const clock_reading &now)
{
    if (worker.current.value != 0) {
        log_event("worker_restarted", log_level::Warning)
            .with("worker", worker.id)
            .with("birth", incarnation)
            .with("runs", worker.runs.size());
    }
    state.ends.erase(worker.id);
    forgetAdvice(state, worker);
    for (placed_run &run : worker.runs) {
        // The new incarnation knows of no earlier stop, so a start without a reply may still begin there.
        run.stopAccepted = false;
        run.reported = false;
    }
    state.stopsRequested = true;
    worker.current = incarnation;
    worker.currentSince = now.uptime;
    worker.seen = false;
    worker.clock.reset();
    worker.seenEnds = end_number(0);
    worker.oldestEnd = end_number(0);
    worker.record = {};
    worker.speed = 1;
    worker.logSpeed = 0;
    worker.speedSamples = 0;
    worker.orphanRuns = 0;
}

void advanceSeenEnds(cell_state &state, cell_worker &worker)
{
    auto &ends = state.ends[worker.id];
    while (!ends.empty()) {
        const unstored_end &first = ends.begin()->second;
        // The worker reports all ends from the first unseen one on, so a gap can only be an end from before this term.
        if (first.job && first.job->storedChanges < first.change) {
            return;
        }
        worker.seenEnds = first.number;
        ends.erase(ends.begin());
    }
}

} // namespace sesamespar
