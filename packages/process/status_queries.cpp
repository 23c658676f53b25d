#include "process/status_queries.h"

#include "base/log.h"

namespace sesamespar {

namespace {

/// Time limit for the leader's reply, which takes 3 ms between data centres, and longer while the leader is busy.
constexpr milliseconds replyLimit{150};
/// Time for which no query is sent to the leader after it did not reply in time.
constexpr milliseconds leaderRetryPause{2000};

void readFromStore(const status_queries &queries, const open_status_query &query, const clock_reading &now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(query.answerBy - now.uptime);
    queries.reader(query.key, left, query.done, now);
}

void scheduleExpiry(const std::shared_ptr<status_queries> &queries, const clock_reading &now);

void expire(const std::shared_ptr<status_queries> &queries, const clock_reading &now)
{
    while (!queries->open.empty() && queries->open.begin()->second.dueAt <= now.uptime) {
        const open_status_query query = std::move(queries->open.begin()->second);
        queries->open.erase(queries->open.begin());
        addCount(*queries->context.counters, cell_metrics::statusOverdue);
        queries->avoidLeaderUntil = now.uptime + leaderRetryPause;
        readFromStore(*queries, query, now);
    }
    scheduleExpiry(queries, now);
}

void scheduleExpiry(const std::shared_ptr<status_queries> &queries, const clock_reading &now)
{
    if (queries->open.empty() || queries->expiry.is_linked()) {
        return;
    }
    queries->expiry.fire = [weak = std::weak_ptr(queries)](const clock_reading &when) {
        if (const auto self = weak.lock()) {
            expire(self, when);
        }
    };
    subscribe(queries->context.timers, queries->expiry, now.monotonic + replyLimit);
}

} // namespace

void queryStatus(const std::shared_ptr<status_queries> &queries,
                 const address &leader,
                 const job_key &key,
                 milliseconds timeout,
                 caller_done done,
                 const clock_reading &now)
{
    open_status_query query{key, std::move(done), now.uptime + timeout, now.uptime + replyLimit};
    if (now.uptime < queries->avoidLeaderUntil) {
        readFromStore(*queries, query, now);
        return;
    }
    const correlation_id correlation = newCorrelation(queries->context);
    queries->open.emplace(correlation, std::move(query));
    addCount(*queries->context.counters, cell_metrics::statusQuestions);
    queries->context.sendToPeer(leader, status_query{correlation, queries->context.settings.peerAddress, key});
    scheduleExpiry(queries, now);
}

void handleStatusReply(status_queries &queries, const status_reply &reply, const clock_reading &now)
{
    const auto found = queries.open.find(reply.correlation);
    if (found == queries.open.end()) {
        return;
    }
    const open_status_query query = std::move(found->second);
    queries.open.erase(found);
    if (!reply.phase) {
        readFromStore(queries, query, now);
        return;
    }
    log_event("job_query").with("job", query.key).with("source", "leader").with("state", phaseName(*reply.phase));
    query.done(job_status{*reply.phase});
}

} // namespace sesamespar
