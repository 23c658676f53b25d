#include "term/cell_admission.h"

#include "term/waiting_steps.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sesamespar {

namespace {

/// Share of a pool's processors that is free at most while the pool is full. Above it, new jobs can be started in spite
/// of the backlog, which waits for advice, memory or enough capacity for a gang; see cell_policy::gatheringShare.
constexpr double fullShare = 0.15;
/// Number of finished tasks of a queue from which on the ratio of their durations to the estimates is known.
constexpr std::uint64_t minSamples = 20;
constexpr double percent = 100;
constexpr double largestPercent = 10000;
constexpr std::int64_t millicoresPerCore = 1000;
constexpr milliseconds shortestRetryAfter{1000};

/// Processors of a pool of workers.
struct pool_processors {
    millicores total;
    millicores free;
};

std::map<service_id, pool_processors> measurePools(const cell_state &state, time_point uptime)
{
    std::map<service_id, pool_processors> pools;
    for (const auto &[id, worker] : state.workers) {
        if (acceptsRuns(*worker, uptime)) {
            pool_processors &pool = pools[worker->service];
            pool.total.value += worker->capacity.processors.value;
            pool.free.value += freeCapacity(*worker).processors.value;
        }
    }
    return pools;
}

bool isFull(const pool_processors &pool)
{
    return static_cast<double>(pool.free.value) < fullShare * static_cast<double>(pool.total.value);
}

/// True if the step takes processors that a new job of its pool could use as well.
bool usesCommonWorkers(const job_step &step)
{
    return step.need.accelerator.value == 0 && step.requiredLabel.empty();
}

backlog_row &rowOf(pool_backlog &pool, int priority, unsigned sizeClass)
{
    const auto found = std::find_if(pool.rows.begin(), pool.rows.end(), [&](const backlog_row &row) {
        return row.priority == priority && row.sizeClass == sizeClass;
    });
    return found != pool.rows.end() ? *found : pool.rows.emplace_back(backlog_row{priority, sizeClass});
}

/// Work of the waiting tasks of a step, in core-milliseconds.
std::int64_t workOf(const cell_state &state, const waiting_step &waiting)
{
    const auto millicores = static_cast<std::int64_t>(countWaiting(waiting)) * waiting.declared().need.processors.value;
    return millicores * expectedDuration(state, *waiting.job, waiting.step).count() / millicoresPerCore;
}

/// Time for a pool to do all work of a priority and of the more urgent ones.
milliseconds timeToComplete(const pool_backlog &pool, int priority)
{
    std::int64_t work = 0;
    for (const backlog_row &row : pool.rows) {
        work += row.priority <= priority ? row.inTime + row.late : 0;
    }
    return std::max(milliseconds(work * millicoresPerCore / pool.processors.value), shortestRetryAfter);
}

std::uint32_t durationPercentOf(const log_statistics &corrections)
{
    if (corrections.samples < minSamples) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::clamp(percent * std::exp(corrections.mean), 1.0, largestPercent));
}

/// Sets what the queue of a waiting job publishes besides the number of its jobs.
void markRefusing(cell_load &load, const pool_backlog &pool, const cell_job &job)
{
    queue_load &queue = load.queues[job.accepted.policy.queue];
    if (!queue.refusing) {
        queue.refusing = true;
        queue.retryAfter = timeToComplete(pool, job.accepted.policy.priority);
        queue.durationPercent = durationPercentOf(job.history->runTimes.corrections);
    }
}

} // namespace

cell_load countLoad(const cell_state &state)
{
    cell_load load;
    for (const auto &[key, job] : state.jobs) {
        if (!isFinal(job->progress.phase)) {
            queue_load &queue = load.queues[job->accepted.policy.queue];
            // A job counts as waiting until a worker has begun one of its tasks: a placed task may not have reached its
            // worker, for example after the loss of all daemons.
            queue.pending += job->begun ? 0 : 1;
        }
    }
    return load;
}

void addBacklog(cell_load &load, cell_state &state, const clock_reading &now)
{
    if (state.policy.ties != tie_order::LeastWork) {
        return;
    }
    const auto pools = measurePools(state, now.uptime);
    for (const waiting_step &waiting : collectWaiting(state, now.utc)) {
        const queue_policy &policy = waiting.job->accepted.policy;
        const auto pool = pools.find(policy.service);
        if (isDeferrable(waiting) || !usesCommonWorkers(waiting.declared()) || pool == pools.end()
            || !isFull(pool->second)) {
            continue;
        }
        pool_backlog &backlog = load.pools[policy.service];
        backlog.processors = pool->second.total;
        backlog_row &row = rowOf(backlog, policy.priority, sizeClassOf(waiting.remainingWork));
        (precedesLateWork(waiting) ? row.inTime : row.late) += workOf(state, waiting);
    }
    for (const auto &[key, job] : std::as_const(state).jobs) {
        const auto pool = load.pools.find(job->accepted.policy.service);
        if (!isFinal(job->progress.phase) && pool != load.pools.end()) {
            markRefusing(load, pool->second, *job);
        }
    }
}

} // namespace sesamespar
