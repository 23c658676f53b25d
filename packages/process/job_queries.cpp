#include "process/job_queries.h"

#include "base/log.h"
#include "connection/cell_codec.h"
#include "connection/cell_keys.h"
#include "request/outage_backoff.h"

#include <algorithm>
#include <memory>

namespace sesamespar {

namespace {

/// Time limit of one call to the store. A lost call is repeated while the caller's time limit allows it.
constexpr milliseconds callLimit{600};
/// Retry-After of a query that an overloaded store refused.
constexpr milliseconds overloadRetryAfter{500};

/// A status query or a cancellation of a caller in progress.
struct job_query {
    job_query(cell_context &cellContext, job_key queriedKey, caller_done callback)
        : context(cellContext)
        , key(std::move(queriedKey))
        , done(std::move(callback))
    {
    }

    cell_context &context;
    job_key key;
    caller_done done;
    time_point arrivedAt; ///< In uptime.
    utc_time arrivedUtc;
    time_point answerBy; ///< In uptime.
    bool cancelling = false;
    bool mayBeCancelled = false; ///< The outcome of a write of the cancellation is unknown.
    bool jobMissing = false; ///< The last read found no accepted job.
};

using query_ptr = std::shared_ptr<job_query>;

query_ptr
makeQuery(cell_context &context, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now)
{
    auto query = std::make_shared<job_query>(context, key, std::move(done));
    query->arrivedAt = now.uptime;
    query->arrivedUtc = now.utc;
    query->answerBy = now.uptime + timeToAnswer(timeout);
    return query;
}

void finish(const job_query &query, const caller_answer &answer, const char *outcome)
{
    log_event("job_query").with("job", query.key).with("cancel", query.cancelling).with("outcome", outcome);
    query.done(answer);
}

void answerFailed(const job_query &query, const error &fault, const clock_reading &now)
{
    if (query.mayBeCancelled) {
        finish(query, outcome_unknown{fault.message}, "unknown");
        return;
    }
    const auto failingFor = std::chrono::duration_cast<milliseconds>(now.uptime - query.arrivedAt);
    const milliseconds retryAfter =
        fault.kind == error_kind::Overloaded ? overloadRetryAfter : outageRetryAfter(failingFor, query.key);
    finish(query, call_refused{fault.message, retryAfter}, "refused");
}

using query_step = void (*)(const query_ptr &query);

/// Repeats a step after a failed call if enough time is left. An unreachable or overloaded store is not called again.
void retryOrAnswer(const query_ptr &query, const error &fault, query_step step, const clock_reading &now)
{
    if (now.uptime + callLimit / 2 >= query->answerBy || fault.kind == error_kind::Unreachable
        || fault.kind == error_kind::Overloaded) {
        answerFailed(*query, fault, now);
    } else {
        step(query);
    }
}

/// Reads a key and passes the item to `onItem` on the control thread, or retries with `retryStep` after a failure.
void readKey(const query_ptr &query,
             const std::string &key,
             query_step retryStep,
             void (*onItem)(const query_ptr &, const store_item &))
{
    query->context.store.read(
        key,
        callLimit,
        timedOnControlThread(query->context,
                             cell_metrics::readTime,
                             [query, retryStep, onItem](const result<store_item> &item, const clock_reading &now) {
                                 if (item) {
                                     onItem(query, item.value());
                                 } else {
                                     retryOrAnswer(query, item.error(), retryStep, now);
                                 }
                             }));
}

void readProgress(const query_ptr &query);

void onAcceptedRead(const query_ptr &query, const store_item &item)
{
    if (item.revision.value != 0) {
        finish(*query, job_status{job_phase::Queued}, "queued");
        return;
    }
    if (query->jobMissing) {
        finish(*query, no_such_job{}, "no_such_job");
        return;
    }
    // The job may have become final between the two reads.
    query->jobMissing = true;
    readProgress(query);
}

void readAccepted(const query_ptr &query)
{
    readKey(query, cell_keys::job(query->key), readAccepted, onAcceptedRead);
}

void onProgressRead(const query_ptr &query, const store_item &item)
{
    if (item.revision.value == 0) {
        readAccepted(query);
        return;
    }
    const auto phase = decodePhase(item.value);
    if (!phase) {
        finish(*query, outcome_unknown{phase.error().message}, "malformed");
        return;
    }
    if (phase.value() == job_phase::Withdrawn) {
        finish(*query, no_such_job{}, "withdrawn");
        return;
    }
    finish(*query, job_status{phase.value()}, "known");
}

void readProgress(const query_ptr &query)
{
    readKey(query, cell_keys::progress(query->key), readProgress, onProgressRead);
}

void readBeforeCancel(const query_ptr &query);

/// Commits a transaction of a cancel and passes the reply to `onReply` on the control thread, or reads the job again
/// after a failure.
void commitCancel(const query_ptr &query,
                  const store_transaction &transaction,
                  void (*onReply)(const query_ptr &, const store_commit &))
{
    query->context.store.commit(
        transaction,
        callLimit,
        timedOnControlThread(query->context,
                             cell_metrics::cancelTime,
                             [query, onReply](const result<store_commit> &commit, const clock_reading &now) {
                                 if (commit) {
                                     onReply(query, commit.value());
                                     return;
                                 }
                                 query->mayBeCancelled = query->mayBeCancelled || mayHaveApplied(commit.error());
                                 retryOrAnswer(query, commit.error(), readBeforeCancel, now);
                             }));
}

void onCancelReply(const query_ptr &query, const store_commit &commit)
{
    if (commit.applied) {
        finish(*query, job_cancelled{}, "cancelled");
    } else {
        // The job's key has changed since the read; the job may have become final.
        readBeforeCancel(query);
    }
}

void onWithdrawReply(const query_ptr &query, const store_commit &commit)
{
    if (commit.applied) {
        finish(*query, no_such_job{}, "withdrawn");
        return;
    }
    const bool stored = std::any_of(commit.current.begin(), commit.current.end(), [&](const store_item &item) {
        return item.key == cell_keys::job(query->key) && item.revision.value != 0;
    });
    if (stored) {
        readBeforeCancel(query);
    } else {
        // Withdrawn earlier, or final: such jobs can no longer be cancelled.
        finish(*query, no_such_job{}, "no_such_job");
    }
}

/// Keeps a job that is not stored from being stored later: a write of an earlier submission that got no reply may still
/// be carried out. The stored cancellation lets the leader know of the record, which it removes like that of a final
/// job.
void withdrawJob(const query_ptr &query)
{
    job_progress withdrawn;
    withdrawn.phase = job_phase::Withdrawn;
    withdrawn.ended = query->arrivedUtc;
    store_transaction transaction;
    transaction.conditions.push_back({cell_keys::job(query->key), store_revision(0)});
    transaction.conditions.push_back({cell_keys::progress(query->key), store_revision(0)});
    transaction.writes.push_back({cell_keys::progress(query->key), encodeProgress(withdrawn), {}});
    transaction.writes.push_back({cell_keys::cancel(query->key), "{}", {}});
    commitCancel(query, transaction, onWithdrawReply);
}

void onCancelRead(const query_ptr &query, const store_item &item)
{
    if (item.revision.value == 0) {
        withdrawJob(query);
        return;
    }
    store_transaction transaction;
    transaction.conditions.push_back({item.key, item.revision});
    transaction.writes.push_back({cell_keys::cancel(query->key), "{}", {}});
    commitCancel(query, transaction, onCancelReply);
}

void readBeforeCancel(const query_ptr &query)
{
    readKey(query, cell_keys::job(query->key), readBeforeCancel, onCancelRead);
}

} // namespace

void queryJob(
    cell_context &context, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now)
{
    readProgress(makeQuery(context, key, timeout, std::move(done), now));
}

void requestCancel(
    cell_context &context, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now)
{
    const query_ptr query = makeQuery(context, key, timeout, std::move(done), now);
    query->cancelling = true;
    readBeforeCancel(query);
}

} // namespace sesamespar
