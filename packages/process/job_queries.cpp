#include "process/job_queries.h"

#include "base/log.h"
#include "connection/cell_codec.h"
#include "connection/cell_keys.h"

#include <algorithm>
#include <memory>

namespace sesamespar {

namespace {

/// Limit of one call to the store; a lost call is repeated within the caller's patience.
constexpr milliseconds callLimit{600};
constexpr milliseconds retryAfter{500};

/// A caller's question under way.
struct job_query {
    job_query(cell_context &means, job_key asked, caller_done callback)
        : context(means)
        , key(std::move(asked))
        , done(std::move(callback))
    {
    }

    cell_context &context;
    job_key key;
    caller_done done;
    time_point answerBy; ///< In uptime.
    bool cancelling = false;
    bool mayBeDone = false; ///< A write got no answer.
    bool jobMissing = false; ///< The accepted job was not there at the last read.
};

using query_ptr = std::shared_ptr<job_query>;

query_ptr
makeQuery(cell_context &context, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now)
{
    auto query = std::make_shared<job_query>(context, key, std::move(done));
    query->answerBy = now.uptime + timeToAnswer(timeout);
    return query;
}

void finish(const job_query &query, const caller_answer &answer, const char *outcome)
{
    log_event("job_query").with("job", query.key).with("cancel", query.cancelling).with("outcome", outcome);
    query.done(answer);
}

void giveUp(const job_query &query, const error &fault)
{
    if (query.mayBeDone) {
        finish(query, outcome_unknown{fault.message}, "unknown");
    } else {
        finish(query, call_refused{fault.message, retryAfter}, "refused");
    }
}

using query_step = void (*)(const query_ptr &query);

/// Repeats a step after a fault while there is time.
void repeat(const query_ptr &query, const error &fault, query_step step, const clock_reading &now)
{
    if (now.uptime + callLimit / 2 >= query->answerBy || fault.kind == error_kind::Unreachable
        || fault.kind == error_kind::Overloaded) {
        giveUp(*query, fault);
    } else {
        step(query);
    }
}

/// Reads a key and hands the item on to the control thread.
void readKey(const query_ptr &query,
             const std::string &key,
             query_step again,
             void (*take)(const query_ptr &, const store_item &))
{
    query->context.store.read(
        key,
        callLimit,
        timedOnControlThread(query->context,
                             cell_metrics::readTime,
                             [query, again, take](const result<store_item> &item, const clock_reading &now) {
                                 if (item) {
                                     take(query, item.value());
                                 } else {
                                     repeat(query, item.error(), again, now);
                                 }
                             }));
}

void readProgress(const query_ptr &query);

void takeAccepted(const query_ptr &query, const store_item &item)
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
    readKey(query, cell_keys::job(query->key), readAccepted, takeAccepted);
}

void takeProgress(const query_ptr &query, const store_item &item)
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
    finish(*query, job_status{phase.value()}, "known");
}

void readProgress(const query_ptr &query)
{
    readKey(query, cell_keys::progress(query->key), readProgress, takeProgress);
}

void readForCancel(const query_ptr &query);

void takeCancelWritten(const query_ptr &query, const result<store_commit> &commit, const clock_reading &now)
{
    if (!commit) {
        query->mayBeDone = query->mayBeDone || commit.error().kind == error_kind::Unknown;
        repeat(query, commit.error(), readForCancel, now);
    } else if (commit.value().applied) {
        finish(*query, job_cancelled{}, "cancelled");
    } else {
        // The job became final in between.
        readForCancel(query);
    }
}

void takeForCancel(const query_ptr &query, const store_item &item)
{
    if (item.revision.value == 0) {
        // Final jobs cannot be cancelled any more, unknown ones never run.
        finish(*query, no_such_job{}, "no_such_job");
        return;
    }
    store_transaction transaction;
    transaction.conditions.push_back({item.key, item.revision});
    transaction.writes.push_back({cell_keys::cancel(query->key), "{}", {}});
    query->context.store.commit(
        transaction,
        callLimit,
        timedOnControlThread(query->context,
                             cell_metrics::cancelTime,
                             [query](const result<store_commit> &commit, const clock_reading &now) {
                                 takeCancelWritten(query, commit, now);
                             }));
}

void readForCancel(const query_ptr &query)
{
    readKey(query, cell_keys::job(query->key), readForCancel, takeForCancel);
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
    readForCancel(query);
}

} // namespace sesamespar
