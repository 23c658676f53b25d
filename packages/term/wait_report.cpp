#include "term/wait_report.h"

#include "base/log.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Time since acceptance after which a step without a run is reported.
constexpr std::int64_t reportedAfterMs = 3000;
/// Maximum number of lines in one report, which is written once a second.
constexpr std::size_t maxLines = 5;

/// A step without a run whose earlier steps are done.
struct stalled_step {
    const cell_job *job = nullptr;
    std::uint32_t step = 0;
};

/// Tasks of the step that fit on its suitable workers.
struct step_fits {
    std::int64_t now = 0;
    std::int64_t empty = 0;
};

bool isStalled(const cell_job &job, std::uint32_t step)
{
    const std::vector<std::uint32_t> &after = job.accepted.job.steps[step].after;
    const bool ready = std::all_of(after.begin(), after.end(), [&job](std::uint32_t earlier) {
        return job.steps[earlier].done == job.steps[earlier].count;
    });
    return ready && job.steps[step].placed == 0 && job.steps[step].done < job.steps[step].count;
}

std::vector<stalled_step> listStalled(const cell_state &state, utc_time now)
{
    std::vector<stalled_step> stalled;
    for (const auto &[key, job] : state.jobs) {
        if (isFinal(job->progress.phase) || now.value - job->accepted.acceptedAt.value < reportedAfterMs) {
            continue;
        }
        for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
            if (isStalled(*job, step)) {
                stalled.push_back({job.get(), step});
            }
        }
    }
    return stalled;
}

step_fits countFits(const cell_state &state, const stalled_step &stalled, time_point uptime)
{
    const resources &need = stalled.job->accepted.job.steps[stalled.step].need;
    const auto fitting = [&need](const resources &amount) {
        return need.processors.value <= 0 ? 0
                                          : std::max<std::int64_t>(amount.processors.value, 0) / need.processors.value;
    };
    step_fits total;
    for (const auto &[id, ticket] : stalled.job->steps[stalled.step].suitable) {
        const auto worker = state.workers.find(id);
        if (worker != state.workers.end() && acceptsRuns(*worker->second, uptime)) {
            total.now += fitting(freeCapacity(*worker->second));
            total.empty += fitting(worker->second->capacity);
        }
    }
    return total;
}

/// What the step waits for.
const char *reasonOf(const cell_step &step, const step_fits &found)
{
    if (step.adviceRequested) {
        return "advice";
    }
    const auto tasks = static_cast<std::int64_t>(step.count - step.done);
    if (found.now >= tasks) {
        return "ticket";
    }
    return found.empty >= tasks ? "capacity" : "suitable_workers";
}

} // namespace

void logWaitingSteps(const cell_state &state, const clock_reading &now)
{
    std::vector<stalled_step> stalled = listStalled(state, now.utc);
    const std::size_t lines = std::min(stalled.size(), maxLines);
    std::partial_sort(stalled.begin(),
                      stalled.begin() + static_cast<std::ptrdiff_t>(lines),
                      stalled.end(),
                      [](const stalled_step &left, const stalled_step &right) {
                          return left.job->accepted.acceptedAt < right.job->accepted.acceptedAt;
                      });
    for (std::size_t index = 0; index < lines; ++index) {
        const cell_job &job = *stalled[index].job;
        const cell_step &step = job.steps[stalled[index].step];
        const step_fits found = countFits(state, stalled[index], now.uptime);
        log_event("step_waits")
            .with("job", job.accepted.key)
            .with("queue", job.accepted.policy.queue)
            .with("step", stalled[index].step)
            .with("tasks", step.count - step.done)
            .with("gang", job.accepted.job.steps[stalled[index].step].gang ? 1 : 0)
            .with("waited_ms", now.utc.value - job.accepted.acceptedAt.value)
            .with("assessed", step.assessedWorkers.size())
            .with("suitable", step.suitable.size())
            .with("fit_now", found.now)
            .with("fit_empty", found.empty)
            .with("reason", reasonOf(step, found))
            .with("stalled", stalled.size());
    }
}

} // namespace sesamespar
