#include "term/cell_recovery.h"

#include "base/log.h"
#include "connection/cell_codec.h"
#include "connection/cell_keys.h"
#include "term/organisation_usage.h"
#include "term/run_lifecycle.h"
#include "term/worker_sessions.h"

#include <algorithm>

namespace sesamespar {

namespace {

constexpr milliseconds listLimit{2000};
/// Pause before the retry of a failed listing.
constexpr milliseconds retryPause{100};
/// Time for which changes of jobs are collected, so that a burst of arrivals costs one call.
constexpr milliseconds jobWatchPause{25};
/// Maximum number of keys of finished jobs that are removed in one transaction, which may have 32 entries.
constexpr std::size_t sweepBatch = 30;
/// Maximum number of finished jobs that are removed after one listing of the jobs, one transaction after the other.
/// With listings each 10 s these are 300 a second, twice the jobs that a cell of 350 workers finishes.
constexpr std::size_t maxSwept = 3000;

/// Age of a stored job from which on a notice of another daemon is left out; the watch reports such a job anyway.
constexpr milliseconds maxNoticeAge{10000};

/// Restores a run of an earlier term on its worker.
void restoreRun(cell_leader &leader, cell_job &job, task_position position, const clock_reading &now)
{
    const task_progress &task = job.progress.tasks[position.value];
    // The worker may be missing in the current list.
    cell_worker &worker = findOrAddWorker(leader, task.worker);
    placed_run &run = reserveRun(job, position, task.run, worker, now);
    run.state = run_state::Running;
    run.sent = true;
    run.orderedAt = now.uptime;
}

/// Restores the latest run of each gang that was counted as a failure. It is stored with the member that failed.
void restoreGangFailures(cell_job &job)
{
    for (std::uint32_t number = 0; number < job.steps.size(); ++number) {
        cell_step &step = job.steps[number];
        for (std::uint32_t position = step.first; position < step.first + step.count; ++position) {
            const task_progress &task = job.progress.tasks[position];
            if (task.failures > 0 && task.phase == task_phase::Waiting && step.failedRun < task.run) {
                step.failedRun = task.run;
            }
        }
    }
}

void addStoredJob(cell_leader &leader, accepted_job accepted, store_revision revision, const clock_reading &now)
{
    if (leader.state.jobs.contains(accepted.key) || leader.finished.contains(accepted.key)) {
        return;
    }
    job_progress progress;
    store_revision progressRevision;
    const auto found = leader.recoveredProgress.find(accepted.key);
    if (found != leader.recoveredProgress.end()) {
        progress = std::move(found->second.first);
        progressRevision = found->second.second;
        leader.recoveredProgress.erase(found);
    }
    if (progress.tasks.size() > countTasks(accepted.job)) {
        log_event("job_progress_mismatch", log_level::Error).with("job", accepted.key);
        return;
    }
    const cell_job_ptr job = addJob(leader.state, std::move(accepted), std::move(progress));
    job->jobRevision = revision;
    job->progressRevision = progressRevision;
    restoreGangFailures(*job);
    for (std::uint32_t position = 0; position < job->runs.size(); ++position) {
        if (job->progress.tasks[position].phase == task_phase::Placed) {
            restoreRun(leader, *job, task_position(position), now);
        }
    }
    leader.placementDue = true;
    log_event("job_known")
        .with("job", job->accepted.key)
        .with("queue", job->accepted.policy.queue)
        .with("tasks", job->runs.size())
        .with("revision", revision)
        .with("age_ms", now.utc.value - job->accepted.acceptedAt.value);
}

void handleCancel(const std::shared_ptr<cell_leader> &leader, const job_key &key, const clock_reading &now)
{
    const auto found = leader->state.jobs.find(key);
    if (found == leader->state.jobs.end()) {
        // A withdrawn job, or one that became final before its cancellation was stored.
        const auto finished = leader->finished.try_emplace(key, finished_job{job_phase::Withdrawn, now.utc}).first;
        finished->second.cancelStored = true;
        return;
    }
    log_event("job_cancelled").with("job", key);
    cancelJob(leader->state, *cell_job_ptr(found->second), now);
    leader->placementDue = true;
}

void handleJobItem(const std::shared_ptr<cell_leader> &leader, const store_item &item, const clock_reading &now)
{
    std::string name = item.key.substr(cell_keys::jobPrefix.size());
    if (name.ends_with(cell_keys::cancelSuffix)) {
        name.resize(name.size() - cell_keys::cancelSuffix.size());
        handleCancel(leader, job_key(name), now);
        return;
    }
    auto accepted = decodeAcceptedJob(job_key(name), item.value);
    if (!accepted) {
        log_event("stored_job_malformed", log_level::Error)
            .with("key", item.key)
            .with("revision", item.revision)
            .with("problem", accepted.error().message);
        return;
    }
    addStoredJob(*leader, std::move(accepted.value()), item.revision, now);
}

/// Finished jobs whose progress is to be removed.
using expired_jobs = std::vector<job_key>;

/// Jobs that ended more than twice the retention time ago, at most maxSwept.
expired_jobs findExpired(const cell_leader &leader, const clock_reading &now)
{
    const std::int64_t oldest = now.utc.value - 2 * milliseconds(leader.context.settings.limits.keepFinished).count();
    expired_jobs expired;
    for (const auto &[key, entry] : leader.finished) {
        if (entry.ended.value < oldest && expired.size() < maxSwept) {
            expired.push_back(key);
        }
    }
    return expired;
}

/// Removes the progress of the jobs from the one at `first` on. After a failed transaction the rest is left to the next
/// sweep, which finds it among the finished jobs again.
void removeProgress(const std::shared_ptr<cell_leader> &leader,
                    const std::shared_ptr<const expired_jobs> &expired,
                    std::size_t first)
{
    if (first == expired->size()) {
        log_event("finished_jobs_removed").with("jobs", expired->size());
        return;
    }
    store_transaction transaction;
    transaction.conditions.push_back({cell_keys::term, store_revision(leader->fence.value)});
    std::size_t end = first;
    for (; end < expired->size() && transaction.removals.size() + 2 <= sweepBatch; ++end) {
        const job_key &key = (*expired)[end];
        transaction.removals.push_back(cell_keys::progress(key));
        if (const auto entry = leader->finished.find(key);
            entry != leader->finished.end() && entry->second.cancelStored) {
            transaction.removals.push_back(cell_keys::cancel(key));
        }
    }
    leader->context.store.commit(
        transaction,
        listLimit,
        onControlThread(leader->context.box,
                        [leader, expired, first, end](const result<store_commit> &commit, const clock_reading &) {
                            if (leader->ended || !commit || !commit.value().applied) {
                                return;
                            }
                            for (std::size_t index = first; index < end; ++index) {
                                leader->finished.erase((*expired)[index]);
                            }
                            removeProgress(leader, expired, end);
                        }));
}

void sweepFinished(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    const auto expired = std::make_shared<const expired_jobs>(findExpired(*leader, now));
    if (!expired->empty()) {
        removeProgress(leader, expired, 0);
    }
}

void finishRecovery(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    if (leader->recovered) {
        sweepFinished(leader, now);
        return;
    }
    leader->recovered = true;
    rankSubmissions(leader->state);
    recordTime(*leader->context.counters, cell_metrics::takeoverTime, now.uptime - leader->beganAt);
    leader->placementDue = true;
    log_event("cell_recovered")
        .with("jobs", leader->state.jobs.size())
        .with("finished", leader->finished.size())
        .with("took_ms", elapsedBetween(leader->beganAt, now.uptime).count());
    followWorkers(leader);
}

void followJobs(const std::shared_ptr<cell_leader> &leader)
{
    mirror_sink sink;
    const std::weak_ptr<cell_leader> weak = leader;
    sink.changed = [weak](const store_item &item, const clock_reading &now) {
        if (const auto self = weak.lock()) {
            handleJobItem(self, item, now);
        }
    };
    sink.removed = [](const std::string &, const clock_reading &) {
    };
    sink.listed = [weak](const clock_reading &now) {
        if (const auto self = weak.lock()) {
            finishRecovery(self, now);
        }
    };
    leader->jobs = followPrefix(leader->context.store,
                                leader->context.box,
                                leader->context.timers,
                                cell_keys::jobPrefix,
                                jobWatchPause,
                                std::move(sink));
}

/// Counts the runs that had not ended when the job became final, unless that was so long ago that their leases have
/// expired. The time of day of the daemons differs by less than the margin in that time.
void holdUnendedRuns(cell_leader &leader, const job_progress &progress, const clock_reading &now)
{
    const time_point until = earlierLeasesEndBy(leader);
    const milliseconds longest = std::chrono::duration_cast<milliseconds>(until - leader.beganAt);
    if (progress.unended != resources() && now.utc.value - progress.ended.value < longest.count()) {
        holdUnended(leader.state, progress.organisation, progress.unended, until);
    }
}

void addStoredProgress(cell_leader &leader, const store_item &item, const clock_reading &now)
{
    const job_key key(item.key.substr(cell_keys::progressPrefix.size()));
    auto progress = decodeProgress(item.value);
    if (!progress) {
        log_event("stored_progress_malformed", log_level::Error)
            .with("key", item.key)
            .with("problem", progress.error().message);
    } else if (isFinal(progress.value().phase)) {
        leader.finished[key] = {progress.value().phase, progress.value().ended};
        holdUnendedRuns(leader, progress.value(), now);
    } else {
        leader.recoveredProgress[key] = {std::move(progress.value()), item.revision};
    }
}

void listProgress(const std::shared_ptr<cell_leader> &leader, const std::string &after);

void retryProgress(const std::shared_ptr<cell_leader> &leader, const std::string &after, const clock_reading &now)
{
    leader->commitTimer.fire = [weak = std::weak_ptr(leader), after](const clock_reading &) {
        if (const auto self = weak.lock(); self && !self->ended) {
            listProgress(self, after);
        }
    };
    subscribe(leader->context.timers, leader->commitTimer, now.monotonic + retryPause);
}

void handleProgressPage(const std::shared_ptr<cell_leader> &leader,
                        const std::string &after,
                        const result<store_page> &page,
                        const clock_reading &now)
{
    if (leader->ended) {
        return;
    }
    if (!page) {
        log_event("recovery_delayed", log_level::Warning).with("problem", page.error().message);
        retryProgress(leader, after, now);
        return;
    }
    for (const store_item &item : page.value().items) {
        addStoredProgress(*leader, item, now);
    }
    if (page.value().truncated && !page.value().items.empty()) {
        listProgress(leader, page.value().items.back().key);
    } else {
        followJobs(leader);
    }
}

void listProgress(const std::shared_ptr<cell_leader> &leader, const std::string &after)
{
    leader->context.store.list(
        cell_keys::progressPrefix,
        after,
        false,
        listLimit,
        timedOnControlThread(leader->context,
                             cell_metrics::listTime,
                             [leader, after](const result<store_page> &page, const clock_reading &now) {
                                 handleProgressPage(leader, after, page, now);
                             }));
}

} // namespace

void learnStoredJobs(cell_leader &leader, const accepted_jobs &message, const clock_reading &now)
{
    if (leader.ended || !leader.recovered) {
        return;
    }
    for (const stored_job_notice &notice : message.jobs) {
        auto accepted = decodeAcceptedJob(notice.key, notice.job);
        if (!accepted) {
            log_event("job_notice_malformed", log_level::Error)
                .with("job", notice.key)
                .with("problem", accepted.error().message);
            continue;
        }
        // A finished job is remembered for twice `keepFinished`. A notice that was delayed for longer could start it
        // again.
        const milliseconds age(now.utc.value - accepted.value().acceptedAt.value);
        if (age < maxNoticeAge) {
            addStoredJob(leader, std::move(accepted.value()), notice.revision, now);
        }
    }
}

void recoverCell(const std::shared_ptr<cell_leader> &leader)
{
    listProgress(leader, {});
}

} // namespace sesamespar
