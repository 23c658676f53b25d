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

void recordBegin(execution_recorder &recorder, const worker_state &worker, const task_change &change, utc_time now)
{
    const task_id &task = change.task;
    std::vector<worker_id> &copies = recorder.running[{task.job, task.index}];
    if (!copies.empty()) {
        recorder.duplicateExecutions.push_back({task.job, task.index, copies.front(), worker.name, now});
    }
    copies.push_back(worker.name);
    recorder.starts[task.job].push_back(
        {task.index, task.attempt, worker.name, now, std::nullopt, {}, worker.draining});

    recorded_worker &recorded = recorder.workers[worker.name];
    recorded.running[task] = change.need;
    recorded.peakTasks = std::max(recorded.peakTasks, recorded.running.size());
    ++recorded.starts;
    const resources sum = sumOf(recorded.running);
    if (!fits(sum, recorded.capacity)) {
        recorder.capacityViolations.push_back({worker.name, task, sum, recorded.capacity, now});
    }
}

void recordEnd(execution_recorder &recorder, const worker_state &worker, const task_change &change, utc_time now)
{
    const task_id &task = change.task;
    const auto copies = recorder.running.find({task.job, task.index});
    if (copies != recorder.running.end()) {
        const auto own = std::find(copies->second.begin(), copies->second.end(), worker.name);
        if (own != copies->second.end()) {
            copies->second.erase(own);
        }
        if (copies->second.empty()) {
            recorder.running.erase(copies);
        }
    }
    recorder.workers[worker.name].running.erase(task);
    std::vector<task_start> &starts = recorder.starts[task.job];
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

void trackWorker(execution_recorder &recorder, const worker_id &name, const resources &capacity)
{
    recorder.workers[name].capacity = capacity;
}

void recordChanges(execution_recorder &recorder, const worker_state &worker, const task_changes &changes, utc_time now)
{
    for (const task_change &change : changes) {
        if (change.began) {
            recordBegin(recorder, worker, change, now);
        } else {
            recordEnd(recorder, worker, change, now);
        }
    }
}

} // namespace sesamespar::standins
