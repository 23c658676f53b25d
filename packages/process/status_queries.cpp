#include "process/status_queries.h"

#include "base/log.h"

namespace sesamespar {

namespace {

/// Time for the leader's answer. It takes 3 ms between data centres, and longer while the leader is busy.
constexpr milliseconds leaderLimit{150};
/// Time for which a leader that left a question unanswered is not asked.
constexpr milliseconds leaderPause{2000};

void readInstead(const status_queries &queries, const open_status &question, const clock_reading &now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(question.answerBy - now.uptime);
    queries.reader(question.key, left, question.done, now);
}

void scheduleExpiry(const std::shared_ptr<status_queries> &queries, const clock_reading &now);

void expire(const std::shared_ptr<status_queries> &queries, const clock_reading &now)
{
    while (!queries->open.empty() && queries->open.begin()->second.dueAt <= now.uptime) {
        const open_status question = std::move(queries->open.begin()->second);
        queries->open.erase(queries->open.begin());
        addCount(*queries->context.counters, cell_metrics::statusOverdue);
        queries->avoidLeaderUntil = now.uptime + leaderPause;
        readInstead(*queries, question, now);
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
    subscribe(queries->context.timers, queries->expiry, now.monotonic + leaderLimit);
}

} // namespace

void askStatus(const std::shared_ptr<status_queries> &queries,
               const address &leader,
               const job_key &key,
               milliseconds timeout,
               caller_done done,
               const clock_reading &now)
{
    open_status question{key, std::move(done), now.uptime + timeout, now.uptime + leaderLimit};
    if (now.uptime < queries->avoidLeaderUntil) {
        readInstead(*queries, question, now);
        return;
    }
    const correlation_id correlation = newCorrelation(queries->context);
    queries->open.emplace(correlation, std::move(question));
    addCount(*queries->context.counters, cell_metrics::statusQuestions);
    queries->context.sendToPeer(leader, status_question{correlation, queries->context.settings.peerAddress, key});
    scheduleExpiry(queries, now);
}

void takeStatusAnswer(status_queries &queries, const status_answer &answer, const clock_reading &now)
{
    const auto found = queries.open.find(answer.correlation);
    if (found == queries.open.end()) {
        return;
    }
    const open_status question = std::move(found->second);
    queries.open.erase(found);
    if (!answer.phase) {
        readInstead(queries, question, now);
        return;
    }
    log_event("job_query").with("job", question.key).with("source", "leader").with("state", phaseName(*answer.phase));
    question.done(job_status{*answer.phase});
}

} // namespace sesamespar
