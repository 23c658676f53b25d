#include "process/status_desk.h"

#include "base/log.h"

namespace sesamespar {

namespace {

/// Time for the leader's answer. It takes 3 ms between data centres, and longer while the leader is busy.
constexpr milliseconds leaderLimit{150};
/// Time for which a leader that left a question unanswered is not asked.
constexpr milliseconds leaderPause{2000};

void readInstead(const status_desk &desk, const open_status &question, const clock_reading &now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(question.answerBy - now.uptime);
    desk.reader(question.key, left, question.done, now);
}

void scheduleExpiry(const std::shared_ptr<status_desk> &desk, const clock_reading &now);

void expire(const std::shared_ptr<status_desk> &desk, const clock_reading &now)
{
    while (!desk->open.empty() && desk->open.begin()->second.dueAt <= now.uptime) {
        const open_status question = std::move(desk->open.begin()->second);
        desk->open.erase(desk->open.begin());
        addCount(*desk->context.counters, cell_metrics::statusOverdue);
        desk->avoidLeaderUntil = now.uptime + leaderPause;
        readInstead(*desk, question, now);
    }
    scheduleExpiry(desk, now);
}

void scheduleExpiry(const std::shared_ptr<status_desk> &desk, const clock_reading &now)
{
    if (desk->open.empty() || desk->expiry.is_linked()) {
        return;
    }
    desk->expiry.fire = [weak = std::weak_ptr(desk)](const clock_reading &when) {
        if (const auto self = weak.lock()) {
            expire(self, when);
        }
    };
    subscribe(desk->context.timers, desk->expiry, now.monotonic + leaderLimit);
}

} // namespace

void askStatus(const std::shared_ptr<status_desk> &desk,
               const address &leader,
               const job_key &key,
               milliseconds patience,
               caller_done done,
               const clock_reading &now)
{
    open_status question{key, std::move(done), now.uptime + patience, now.uptime + leaderLimit};
    if (now.uptime < desk->avoidLeaderUntil) {
        readInstead(*desk, question, now);
        return;
    }
    const correlation_id correlation(++desk->lastQuestion);
    desk->open.emplace(correlation, std::move(question));
    addCount(*desk->context.counters, cell_metrics::statusQuestions);
    desk->context.sendToPeer(leader, status_question{correlation, desk->context.settings.peerAddress, key});
    scheduleExpiry(desk, now);
}

void takeStatusAnswer(status_desk &desk, const status_answer &answer, const clock_reading &now)
{
    const auto found = desk.open.find(answer.correlation);
    if (found == desk.open.end()) {
        return;
    }
    const open_status question = std::move(found->second);
    desk.open.erase(found);
    if (!answer.phase) {
        readInstead(desk, question, now);
        return;
    }
    log_event("job_query").with("job", question.key).with("source", "leader").with("state", phaseName(*answer.phase));
    question.done(job_status{*answer.phase});
}

} // namespace sesamespar
