#include "term/usage_learning.h"

#include "term/scheduler_state.h"

#include <algorithm>
#include <set>

namespace sesamespar {

namespace {

// Samples arrive with a delay, so the current use of a task may be higher than its last sample.
constexpr std::int64_t marginPercent = 10;
// Each lower sample reduces a peak by 1/peakDecay of the difference, so that an outlier decays within some hundred
// samples.
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

std::int64_t decayPeak(std::int64_t peak, std::int64_t sample)
{
    return sample >= peak ? sample : peak - (peak - sample) / peakDecay;
}

void updatePeak(work_state &work, const resources &used)
{
    work.peak.processors.value = decayPeak(work.peak.processors.value, used.processors.value);
    work.peak.memory.value = decayPeak(work.peak.memory.value, used.memory.value);
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

// Grows the reservation of a task towards its use plus the margin, as far as its worker has free capacity. Returns true
// if the reservation covers the use.
bool growReservation(scheduler &state, scheduled_task &task, const resources &used)
{
    const resources available = task.worker->usable - task.worker->reserved;
    const auto grow = [](std::int64_t reserved, std::int64_t required, std::int64_t free) {
        return std::max(reserved, std::min(required, reserved + std::max<std::int64_t>(0, free)));
    };
    const resources required = withMargin(used);
    resources next = task.reserved;
    next.processors.value = grow(next.processors.value, required.processors.value, available.processors.value);
    next.memory.value = grow(next.memory.value, required.memory.value, available.memory.value);
    if (next != task.reserved) {
        resizeTask(state, task, next);
    }
    return used.processors <= next.processors && used.memory <= next.memory;
}

// Selects the task to remove when the memory of a worker runs out: the one with the lowest priority that can be resumed
// and frees at least `missing` MiB, or the task itself.
scheduled_task &memoryVictim(const scheduler &state, scheduled_task &task, std::int64_t missing)
{
    const auto rank = [&](const scheduled_task &each) {
        return std::make_tuple(policyOf(*state.settings, each.job->offer.kind).priority,
                               each.job->offer.preemptions,
                               &each == &task ? 0 : 1);
    };
    scheduled_task *chosen = &task;
    for (scheduled_task &other : task.worker->running) {
        const bool removable = other.job->offer.repeatable && !other.stopping && !other.preempting;
        if (removable && other.reserved.memory.value >= missing && rank(other) < rank(*chosen)) {
            chosen = &other;
        }
    }
    return *chosen;
}

void limitOveruse(scheduler &state, scheduled_task &task, const resources &used, std::vector<overuse_action> &actions)
{
    if (used.processors > task.reserved.processors) {
        actions.push_back({{task.job->offer.id, task.index},
                           task.worker->offer.name,
                           overuse_action::kind::Throttle,
                           task.reserved.processors});
    }
    const std::int64_t missing = used.memory.value - task.reserved.memory.value;
    const bool removalPending =
        std::any_of(task.worker->running.begin(), task.worker->running.end(), [](const scheduled_task &each) {
            return each.stopping || each.preempting;
        });
    if (missing <= 0 || removalPending) {
        return; // A task that is already being removed may free enough memory.
    }
    scheduled_task &victim = memoryVictim(state, task, missing);
    victim.stopping = true;
    const auto action = victim.job->offer.repeatable ? overuse_action::kind::Checkpoint : overuse_action::kind::Stop;
    actions.push_back({{victim.job->offer.id, victim.index}, victim.worker->offer.name, action, millicores(0)});
}

scheduled_task *findPlaced(scheduler &state, const task_key &key)
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
    // Samples below the declared need do not lower it, because the task may still use all that it declared.
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
    std::set<work_id> changedWork;
    for (const usage_sample &sample : samples) {
        scheduled_task *task = findPlaced(state, sample.task);
        if (task == nullptr) {
            continue;
        }
        work_state &work = state.work[task->job->offer.work];
        const resources before = work.peak;
        updatePeak(work, sample.used);
        if (work.peak != before && !fits(larger(before, work.peak), task->job->offer.need)) {
            changedWork.insert(task->job->offer.work);
        }
        if (!fits(sample.used, task->reserved) && !growReservation(state, *task, sample.used)) {
            limitOveruse(state, *task, sample.used, actions);
        }
    }
    for (const work_id &work : changedWork) {
        refreshLanes(state, work);
    }
    return actions;
}

} // namespace sesamespar
