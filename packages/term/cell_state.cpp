#include "term/cell_state.h"

#include "term/organisation_usage.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Weight of the newest start in the mean delay: about one second of starts on a cell of 48 workers.
constexpr double startDelayWeight = 0.01;

} // namespace

cell_state::~cell_state()
{
    waiting.clear();
    for (auto &entry : workers) {
        entry.second->runs.clear_and_dispose([](placed_run *run) { delete run; });
    }
}

std::uint32_t stepOf(const cell_job &job, task_position position)
{
    std::uint32_t step = 0;
    while (position.value >= job.steps[step].first + job.steps[step].count) {
        ++step;
    }
    return step;
}

run_task taskName(const cell_job &job, task_position position)
{
    const std::uint32_t step = stepOf(job, position);
    return {job.accepted.key, step, position.value - job.steps[step].first};
}

std::optional<task_position> positionOf(const cell_job &job, std::uint32_t step, std::uint32_t index)
{
    if (step >= job.steps.size() || index >= job.steps[step].count) {
        return std::nullopt;
    }
    return task_position(job.steps[step].first + index);
}

cell_job_ptr addJob(cell_state &state, accepted_job accepted, job_progress progress)
{
    cell_job_ptr job(new cell_job);
    job->accepted = std::move(accepted);
    job->progress = std::move(progress);
    std::uint32_t first = 0;
    for (const job_step &step : job->accepted.job.steps) {
        cell_step entry;
        entry.first = first;
        entry.count = step.count;
        first += step.count;
        job->steps.push_back(std::move(entry));
    }
    job->progress.tasks.resize(first);
    job->runs.resize(first, nullptr);
    for (std::uint32_t position = 0; position < first; ++position) {
        if (job->progress.tasks[position].phase == task_phase::Done) {
            ++job->steps[stepOf(*job, task_position(position))].done;
        }
    }
    job->history = &state.history[job->accepted.policy.queue];
    assignOrganisation(state, *job);
    state.jobs[job->accepted.key] = job;
    considerWaiting(state, *job);
    return job;
}

cell_worker &addWorker(cell_state &state, const worker_id &id)
{
    auto worker = std::make_unique<cell_worker>();
    worker->id = id;
    const auto slot = std::find(state.slots.begin(), state.slots.end(), nullptr);
    worker->slot = worker_slot(static_cast<std::uint32_t>(slot - state.slots.begin()));
    if (slot == state.slots.end()) {
        state.slots.push_back(worker.get());
    } else {
        *slot = worker.get();
    }
    return *(state.workers[id] = std::move(worker));
}

void removeWorker(cell_state &state, const worker_id &id)
{
    const auto found = state.workers.find(id);
    if (found == state.workers.end()) {
        return;
    }
    forgetAdvice(state, *found->second);
    state.ends.erase(id);
    state.slots[found->second->slot.value] = nullptr;
    state.workers.erase(found);
}

void forgetAdvice(cell_state &state, const cell_worker &worker)
{
    for (const auto &[key, job] : state.jobs) {
        for (cell_step &step : job->steps) {
            forgetWorker(step.advice, worker.slot);
        }
    }
}

void considerWaiting(cell_state &state, cell_job &job)
{
    if (!job.waitingHook.is_linked()) {
        state.waiting.push_back(job);
    }
}

void markChanged(cell_state &state, cell_job &job)
{
    ++job.changes;
    if (!job.queuedForWrite) {
        job.queuedForWrite = true;
        state.changed.emplace_back(&job);
    }
}

void markBegun(cell_state &state, placed_run &run, const clock_reading &now)
{
    if (!run.begun && run.state != run_state::Stopping && !run.startUnknown) {
        run.begunAt = now.uptime;
    }
    run.begun = true;
    cell_job &job = *run.job;
    if (!job.begun) {
        job.begun = true;
        state.waits.emplace_back(milliseconds(now.utc.value - job.accepted.acceptedAt.value));
    }
}

void recordStartDelay(cell_state &state, const placed_run &run, const clock_reading &now)
{
    const double took = std::chrono::duration<double, std::milli>(now.uptime - run.placedAt).count();
    state.startDelayMs += startDelayWeight * (took - state.startDelayMs);
}

resources freeCapacity(const cell_worker &worker)
{
    return worker.capacity - worker.reserved;
}

bool acceptsRuns(const cell_worker &worker, time_point uptime)
{
    if (!worker.listed || worker.draining || !worker.seen || worker.missedPolls > 0 || worker.orphanRuns > 0) {
        return false;
    }
    if (worker.incarnation != worker.current) {
        // The labels and the capacity are those of another incarnation.
        return false;
    }
    return uptime >= worker.record.avoidedUntil || worker.runs.empty();
}

} // namespace sesamespar
