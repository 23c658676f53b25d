#include "term/load_report.h"

#include "base/log.h"
#include "connection/cell_codec.h"
#include "connection/cell_keys.h"
#include "term/cell_admission.h"
#include "term/objective.h"
#include "term/wait_report.h"

#include <array>

namespace sesamespar {

namespace {

/// Period of reports. Callers may get a count that is 2 s old; half of that allows for a lost reply and a slow watch.
/// Each report costs one call of the leader and one of each daemon that watches the load.
constexpr milliseconds loadPeriod{1000};
constexpr milliseconds loadLimit{1000};
/// The prospects of job_prospect, and surplus jobs.
constexpr std::size_t prospectGroups = 4;

void handleLoadCommit(const std::shared_ptr<cell_leader> &leader, time_point sentAt, const result<store_commit> &commit)
{
    leader->loadWriting = false;
    if (leader->ended || !commit) {
        return;
    }
    if (commit.value().applied) {
        leader->termConfirmedAt = std::max(leader->termConfirmedAt, sentAt);
        return;
    }
    leader->stepDown("another daemon has begun a term");
}

/// Processors reserved for the runs of the jobs of each prospect, and waiting jobs of each prospect.
struct prospect_use {
    std::int64_t millicores = 0;
    std::size_t waiting = 0;
};

/// Groups the jobs: in time, late, overdue, surplus.
std::array<prospect_use, prospectGroups> measureProspects(const cell_state &state, const clock_reading &now)
{
    std::array<prospect_use, prospectGroups> groups;
    for (const auto &[key, job] : state.jobs) {
        if (isFinal(job->progress.phase)) {
            continue;
        }
        const auto prospect = static_cast<std::size_t>(forecastDeadline(state, *job, now.utc).prospect);
        prospect_use &group = groups[job->surplus ? prospectGroups - 1 : prospect];
        group.waiting += job->begun ? 0 : 1;
        for (std::size_t step = 0; step < job->steps.size(); ++step) {
            group.millicores += job->steps[step].placed * job->accepted.job.steps[step].need.processors.value;
        }
    }
    return groups;
}

/// Logs the utilization of the cell.
void logUse(cell_leader &leader, const clock_reading &now)
{
    resources capacity;
    resources reserved;
    std::size_t runs = 0;
    std::size_t busyWorkers = 0;
    for (const auto &[id, worker] : leader.state.workers) {
        if (worker->listed && worker->missedPolls == 0) {
            capacity = capacity + worker->capacity;
            reserved = reserved + worker->reserved;
            runs += worker->runs.size();
            busyWorkers += worker->runs.empty() ? 0 : 1;
        }
    }
    std::uint64_t pending = 0;
    for (const auto &[queue, entry] : leader.load.queues) {
        pending += entry.pending;
    }
    const auto groups = measureProspects(leader.state, now);
    log_event("cell_use")
        .with("millicores", capacity.processors)
        .with("reserved_millicores", reserved.processors)
        .with("runs", runs)
        .with("jobs", leader.state.jobs.size())
        .with("pending", pending)
        .with("questions", leader.adviceRequests.size())
        .with("workers", leader.state.workers.size())
        .with("busy_workers", busyWorkers)
        .with("in_time_millicores", groups[0].millicores)
        .with("late_millicores", groups[1].millicores)
        .with("overdue_millicores", groups[2].millicores)
        .with("surplus_millicores", groups[3].millicores)
        .with("in_time_pending", groups[0].waiting)
        .with("late_pending", groups[1].waiting)
        .with("overdue_pending", groups[2].waiting)
        .with("surplus_pending", groups[3].waiting)
        .with("passes", leader.passes.count)
        .with("pass_ms", std::chrono::duration_cast<milliseconds>(leader.passes.total).count());
    leader.passes = {};
}

/// Logs the backlog of each pool whose jobs may be refused.
void logBacklog(const cell_load &load)
{
    for (const auto &[service, pool] : load.pools) {
        std::int64_t inTime = 0;
        std::int64_t late = 0;
        for (const backlog_row &row : pool.rows) {
            inTime += row.inTime;
            late += row.late;
        }
        log_event("pool_backlog")
            .with("service", service)
            .with("millicores", pool.processors)
            .with("in_time_core_ms", inTime)
            .with("late_core_ms", late)
            .with("rows", pool.rows.size());
    }
}

} // namespace

void reportLoad(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    if (!leader->recovered || leader->loadWriting || now.uptime < leader->nextLoadAt) {
        return;
    }
    leader->nextLoadAt = now.uptime + loadPeriod;
    leader->loadWriting = true;
    cell_load load = countLoad(leader->state);
    addBacklog(load, leader->state, now);
    logBacklog(load);
    for (const auto &[queue, entry] : load.queues) {
        const auto before = leader->load.queues.find(queue);
        if (entry.refusing && (before == leader->load.queues.end() || !before->second.refusing)) {
            log_event("queue_refuses", log_level::Warning)
                .with("queue", queue)
                .with("pending", entry.pending)
                .with("retry_after_ms", entry.retryAfter.count());
        }
    }
    leader->load = load;
    logUse(*leader, now);
    logWaitingSteps(leader->state, now);
    store_transaction transaction;
    transaction.conditions.push_back({cell_keys::term, store_revision(leader->fence.value)});
    transaction.writes.push_back({cell_keys::load, encodeLoad(load), {}});
    leader->context.store.commit(
        transaction,
        loadLimit,
        timedOnControlThread(leader->context,
                             cell_metrics::loadTime,
                             [leader, sentAt = now.uptime](const result<store_commit> &commit, const clock_reading &) {
                                 handleLoadCommit(leader, sentAt, commit);
                             }));
}

} // namespace sesamespar
