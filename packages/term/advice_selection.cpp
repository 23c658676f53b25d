#include "term/advice_selection.h"

#include <algorithm>

namespace sesamespar {

std::chrono::duration<double, std::milli> adviceTime(const advice_timing &timing, std::size_t workers)
{
    return timing.decide + timing.perWorker * static_cast<double>(workers);
}

bool isEligible(const waiting_step &waiting, const cell_worker &worker)
{
    const std::string &label = waiting.declared().requiredLabel;
    return worker.service == waiting.job->accepted.policy.service && (label.empty() || worker.labels.contains(label));
}

std::int64_t countTaskFits(const waiting_step &waiting, const cell_worker &worker, const resources &amount)
{
    const job_step &declared = waiting.declared();
    const std::int64_t fit = countFits(declared.need, amount);
    if (fit == 0 || declared.maxPerWorker == 0) {
        return fit;
    }
    const cell_step &step = waiting.state();
    std::int64_t present = 0;
    for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
        const placed_run *run = waiting.job->runs[position];
        present += run != nullptr && run->worker == &worker ? 1 : 0;
    }
    return std::min(fit, std::max<std::int64_t>(declared.maxPerWorker - present, 0));
}

std::int64_t countPotentialFits(const cell_state &state, const waiting_step &waiting)
{
    std::int64_t fit = 0;
    const auto add = [&](const cell_worker *worker) {
        if (worker != nullptr && worker->listed && !worker->draining && isEligible(waiting, *worker)) {
            fit += countTaskFits(waiting, *worker, worker->capacity);
        }
    };
    if (waiting.job->accepted.policy.advice) {
        for (const suitable_worker &entry : waiting.state().advice.suitable) {
            add(state.slots[entry.worker.value]);
        }
    } else {
        std::for_each(state.slots.begin(), state.slots.end(), add);
    }
    return fit;
}

std::vector<worker_slot>
selectUnassessed(const cell_state &state, const free_capacity &free, const waiting_step &waiting)
{
    const step_advice &advice = waiting.state().advice;
    std::vector<worker_slot> selected;
    for (std::size_t slot = 0; slot < state.slots.size() && selected.size() < maxAdviceWorkers; ++slot) {
        const worker_slot worker(static_cast<std::uint32_t>(slot));
        if (contains(free.usable, worker) && !contains(advice.assessed, worker)
            && isEligible(waiting, *state.slots[slot])) {
            selected.push_back(worker);
        }
    }
    return selected;
}

} // namespace sesamespar
