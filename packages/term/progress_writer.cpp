#include "term/progress_writer.h"

#include "base/log.h"
#include "connection/cell_codec.h"
#include "connection/cell_keys.h"
#include "term/run_lifecycle.h"
#include "term/worker_sessions.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Time for which changes are collected before they are written. It adds half of its length to the mean wait of a task;
/// urgent jobs have 250 ms beyond their work. A busy leader makes about 30 calls a second, compared to 60 with 12 ms.
constexpr milliseconds collectTime{30};
/// Number of changed jobs that fill two transactions at least, from which on there is no point in collecting more.
constexpr std::size_t backlogJobs = 32;
constexpr milliseconds backlogPause{1};
/// Maximum number of concurrent transactions. With several, a lost reply delays only the jobs of its transaction. While
/// the store takes 240 ms, 4 transactions write 104 ended jobs a second; a cell of 350 workers ends 150 and places as
/// many.
constexpr unsigned maxOpenCommits = 16;
/// Limit of the platform on the number of conditions, writes and removals in one transaction.
constexpr std::size_t maxEntries = 32;
/// Number of these that placements may use. The others are left to ends, which would wait for ever if placements filled
/// every transaction.
constexpr std::size_t maxPlacementEntries = 24;
/// Time limit of one transaction. It is short because a conditional transaction can be repeated safely: the store takes
/// 4 ms, or 60 times as long while it is slow.
constexpr milliseconds commitLimit{600};
constexpr milliseconds commitRetryPause{60};

/// Part of a transaction that belongs to one job.
struct written_job {
    cell_job_ptr job;
    std::uint64_t change = 0;
    bool removed = false; ///< The transaction removes the accepted job because the job is final.
};

using written_jobs = std::vector<written_job>;

std::size_t entriesOf(const cell_job &job)
{
    const std::size_t removals = isFinal(job.progress.phase) && job.jobRevision.value != 0 ? 3 : 0;
    return 2 + removals;
}

void addToTransaction(store_transaction &transaction, written_jobs &written, const cell_job_ptr &job)
{
    const job_key &key = job->accepted.key;
    transaction.conditions.push_back({cell_keys::progress(key), job->progressRevision});
    transaction.writes.push_back({cell_keys::progress(key), encodeProgress(job->progress), {}});
    const bool removed = isFinal(job->progress.phase) && job->jobRevision.value != 0;
    if (removed) {
        transaction.removals.push_back(cell_keys::job(key));
        if (job->accepted.payloadHolder) {
            transaction.removals.push_back(cell_keys::payload(key));
        }
        if (job->cancelled) {
            transaction.removals.push_back(cell_keys::cancel(key));
        }
    }
    written.push_back({job, job->changes, removed});
    job->writing = true;
}

/// Moves jobs with runs that wait to be recorded to the front. A start waits for its record, and its ticket expires
/// meanwhile; the record of an end delays what callers see of the job.
void orderByUrgency(std::vector<cell_job_ptr> &changed)
{
    std::stable_partition(changed.begin(), changed.end(), [](const cell_job_ptr &job) { return job->awaitsRecord; });
}

/// Moves changed jobs that are not being written into the transaction, up to its maximum size.
written_jobs collectChanged(cell_leader &leader, store_transaction &transaction)
{
    transaction.conditions.push_back({cell_keys::term, store_revision(leader.fence.value)});
    written_jobs written;
    std::vector<cell_job_ptr> left;
    std::size_t entries = 1;
    for (cell_job_ptr &job : leader.state.changed) {
        const std::size_t needed = entriesOf(*job);
        const std::size_t limit = job->awaitsRecord ? maxPlacementEntries : maxEntries;
        if (job->writing || entries + needed > limit) {
            left.push_back(std::move(job));
            continue;
        }
        entries += needed;
        job->queuedForWrite = false;
        addToTransaction(transaction, written, job);
    }
    leader.state.changed = std::move(left);
    return written;
}

void requeue(cell_leader &leader, const written_jobs &written)
{
    for (const written_job &entry : written) {
        entry.job->writing = false;
        if (!entry.job->queuedForWrite) {
            entry.job->queuedForWrite = true;
            leader.state.changed.push_back(entry.job);
        }
    }
}

void startRecordedRuns(const std::shared_ptr<cell_leader> &leader, cell_job &job, const clock_reading &now)
{
    // A start may fail immediately and change the runs of the job, so they are collected first.
    std::vector<placed_run *> recorded;
    for (placed_run *run : job.runs) {
        if (run != nullptr && run->state == run_state::Recording && run->recordedIn <= job.storedChanges) {
            recorded.push_back(run);
        }
    }
    job.awaitsRecord = std::any_of(job.runs.begin(), job.runs.end(), [&job](const placed_run *run) {
        return run != nullptr && run->state == run_state::Recording && run->recordedIn > job.storedChanges;
    });
    for (placed_run *run : recorded) {
        if (run->state == run_state::Recording) {
            sendStart(leader, *run, now);
        }
    }
}

void handleApplied(const std::shared_ptr<cell_leader> &leader,
                   const written_jobs &written,
                   store_revision revision,
                   const clock_reading &now)
{
    for (const written_job &entry : written) {
        cell_job &job = *entry.job;
        job.writing = false;
        job.progressRevision = revision;
        job.storedChanges = entry.change;
        if (entry.removed) {
            job.jobRevision = store_revision(0);
            leader->finished[job.accepted.key] = {job.progress.phase, job.progress.ended};
        }
        startRecordedRuns(leader, job, now);
        removeIfFinished(leader->state, job);
    }
    // A transaction is applied a hundred times a second, so workers without unstored ends are not looked up.
    for (const auto &[id, ends] : leader->state.ends) {
        const auto worker = ends.empty() ? leader->state.workers.end() : leader->state.workers.find(id);
        if (worker != leader->state.workers.end()) {
            advanceSeenEnds(leader->state, *worker->second);
        }
    }
}

/// Handles a transaction that was not applied; `current` holds the state of its conditional keys. A changed term key
/// ends this term. A changed progress can only come from an earlier transaction of this term whose reply was lost.
void handleRefused(cell_leader &leader, const written_jobs &written, const std::vector<store_item> &current)
{
    for (const store_item &item : current) {
        if (item.key == cell_keys::term && item.revision.value != leader.fence.value) {
            leader.stepDown("another daemon has begun a term");
            return;
        }
        for (const written_job &entry : written) {
            if (item.key == cell_keys::progress(entry.job->accepted.key)) {
                entry.job->progressRevision = item.revision;
            }
        }
    }
    requeue(leader, written);
}

void handleCommit(const std::shared_ptr<cell_leader> &leader,
                  const written_jobs &written,
                  time_point sentAt,
                  const result<store_commit> &commit,
                  const clock_reading &now)
{
    if (leader->ended) {
        return;
    }
    --leader->openCommits;
    if (!commit) {
        addCount(*leader->context.counters, cell_metrics::progressWritesFailed);
        log_event("progress_write_failed", log_level::Warning)
            .with("jobs", written.size())
            .with("problem", commit.error().message);
        leader->commitAfter = now.uptime + commitRetryPause;
        requeue(*leader, written);
        return;
    }
    if (!commit.value().applied) {
        handleRefused(*leader, written, commit.value().current);
        return;
    }
    addCount(*leader->context.counters, cell_metrics::progressWrites);
    leader->termConfirmedAt = std::max(leader->termConfirmedAt, sentAt);
    handleApplied(leader, written, commit.value().revision, now);
}

bool hasWritable(const cell_leader &leader)
{
    return std::any_of(leader.state.changed.begin(), leader.state.changed.end(), [](const cell_job_ptr &job) {
        return !job->writing;
    });
}

void commitChanges(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    orderByUrgency(leader->state.changed);
    while (leader->openCommits < maxOpenCommits && now.uptime >= leader->commitAfter && hasWritable(*leader)) {
        store_transaction transaction;
        const auto written = std::make_shared<const written_jobs>(collectChanged(*leader, transaction));
        ++leader->openCommits;
        leader->context.store.commit(
            transaction,
            commitLimit,
            timedOnControlThread(
                leader->context,
                cell_metrics::progressTime,
                [leader, written, sentAt = now.uptime](const result<store_commit> &commit, const clock_reading &when) {
                    handleCommit(leader, *written, sentAt, commit, when);
                }));
    }
}

} // namespace

void writeChanges(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    if (leader->commitScheduled || leader->ended || leader->openCommits >= maxOpenCommits || !hasWritable(*leader)) {
        return;
    }
    leader->commitScheduled = true;
    leader->commitTimer.fire = [weak = std::weak_ptr(leader)](const clock_reading &when) {
        if (const auto self = weak.lock()) {
            self->commitScheduled = false;
            commitChanges(self, when);
        }
    };
    const milliseconds collecting = leader->state.changed.size() >= backlogJobs ? backlogPause : collectTime;
    const auto pause = std::max<time_point::duration>(collecting, leader->commitAfter - now.uptime);
    subscribe(leader->context.timers, leader->commitTimer, now.monotonic + pause);
}

} // namespace sesamespar
