#include "term/advice_dispatch.h"

#include "base/log.h"
#include "term/job_placement.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Time beyond that of the advisor after which an answer is overdue: two hops between daemons and one to the advisor.
constexpr milliseconds answerGrace{500};
/// Time for which a daemon that did not answer gets no questions.
constexpr milliseconds proxyPause{3000};
constexpr milliseconds askAgainPause{100};
/// A daemon whose questions need less than this gets the next one, so that the advisor need not wait for it.
constexpr double shortBacklogMs = 15;
/// Share of the daemons that may have a long question under way, in tenths; the others stay free for short ones.
constexpr std::size_t longShareTenths = 6;
constexpr std::size_t tenths = 10;

double costOf(const cell_leader &leader, const advice_question &question)
{
    const auto job = leader.state.jobs.find(question.step.job);
    if (job == leader.state.jobs.end() || !job->second->accepted.policy.advice) {
        return 0;
    }
    return adviceTime(*job->second->accepted.policy.advice, question.workers.size()).count();
}

/// The usable daemon with the least backlog.
std::map<daemon_id, advice_proxy>::iterator chooseProxy(cell_leader &leader, time_point uptime)
{
    auto best = leader.proxies.end();
    for (auto next = leader.proxies.begin(); next != leader.proxies.end(); ++next) {
        if (uptime < next->second.avoidedUntil) {
            continue;
        }
        if (best == leader.proxies.end() || next->second.backlogMs < best->second.backlogMs) {
            best = next;
        }
    }
    return best;
}

void closeQuestion(cell_leader &leader, std::map<correlation_id, open_question>::iterator entry)
{
    const auto proxy = leader.proxies.find(entry->second.proxy);
    if (proxy != leader.proxies.end()) {
        proxy->second.backlogMs = std::max(0.0, proxy->second.backlogMs - entry->second.costMs);
    }
    leader.questions.erase(entry);
}

} // namespace

advice_capacity adviceCapacity(const cell_leader &leader, const clock_reading &now)
{
    advice_capacity capacity;
    std::size_t usable = 0;
    for (const auto &[name, proxy] : leader.proxies) {
        if (now.uptime >= proxy.avoidedUntil) {
            ++usable;
            capacity.free += proxy.backlogMs < shortBacklogMs ? 1 : 0;
        }
    }
    const auto longOpen =
        static_cast<std::size_t>(std::count_if(leader.questions.begin(), leader.questions.end(), [](const auto &entry) {
            return entry.second.costMs > longAdvice.count();
        }));
    const std::size_t longLimit = std::max<std::size_t>(1, usable * longShareTenths / tenths);
    capacity.freeForLong = std::min(capacity.free, longLimit - std::min(longLimit, longOpen));
    return capacity;
}

void askAdvice(const std::shared_ptr<cell_leader> &leader, advice_question question, const clock_reading &now)
{
    const auto proxy = chooseProxy(*leader, now.uptime);
    if (proxy == leader->proxies.end()) {
        adviceFailed(leader->state, question, now.uptime + askAgainPause);
        return;
    }
    const correlation_id correlation = newCorrelation(leader->context);
    open_question open{question, proxy->first, costOf(*leader, question), now.uptime, {}};
    proxy->second.backlogMs += open.costMs;
    const milliseconds limit = milliseconds(static_cast<std::int64_t>(proxy->second.backlogMs)) + answerGrace;
    open.dueAt = now.uptime + limit;
    leader->questions.emplace(correlation, std::move(open));
    addCount(*leader->context.counters, cell_metrics::adviceQuestions);
    if (!proxy->second.at.value.empty()) {
        leader->context.sendToPeer(
            proxy->second.at,
            advice_request{correlation, leader->context.settings.peerAddress, limit, std::move(question)});
        return;
    }
    leader->context.advice.ask(
        question,
        limit,
        onControlThread(leader->context.box,
                        [leader, correlation](const result<advice_answer> &answer, const clock_reading &when) {
                            takeAdviceResponse(*leader, correlation, answer, when);
                        }));
}

void takeAdviceResponse(cell_leader &leader,
                        correlation_id correlation,
                        const result<advice_answer> &answer,
                        const clock_reading &now)
{
    const auto entry = leader.questions.find(correlation);
    if (leader.ended || entry == leader.questions.end()) {
        return;
    }
    const open_question open = entry->second;
    closeQuestion(leader, entry);
    leader.placementDue = true;
    recordTime(*leader.context.counters, cell_metrics::adviceTime, now.uptime - open.sentAt);
    if (!answer) {
        addCount(*leader.context.counters, cell_metrics::adviceFailed);
        log_event("advice_failed", log_level::Warning)
            .with("job", open.question.step.job)
            .with("step", open.question.step.step)
            .with("proxy", open.proxy)
            .with("problem", answer.error().message);
        adviceFailed(leader.state, open.question, now.uptime + askAgainPause);
        return;
    }
    // The ticket's life begins when the advisor gives it out, which is after it was asked and has decided.
    const auto decided = milliseconds(static_cast<std::int64_t>(open.costMs));
    const time_point givenAt = std::min(now.uptime, std::max(open.sentAt + decided, now.uptime - answerGrace));
    takeAdvice(leader.state, open.question, answer.value(), givenAt);
    log_event("advice")
        .with("job", open.question.step.job)
        .with("step", open.question.step.step)
        .with("proxy", open.proxy)
        .with("asked", open.question.workers.size())
        .with("good", answer.value().good.size())
        .with("took_ms", std::chrono::duration_cast<milliseconds>(now.uptime - open.sentAt).count());
}

void expireQuestions(cell_leader &leader, const clock_reading &now)
{
    for (auto next = leader.questions.begin(); next != leader.questions.end();) {
        const auto entry = next++;
        if (now.uptime <= entry->second.dueAt) {
            continue;
        }
        const open_question open = entry->second;
        const auto proxy = leader.proxies.find(open.proxy);
        if (proxy != leader.proxies.end() && !proxy->second.at.value.empty()) {
            proxy->second.avoidedUntil = now.uptime + proxyPause;
        }
        addCount(*leader.context.counters, cell_metrics::adviceOverdue);
        log_event("advice_overdue", log_level::Warning)
            .with("job", open.question.step.job)
            .with("step", open.question.step.step)
            .with("proxy", open.proxy);
        closeQuestion(leader, entry);
        adviceFailed(leader.state, open.question, now.uptime);
        leader.placementDue = true;
    }
}

} // namespace sesamespar
