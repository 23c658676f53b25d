#include "standins/execution_recorder.h"

#include <algorithm>

namespace sesamespar::standins {

namespace {

resources sumOf(const std::map<task_id, resources> &running)
{
    resources sum;
    for (const auto &entry : running) {
        sum = sum + entry.second;
    }
    return sum;
}

void recordBegin(execution_recorder &seen, const worker_state &worker, const task_change &change, utc_time now)
{
    const task_id &task = change.task;
    std::vector<worker_id> &copies = seen.running[{task.job, task.index}];
    if (!copies.empty()) {
        seen.duplicateExecutions.push_back({task.job, task.index, copies.front(), worker.name, now});
    }
    copies.push_back(worker.name);
    seen.starts[task.job].push_back({task.index, task.attempt, worker.name, now, std::nullopt, {}, worker.draining});

    watched_worker &watched = seen.workers[worker.name];
    watched.running[task] = change.need;
    watched.peakTasks = std::max(watched.peakTasks, watched.running.size());
    ++watched.starts;
    const resources sum = sumOf(watched.running);
    if (!fits(sum, watched.capacity)) {
        seen.capacityViolations.push_back({worker.name, task, sum, watched.capacity, now});
    }
}

void recordEnd(execution_recorder &seen, const worker_state &worker, const task_change &change, utc_time now)
{
    const task_id &task = change.task;
    const auto copies = seen.running.find({task.job, task.index});
    if (copies != seen.running.end()) {
        const auto own = std::find(copies->second.begin(), copies->second.end(), worker.name);
        if (own != copies->second.end()) {
            copies->second.erase(own);
        }
        if (copies->second.empty()) {
            seen.running.erase(copies);
        }
    }
    seen.workers[worker.name].running.erase(task);
    std::vector<task_start> &starts = seen.starts[task.job];
    const auto start = std::find_if(starts.rbegin(), starts.rend(), [&](const task_start &single) {
        return single.worker == worker.name && single.index == task.index && single.attempt == task.attempt
            && !single.ended;
    });
    if (start != starts.rend()) {
        start->ended = now;
        start->outcome = change.outcome;
    }
}

} // namespace

void trackWorker(execution_recorder &seen, const worker_id &name, const resources &capacity)
{
    seen.workers[name].capacity = capacity;
}

void recordChanges(execution_recorder &seen, const worker_state &worker, const task_changes &changes, utc_time now)
{
    for (const task_change &change : changes) {
        if (change.began) {
            recordBegin(seen, worker, change, now);
        } else {
            recordEnd(seen, worker, change, now);
        }
    }
}

} // namespace sesamespar::standins
