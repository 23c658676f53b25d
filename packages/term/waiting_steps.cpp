#include "term/waiting_steps.h"

#include <algorithm>
#include <map>

namespace sesamespar {

namespace {

/// Most urgent priority. Its queues have many small jobs, whose value exceeds the cost of their capacity also when
/// late.
constexpr int urgentPriority = 0;

/// Coarse order: urgent jobs and jobs that can be in time, then late ones, then overdue ones, then surplus ones.
int rankOf(const waiting_step &waiting)
{
    constexpr int surplusRank = 3;
    if (waiting.job->surplus) {
        return surplusRank;
    }
    if (waiting.forecast.prospect == job_prospect::Overdue) {
        return 2;
    }
    const bool urgent = waiting.job->accepted.policy.priority == urgentPriority;
    return urgent || waiting.forecast.prospect == job_prospect::InTime ? 0 : 1;
}

bool arrivedEarlier(const waiting_step &left, const waiting_step &right)
{
    const utc_time leftArrival = left.job->accepted.acceptedAt;
    const utc_time rightArrival = right.job->accepted.acceptedAt;
    return leftArrival != rightArrival ? leftArrival < rightArrival : left.job->accepted.key < right.job->accepted.key;
}

bool isAboveShare(const waiting_step &waiting)
{
    return waiting.job->organisation != nullptr && waiting.job->organisation->aboveShare;
}

bool isAhead(const waiting_step &left, const waiting_step &right)
{
    if (rankOf(left) != rankOf(right)) {
        return rankOf(left) < rankOf(right);
    }
    const int leftPriority = left.job->accepted.policy.priority;
    const int rightPriority = right.job->accepted.policy.priority;
    if (leftPriority != rightPriority) {
        return leftPriority < rightPriority;
    }
    if (isAboveShare(left) != isAboveShare(right)) {
        return isAboveShare(right);
    }
    if (left.longestWait != right.longestWait) {
        return left.longestWait;
    }
    if (left.remainingWork != right.remainingWork) {
        return left.remainingWork < right.remainingWork;
    }
    if (left.forecast.latestStart != right.forecast.latestStart) {
        return left.forecast.latestStart < right.forecast.latestStart;
    }
    return left.job->accepted.key < right.job->accepted.key;
}

bool isReady(const cell_job &job, std::uint32_t step)
{
    const std::vector<std::uint32_t> &after = job.accepted.job.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&job](std::uint32_t earlier) {
        return job.steps[earlier].done == job.steps[earlier].count;
    });
}

bool hasWaiting(const cell_job &job, std::uint32_t step)
{
    const cell_step &entry = job.steps[step];
    // A gang is placed again only after all runs of its members have ended.
    if (job.accepted.job.steps[step].gang) {
        return entry.done < entry.count && entry.placed == 0;
    }
    return entry.done + entry.placed < entry.count;
}

/// Work that is left of a job, in core-milliseconds.
double remainingWorkOf(const cell_state &state, const cell_job &job)
{
    double work = 0;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        const auto tasks = static_cast<double>(job.steps[step].count - job.steps[step].done);
        const auto cores = static_cast<double>(job.accepted.job.steps[step].need.processors.value) / 1000;
        work += tasks * cores * static_cast<double>(expectedDuration(state, job, step).count());
    }
    return work;
}

/// Appends the waiting steps of a job. Returns false if it has none.
bool appendSteps(const cell_state &state, cell_job &job, utc_time now, std::vector<waiting_step> &waiting)
{
    if (isFinal(job.progress.phase)) {
        return false;
    }
    std::optional<deadline_forecast> forecast;
    double work = 0;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        if (!hasWaiting(job, step) || !isReady(job, step)) {
            continue;
        }
        if (!forecast) {
            forecast = forecastDeadline(state, job, now);
            work = state.policy.ties == tie_order::LeastWork ? remainingWorkOf(state, job) : 0;
        }
        waiting.push_back({&job, step, *forecast, work});
    }
    return forecast.has_value();
}

/// Marks the job that has waited longest of each rank and priority, so that it precedes jobs with less remaining work.
/// Otherwise a large gang never starts while enough smaller ones arrive.
void markLongestWaits(std::vector<waiting_step> &waiting)
{
    std::map<std::pair<int, int>, waiting_step *> longest;
    for (waiting_step &step : waiting) {
        waiting_step *&first = longest[{rankOf(step), step.job->accepted.policy.priority}];
        if (first == nullptr || arrivedEarlier(step, *first)) {
            first = &step;
        }
    }
    for (const auto &[group, step] : longest) {
        step->longestWait = true;
    }
}

} // namespace

std::vector<waiting_step> collectWaiting(cell_state &state, utc_time now)
{
    std::vector<waiting_step> waiting;
    for (auto next = state.waiting.begin(); next != state.waiting.end();) {
        cell_job &job = *next;
        if (appendSteps(state, job, now, waiting)) {
            ++next;
        } else {
            next = state.waiting.erase(next);
        }
    }
    if (state.policy.ties == tie_order::LeastWork) {
        markLongestWaits(waiting);
    }
    std::sort(
        waiting.begin(), waiting.end(), state.policy.order == work_order::DeadlineForecast ? isAhead : arrivedEarlier);
    return waiting;
}

bool precedesLateWork(const waiting_step &waiting)
{
    return rankOf(waiting) == 0;
}

bool isDeferrable(const waiting_step &waiting)
{
    return waiting.job->surplus || waiting.forecast.prospect == job_prospect::Overdue;
}

std::size_t countWaiting(const waiting_step &waiting)
{
    const cell_step &step = waiting.state();
    return step.count - step.done - step.placed;
}

std::vector<task_position> waitingTasks(const waiting_step &waiting)
{
    const cell_job &job = *waiting.job;
    const cell_step &step = waiting.state();
    std::vector<task_position> positions;
    for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
        if (job.progress.tasks[position].phase == task_phase::Waiting && job.runs[position] == nullptr) {
            positions.emplace_back(position);
        }
    }
    return positions;
}

} // namespace sesamespar
