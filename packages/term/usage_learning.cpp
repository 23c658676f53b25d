#include "term/usage_learning.h"

#include "term/scheduler_state.h"

#include <algorithm>
#include <set>

namespace sesamespar {

namespace {

// Samples lag, so a task may use more by now than its last sample says.
constexpr std::int64_t marginPercent = 10;
// Part by which a peak approaches a lower sample, so that one outlier is forgotten after some hundred samples.
constexpr std::int64_t peakDecay = 64;

resources withMargin(const resources &amount)
{
    const auto raise = [](std::int64_t value) {
        return value + value * marginPercent / 100;
    };
    return {millicores(raise(amount.processors.value)), mebibytes(raise(amount.memory.value)), amount.accelerator};
}

resources larger(const resources &left, const resources &right)
{
    return {std::max(left.processors, right.processors),
            std::max(left.memory, right.memory),
            std::max(left.accelerator, right.accelerator)};
}

std::int64_t followPeak(std::int64_t peak, std::int64_t sample)
{
    return sample >= peak ? sample : peak - (peak - sample) / peakDecay;
}

void learnPeak(work_state &work, const resources &used)
{
    work.peak.processors.value = followPeak(work.peak.processors.value, used.processors.value);
    work.peak.memory.value = followPeak(work.peak.memory.value, used.memory.value);
}

bool fitsSomeWorker(const scheduler &state, const resources &need)
{
    return std::any_of(state.shapes.begin(), state.shapes.end(), [&](const auto &shape) {
        const auto &[processors, memory, accelerator] = shape.first;
        return fits(need, {millicores(processors), mebibytes(memory), accelerators(accelerator)});
    });
}

void refreshLanes(scheduler &state, const work_id &work)
{
    for (auto &[key, queue] : state.queues) {
        for (auto entry = queue.lanes.lower_bound({work, 0, 0, 0, 0});
             entry != queue.lanes.end() && entry->second.work == work;
             ++entry) {
            job_lane &lane = entry->second;
            const resources need = learnedNeed(state, queue.team, work, lane.declared);
            if (need != lane.need) {
                lane.need = need;
                unblockLane(state, lane);
            }
        }
    }
}

// Lets a task hold as much more as its worker has left, and returns true if that covers the use.
bool growReservation(scheduler &state, held_task &task, const resources &used)
{
    const resources room = task.worker->usable - task.worker->reserved;
    const auto grow = [](std::int64_t reserved, std::int64_t wanted, std::int64_t free) {
        return std::max(reserved, std::min(wanted, reserved + std::max<std::int64_t>(0, free)));
    };
    const resources wanted = withMargin(used);
    resources next = task.reserved;
    next.processors.value = grow(next.processors.value, wanted.processors.value, room.processors.value);
    next.memory.value = grow(next.memory.value, wanted.memory.value, room.memory.value);
    if (next != task.reserved) {
        resizeTask(state, task, next);
    }
    return used.processors <= next.processors && used.memory <= next.memory;
}

// The task to remove when memory runs out: the least urgent one on the worker that can be resumed and frees enough,
// or the task itself.
held_task &memoryVictim(const scheduler &state, held_task &task, std::int64_t missing)
{
    const auto rank = [&](const held_task &each) {
        return std::make_tuple(policyOf(*state.settings, each.job->offer.kind).priority,
                               each.job->offer.preemptions,
                               &each == &task ? 0 : 1);
    };
    held_task *chosen = &task;
    for (held_task &other : task.worker->running) {
        const bool removable = other.job->offer.repeatable && !other.stopping && !other.preempting;
        if (removable && other.reserved.memory.value >= missing && rank(other) < rank(*chosen)) {
            chosen = &other;
        }
    }
    return *chosen;
}

void limitOveruse(scheduler &state, held_task &task, const resources &used, std::vector<overuse_action> &actions)
{
    if (used.processors > task.reserved.processors) {
        actions.push_back({{task.job->offer.id, task.index},
                           task.worker->offer.name,
                           overuse_action::kind::Throttle,
                           task.reserved.processors});
    }
    const std::int64_t missing = used.memory.value - task.reserved.memory.value;
    const bool underWay = std::any_of(task.worker->running.begin(),
                                      task.worker->running.end(),
                                      [](const held_task &each) { return each.stopping || each.preempting; });
    if (missing <= 0 || underWay) {
        return; // Memory that a task on its way out frees is awaited first.
    }
    held_task &victim = memoryVictim(state, task, missing);
    victim.stopping = true;
    const auto action = victim.job->offer.repeatable ? overuse_action::kind::Checkpoint : overuse_action::kind::Stop;
    actions.push_back({{victim.job->offer.id, victim.index}, victim.worker->offer.name, action, millicores(0)});
}

held_task *findPlaced(scheduler &state, const task_key &key)
{
    const auto job = state.jobs.find(key.job);
    if (job == state.jobs.end()) {
        return nullptr;
    }
    const auto task = job->second.placed.find(key.index);
    return task == job->second.placed.end() ? nullptr : task->second.get();
}

} // namespace

resources learnedNeed(const scheduler &state, const team_id &team, const work_id &work, const resources &declared)
{
    const auto learned = state.work.find(work);
    if (learned == state.work.end()) {
        return declared;
    }
    // Samples below the declared need do not lower it: a task may still grow into its declaration.
    resources need = declared;
    const resources &peak = learned->second.peak;
    const resources raised = withMargin(peak);
    if (peak.processors > declared.processors) {
        need.processors = raised.processors;
    }
    if (peak.memory > declared.memory) {
        need.memory = raised.memory;
    }
    const team_settings *settings = findTeam(*state.settings, team);
    const bool allowed = settings == nullptr || !settings->quota || fits(need, *settings->quota);
    return allowed && fitsSomeWorker(state, need) ? need : declared;
}

std::vector<overuse_action> learnUsage(scheduler &state, const std::vector<usage_sample> &samples)
{
    std::vector<overuse_action> actions;
    std::set<work_id> learned;
    for (const usage_sample &sample : samples) {
        held_task *task = findPlaced(state, sample.task);
        if (task == nullptr) {
            continue;
        }
        work_state &work = state.work[task->job->offer.work];
        const resources before = work.peak;
        learnPeak(work, sample.used);
        if (work.peak != before && !fits(larger(before, work.peak), task->job->offer.need)) {
            learned.insert(task->job->offer.work);
        }
        if (!fits(sample.used, task->reserved) && !growReservation(state, *task, sample.used)) {
            limitOveruse(state, *task, sample.used, actions);
        }
    }
    for (const work_id &work : learned) {
        refreshLanes(state, work);
    }
    return actions;
}

} // namespace sesamespar
