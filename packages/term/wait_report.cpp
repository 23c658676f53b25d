#include "term/wait_report.h"

#include "base/log.h"
#include "term/advice_selection.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Time since acceptance after which a step without a run is reported.
constexpr std::int64_t reportedAfterMs = 3000;
/// Maximum number of lines in one report, which is written once a second.
constexpr std::size_t maxLines = 5;

/// Tasks of the step that fit on its suitable workers.
struct step_fits {
    std::int64_t now = 0;
    std::int64_t empty = 0;
};

step_fits countStepFits(const cell_state &state, const free_capacity &free, const waiting_step &waiting)
{
    step_fits total;
    for (const suitable_worker &entry : waiting.state().advice.suitable) {
        const cell_worker &worker = *state.slots[entry.worker.value];
        total.now += countTaskFits(waiting, worker, free.remaining[entry.worker.value]);
    }
    total.empty = countPotentialFits(state, waiting);
    return total;
}

/// What the step waits for.
const char *reasonOf(const cell_step &step, const step_fits &found)
{
    if (step.limited) {
        return "limit";
    }
    if (step.advice.openRequests > 0) {
        return "advice";
    }
    const auto tasks = static_cast<std::int64_t>(step.count - step.done);
    if (found.now >= tasks) {
        return "ticket";
    }
    return found.empty >= tasks ? "capacity" : "suitable_workers";
}

} // namespace

void logWaitingSteps(cell_state &state, const clock_reading &now)
{
    std::vector<waiting_step> stalled = collectWaiting(state, now.utc);
    std::erase_if(stalled, [&now](const waiting_step &waiting) {
        return waiting.state().placed > 0 || now.utc.value - waiting.job->accepted.acceptedAt.value < reportedAfterMs;
    });
    const std::size_t lines = std::min(stalled.size(), maxLines);
    std::partial_sort(stalled.begin(),
                      stalled.begin() + static_cast<std::ptrdiff_t>(lines),
                      stalled.end(),
                      [](const waiting_step &left, const waiting_step &right) {
                          return left.job->accepted.acceptedAt < right.job->accepted.acceptedAt;
                      });
    const free_capacity free = measureFree(state, now.uptime);
    for (std::size_t index = 0; index < lines; ++index) {
        const waiting_step &waiting = stalled[index];
        const cell_step &step = waiting.state();
        const step_fits found = countStepFits(state, free, waiting);
        log_event("step_waits")
            .with("job", waiting.job->accepted.key)
            .with("queue", waiting.job->accepted.policy.queue)
            .with("step", waiting.step)
            .with("tasks", step.count - step.done)
            .with("gang", waiting.declared().gang ? 1 : 0)
            .with("waited_ms", now.utc.value - waiting.job->accepted.acceptedAt.value)
            .with("assessed", step.advice.assessed.count())
            .with("suitable", step.advice.suitable.size())
            .with("fit_now", found.now)
            .with("fit_empty", found.empty)
            .with("reason", reasonOf(step, found))
            .with("stalled", stalled.size());
    }
}

} // namespace sesamespar
