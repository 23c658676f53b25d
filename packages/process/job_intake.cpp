#include "process/job_intake.h"

#include "base/log.h"
#include "connection/cell_codec.h"
#include "connection/cell_keys.h"
#include "request/outage_backoff.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Entries of one transaction that the platform allows. A job uses two conditions and one or two writes.
constexpr std::size_t maxEntries = 32;
constexpr unsigned maxOpenCommits = 4;
/// Time limit of a transaction. A call to the store takes 4 ms, or 60 times as long while the store is slow.
constexpr milliseconds commitLimit{600};
constexpr milliseconds retryPause{80};
/// Time after which a job that could not be stored is answered, so that the caller can try another daemon.
constexpr milliseconds storeTimeLimit{1200};
/// Time limit of a probe, which distinguishes a lost answer from a lost store, and the pause between two probes.
constexpr milliseconds probeLimit{500};
constexpr milliseconds probePause{200};
/// Retry-After of a job that was cancelled before it was accepted. Its key stays unusable for minutes.
constexpr milliseconds withdrawnRetryAfter{60000};

using job_batch = std::list<incoming_job>;

void answer(job_intake &intake,
            const incoming_job &job,
            const caller_answer &reply,
            const char *outcome,
            std::string_view counter,
            const clock_reading &now)
{
    const auto took = std::chrono::duration_cast<milliseconds>(now.uptime - job.arrivedAt);
    log_event("job_submitted")
        .with("job", job.job.key)
        .with("queue", job.job.policy.queue)
        .with("outcome", outcome)
        .with("may_be_stored", job.mayBeStored)
        .with("took_ms", took.count());
    addCount(*intake.context.counters, counter);
    recordTime(*intake.context.counters, cell_metrics::requestTime, now.uptime - job.arrivedAt);
    job.done(reply);
}

/// Answers a job that was not stored in time: refused if no transaction can store it any more, else unknown.
void answerUnstored(job_intake &intake, const incoming_job &job, const clock_reading &now)
{
    if (job.mayBeStored) {
        answer(intake, job, outcome_unknown{"the store did not answer"}, "unknown", cell_metrics::jobsUnknown, now);
    } else {
        const call_refused refusal{"the store cannot be reached",
                                   retryAfterOutage(intake, job.job.key, job.arrivedAt, now)};
        answer(intake, job, refusal, "refused", cell_metrics::jobsRefused, now);
    }
}

void probeStore(const std::shared_ptr<job_intake> &intake);

void onProbeReply(const std::shared_ptr<job_intake> &intake,
                  const result<store_item> &probeResult,
                  const clock_reading &now)
{
    intake->probing = false;
    const bool lost = !probeResult;
    if (lost != intake->storeLost) {
        intake->storeLost = lost;
        // The probe was sent at most its time limit ago.
        intake->lostSince = now.uptime - probeLimit;
        log_event(lost ? "intake_store_lost" : "intake_store_regained", log_level::Warning)
            .with("waiting", intake->waiting.size())
            .with("problem", lost ? probeResult.error().message : "");
    }
    if (!lost) {
        return;
    }
    intake->probeTimer.fire = [weak = std::weak_ptr(intake)](const clock_reading &) {
        if (const auto self = weak.lock()) {
            probeStore(self);
        }
    };
    subscribe(intake->context.timers, intake->probeTimer, now.monotonic + probePause);
}

void probeStore(const std::shared_ptr<job_intake> &intake)
{
    if (intake->probing) {
        return;
    }
    intake->probing = true;
    intake->context.store.read(cell_keys::term,
                               probeLimit,
                               timedOnControlThread(intake->context,
                                                    cell_metrics::readTime,
                                                    [intake](const result<store_item> &item, const clock_reading &now) {
                                                        onProbeReply(intake, item, now);
                                                    }));
}

/// True if the next transaction may contain the job. Before its first one a job waits for the result of a probe.
bool mayBeSent(const job_intake &intake, const incoming_job &job)
{
    return job.mayBeStored || !intake.probing;
}

/// What the store has under the keys of a job.
enum class stored_state {
    Absent,
    Stored, ///< The job was accepted; it may be final already.
    Withdrawn, ///< The job was cancelled before it was accepted.
};

stored_state stateOf(const std::vector<store_item> &current, const job_key &key)
{
    stored_state state = stored_state::Absent;
    for (const store_item &item : current) {
        if (item.revision.value == 0) {
            continue;
        }
        if (item.key == cell_keys::progress(key)) {
            const auto phase = decodePhase(item.value);
            const bool withdrawn = phase && phase.value() == job_phase::Withdrawn;
            return withdrawn ? stored_state::Withdrawn : stored_state::Stored;
        }
        if (item.key == cell_keys::job(key)) {
            state = stored_state::Stored;
        }
    }
    return state;
}

void requeueUnstored(job_intake &intake,
                     job_batch &batch,
                     const std::vector<store_item> &current,
                     const clock_reading &now)
{
    for (auto next = batch.begin(); next != batch.end();) {
        const auto job = next++;
        switch (stateOf(current, job->job.key)) {
        case stored_state::Stored:
            // Stored by an earlier request of the caller or an earlier transaction of this daemon.
            answer(intake, *job, job_accepted{}, "known", cell_metrics::jobsKnown, now);
            break;
        case stored_state::Withdrawn:
            answer(intake,
                   *job,
                   call_refused{"the job was cancelled before it was accepted", withdrawnRetryAfter},
                   "withdrawn",
                   cell_metrics::jobsRefused,
                   now);
            break;
        case stored_state::Absent:
            intake.waiting.splice(intake.waiting.end(), batch, job);
            break;
        }
    }
}

void announceStored(const job_intake &intake, const job_batch &batch, store_revision revision, const clock_reading &now)
{
    if (!intake.announce) {
        return;
    }
    accepted_jobs message;
    for (const incoming_job &job : batch) {
        message.jobs.push_back({job.job.key, revision, encodeAcceptedJob(job.job)});
    }
    intake.announce(message, now);
}

void onCommitReply(const std::shared_ptr<job_intake> &shared,
                   job_batch &batch,
                   const result<store_commit> &commit,
                   const clock_reading &now)
{
    job_intake &intake = *shared;
    --intake.openCommits;
    if (!commit) {
        probeStore(shared);
        addCount(*intake.context.counters, cell_metrics::intakeWritesFailed);
        for (incoming_job &job : batch) {
            job.mayBeStored = job.mayBeStored || mayHaveApplied(commit.error());
        }
        intake.commitAfter = now.uptime + retryPause;
        intake.waiting.splice(intake.waiting.end(), batch);
        return;
    }
    if (!commit.value().applied) {
        requeueUnstored(intake, batch, commit.value().current, now);
        return;
    }
    for (const incoming_job &job : batch) {
        answer(intake, job, job_accepted{}, "accepted", cell_metrics::jobsAccepted, now);
    }
    announceStored(intake, batch, commit.value().revision, now);
}

store_transaction makeTransaction(const job_batch &batch)
{
    store_transaction transaction;
    for (const incoming_job &job : batch) {
        transaction.conditions.push_back({cell_keys::job(job.job.key), store_revision(0)});
        transaction.conditions.push_back({cell_keys::progress(job.job.key), store_revision(0)});
        transaction.writes.push_back({cell_keys::job(job.job.key), encodeAcceptedJob(job.job), {}});
        if (job.job.payloadHolder) {
            transaction.writes.push_back({cell_keys::payload(job.job.key), job.payload, {}});
        }
    }
    return transaction;
}

/// Dequeues the jobs of the next transaction, which must not contain the same key twice.
job_batch dequeueBatch(job_intake &intake)
{
    job_batch batch;
    std::size_t entries = 0;
    for (auto next = intake.waiting.begin(); next != intake.waiting.end();) {
        const auto job = next++;
        if (!mayBeSent(intake, *job)) {
            continue;
        }
        entries += job->job.payloadHolder ? 4 : 3;
        if (entries > maxEntries) {
            break;
        }
        const bool duplicate = std::any_of(
            batch.begin(), batch.end(), [&job](const incoming_job &other) { return other.job.key == job->job.key; });
        if (!duplicate) {
            batch.splice(batch.end(), intake.waiting, job);
        }
    }
    return batch;
}

void sendBatch(const std::shared_ptr<job_intake> &intake)
{
    const auto batch = std::make_shared<job_batch>(dequeueBatch(*intake));
    ++intake->openCommits;
    intake->context.store.commit(
        makeTransaction(*batch),
        commitLimit,
        timedOnControlThread(intake->context,
                             cell_metrics::intakeTime,
                             [intake, batch](const result<store_commit> &commit, const clock_reading &now) {
                                 onCommitReply(intake, *batch, commit, now);
                             }));
}

void expire(job_intake &intake, const clock_reading &now)
{
    for (auto next = intake.waiting.begin(); next != intake.waiting.end();) {
        const auto job = next++;
        const bool stuck = now.uptime >= job->arrivedAt + storeTimeLimit;
        const bool refusable = intake.storeLost && !job->mayBeStored;
        if (stuck || refusable || now.uptime >= job->answerBy) {
            answerUnstored(intake, *job, now);
            intake.waiting.erase(job);
        }
    }
}

} // namespace

void enqueueJob(job_intake &intake, accepted_job job, milliseconds timeout, caller_done done, const clock_reading &now)
{
    incoming_job incoming{std::move(job), std::move(done), now.uptime, now.uptime + timeToAnswer(timeout)};
    if (intake.takePayload && intake.takePayload(incoming.job, now)) {
        incoming.job.payloadHolder = intake.context.settings.name;
        incoming.payload = std::move(incoming.job.job.payload);
        incoming.job.job.payload.clear();
    }
    intake.waiting.push_back(std::move(incoming));
}

milliseconds
retryAfterOutage(const job_intake &intake, const job_key &key, time_point failingSince, const clock_reading &now)
{
    const time_point since = intake.storeLost ? std::min(intake.lostSince, failingSince) : failingSince;
    return outageRetryAfter(std::chrono::duration_cast<milliseconds>(now.uptime - since), key);
}

void suspectStore(const std::shared_ptr<job_intake> &intake)
{
    if (!intake->storeLost) {
        probeStore(intake);
    }
}

void settleIntake(const std::shared_ptr<job_intake> &intake, const clock_reading &now)
{
    expire(*intake, now);
    const auto anyToSend = [&intake] {
        return std::any_of(intake->waiting.begin(), intake->waiting.end(), [&intake](const incoming_job &job) {
            return mayBeSent(*intake, job);
        });
    };
    while (intake->openCommits < maxOpenCommits && now.uptime >= intake->commitAfter && anyToSend()) {
        sendBatch(intake);
    }
    if (!intake->waiting.empty() && !intake->retryTimer.is_linked()) {
        // The timer only wakes the control thread, which settles the intake again.
        intake->retryTimer.fire = [](const clock_reading &) {
        };
        subscribe(intake->context.timers, intake->retryTimer, now.monotonic + retryPause);
    }
}

} // namespace sesamespar
