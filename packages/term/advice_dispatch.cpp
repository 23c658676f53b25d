#include "term/advice_dispatch.h"

#include "base/log.h"
#include "term/advice_selection.h"
#include "term/job_placement.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Allowance beyond the expected time of the advisor before a response is overdue: two hops between daemons and one to
/// the advisor.
constexpr milliseconds responseGrace{500};
/// Time for which a daemon that did not respond gets no requests, unless it responds late.
constexpr milliseconds proxyPause{3000};
/// Duration of a failed call to the advisor above which it counts as no response: another way may be faster.
constexpr milliseconds slowFailure{250};
/// Number of times that a request is sent. Each time the number of proxies doubles, so that the time until one responds
/// grows with the logarithm of the number of daemons that do not.
constexpr unsigned maxRounds = 6;
/// Number of times that the leader calls the advisor itself for one request. The second call helps if the connection of
/// the first passes nothing; further ones would wait behind it.
constexpr std::ptrdiff_t maxOwnCalls = 2;
/// Time after its due time for which a late response is expected.
constexpr milliseconds lateLimit{5000};
/// Time for which a daemon whose call to the advisor failed gets no requests. It has no backlog left, so that it would
/// get the next request each time. Short, because the call may have failed for reasons of the advisor.
constexpr milliseconds failurePause{200};
/// Pause before the next request for a step after a failed one.
constexpr milliseconds adviceRetryPause{100};
/// A daemon with a smaller backlog than this gets the next request, so that the advisor is not idle in between.
constexpr double shortBacklogMs = 15;

/// Adds what is known of the advisor's time for a request to its entry.
void estimateTime(const cell_leader &leader, open_advice_request &open)
{
    const auto job = leader.state.jobs.find(open.request.step.job);
    if (job != leader.state.jobs.end() && job->second->accepted.policy.advice) {
        const advice_timing &timing = *job->second->accepted.policy.advice;
        open.costMs = adviceTime(timing, open.request.workers.size()).count();
        open.isLong = takesLong(timing);
    }
}

bool isUsable(const advice_proxy &proxy, time_point uptime)
{
    return proxy.reachable && uptime >= proxy.avoidedUntil;
}

/// Backlog by which daemons are compared. The leader gets a request only while all others have one in progress, because
/// it makes the calls to all workers as well.
double comparedBacklog(const advice_proxy &proxy)
{
    return proxy.backlogMs + (proxy.at.value.empty() ? shortBacklogMs : 0);
}

/// Number of requests in progress that are long, or that are short.
std::size_t countRequests(const cell_leader &leader, bool isLong)
{
    return static_cast<std::size_t>(
        std::count_if(leader.adviceRequests.begin(), leader.adviceRequests.end(), [isLong](const auto &entry) {
            return entry.second.isLong == isLong;
        }));
}

bool wasTried(const open_advice_request &open, const daemon_id &proxy)
{
    return std::find(open.tried.begin(), open.tried.end(), proxy) != open.tried.end();
}

using proxy_entry = std::map<daemon_id, advice_proxy>::iterator;

/// The usable daemon with the smallest backlog through which the request was not sent yet, or the end if there is none.
/// Of several with the same backlog it takes the first one from the daemon `first` on, so that requests one after the
/// other spread over all daemons.
proxy_entry chooseProxy(cell_leader &leader, const open_advice_request &open, std::size_t first, time_point uptime)
{
    auto best = leader.proxies.end();
    if (leader.proxies.empty()) {
        return best;
    }
    auto next = std::next(leader.proxies.begin(), static_cast<std::ptrdiff_t>(first % leader.proxies.size()));
    for (std::size_t visited = 0; visited < leader.proxies.size(); ++visited, ++next) {
        if (next == leader.proxies.end()) {
            next = leader.proxies.begin();
        }
        if (!isUsable(next->second, uptime) || wasTried(open, next->first)) {
            continue;
        }
        if (best == leader.proxies.end() || comparedBacklog(next->second) < comparedBacklog(best->second)) {
            best = next;
        }
    }
    return best;
}

/// Takes an attempt out of the backlog of its proxy.
void releaseBacklog(cell_leader &leader, advice_attempt &attempt)
{
    const auto proxy = leader.proxies.find(attempt.proxy);
    if (proxy != leader.proxies.end()) {
        proxy->second.backlogMs = std::max(0.0, proxy->second.backlogMs - attempt.costMs);
    }
    attempt.costMs = 0;
}

/// Sends no requests through a daemon until the given time. The leader itself remains usable, since the requests would
/// have no way left if it is the only daemon.
void avoidProxy(cell_leader &leader, const daemon_id &name, time_point until)
{
    const auto proxy = leader.proxies.find(name);
    if (proxy != leader.proxies.end() && !proxy->second.at.value.empty()) {
        proxy->second.avoidedUntil = std::max(proxy->second.avoidedUntil, until);
    }
}

/// Sends a request through one proxy. Returns the time at which the response is overdue.
time_point sendAttempt(cell_leader &leader,
                       advice_request_number number,
                       open_advice_request &open,
                       proxy_entry proxy,
                       const clock_reading &now)
{
    const correlation_id correlation = newCorrelation(leader.context);
    proxy->second.backlogMs += open.costMs;
    const milliseconds limit = milliseconds(static_cast<std::int64_t>(proxy->second.backlogMs)) + responseGrace;
    const time_point dueAt = now.uptime + limit;
    leader.adviceAttempts.emplace(correlation, advice_attempt{number, proxy->first, open.costMs, now.uptime, dueAt});
    ++open.openAttempts;
    open.tried.push_back(proxy->first);
    addCount(*leader.context.counters, cell_metrics::adviceRequestsSent);
    if (!proxy->second.at.value.empty()) {
        leader.context.sendToPeer(
            proxy->second.at,
            advice_proxy_request{correlation, leader.context.settings.peerAddress, limit, open.request});
        return dueAt;
    }
    leader.context.advice.callAdvisor(
        open.request,
        {limit, limit + adviceLateness},
        onControlThread(leader.context.box,
                        [self = leader.shared_from_this(), correlation](const result<advice_response> &response,
                                                                        const clock_reading &when) {
                            handleAdviceResponse(*self, correlation, response, when);
                        }));
    return dueAt;
}

/// Sends a request through up to `ways` proxies. From the second time on, the leader is one of them unless it has
/// enough to do: its way to the advisor does not depend on the links to the other daemons.
void sendRound(cell_leader &leader,
               advice_request_number number,
               open_advice_request &open,
               std::size_t ways,
               const clock_reading &now)
{
    ++open.rounds;
    open.dueAt = time_point::max();
    const auto send = [&](proxy_entry proxy) {
        open.dueAt = std::min(open.dueAt, sendAttempt(leader, number, open, proxy, now));
    };
    const auto self = leader.proxies.find(leader.context.settings.name);
    const auto mostBacklog = static_cast<double>(responseGrace.count());
    const auto ownCalls = std::count(open.tried.begin(), open.tried.end(), leader.context.settings.name);
    if (open.rounds > 1 && self != leader.proxies.end() && ownCalls < maxOwnCalls
        && self->second.backlogMs <= mostBacklog) {
        send(self);
        --ways;
    }
    for (; ways > 0; --ways) {
        const auto proxy = chooseProxy(leader, open, leader.context.correlationCount, now.uptime);
        if (proxy == leader.proxies.end()) {
            break;
        }
        send(proxy);
    }
    if (open.dueAt == time_point::max()) {
        open.dueAt = now.uptime + adviceRetryPause;
    }
}

using request_entry = std::map<advice_request_number, open_advice_request>::iterator;

/// Gives a request up; the step may send another one after a pause.
void abandonRequest(cell_leader &leader, request_entry entry, time_point nextRequestAt)
{
    const advice_request request = std::move(entry->second.request);
    leader.adviceRequests.erase(entry);
    onAdviceFailed(leader.state, request, nextRequestAt);
    leader.placementDue = true;
}

/// Repeats a request through more proxies, unless its job is gone or it has been sent often enough.
void repeatRequest(cell_leader &leader, request_entry entry, const clock_reading &now)
{
    open_advice_request &open = entry->second;
    if (open.rounds >= maxRounds || !leader.state.jobs.contains(open.request.step.job)) {
        abandonRequest(leader, entry, now.uptime);
        return;
    }
    sendRound(leader, entry->first, open, std::size_t{1} << open.rounds, now);
}

/// Handles a failed attempt. A quick failure says something about the advisor, so that the request is given up for a
/// moment; after a slow one it is repeated at once.
void handleFailure(cell_leader &leader, const advice_attempt &attempt, const error &problem, const clock_reading &now)
{
    addCount(*leader.context.counters, cell_metrics::adviceFailed);
    avoidProxy(leader, attempt.proxy, now.uptime + failurePause);
    const auto entry = leader.adviceRequests.find(attempt.request);
    if (entry == leader.adviceRequests.end()) {
        return;
    }
    const open_advice_request &open = entry->second;
    log_event("advice_failed", log_level::Warning)
        .with("job", open.request.step.job)
        .with("step", open.request.step.step)
        .with("proxy", attempt.proxy)
        .with("problem", problem.message);
    if (attempt.overdue || open.openAttempts > 0) {
        return;
    }
    if (now.uptime - attempt.sentAt >= slowFailure) {
        repeatRequest(leader, entry, now);
    } else if (open.rounds == 1) {
        abandonRequest(leader, entry, now.uptime + adviceRetryPause);
    }
    // Otherwise an overdue attempt may still be answered, and the request is repeated when it is due.
}

/// Marks an attempt without a response as overdue and avoids its proxy.
void markOverdue(cell_leader &leader, correlation_id correlation, advice_attempt &attempt, const clock_reading &now)
{
    attempt.overdue = true;
    // The leader's own call goes on at the advisor, and its callback always comes.
    if (attempt.proxy != leader.context.settings.name) {
        releaseBacklog(leader, attempt);
    }
    avoidProxy(leader, attempt.proxy, now.uptime + proxyPause);
    addCount(*leader.context.counters, cell_metrics::adviceOverdue);
    const auto entry = leader.adviceRequests.find(attempt.request);
    if (entry == leader.adviceRequests.end()) {
        return;
    }
    --entry->second.openAttempts;
    log_event("advice_overdue", log_level::Warning)
        .with("job", entry->second.request.step.job)
        .with("step", entry->second.request.step.step)
        .with("proxy", attempt.proxy)
        .with("correlation", correlation)
        .with("waited_ms", elapsedBetween(attempt.sentAt, now.uptime).count());
}

} // namespace

advice_capacity adviceCapacity(const cell_leader &leader, const clock_reading &now)
{
    advice_capacity capacity;
    std::size_t usable = 0;
    for (const auto &[name, proxy] : leader.proxies) {
        if (isUsable(proxy, now.uptime)) {
            ++usable;
            capacity.free += proxy.backlogMs < shortBacklogMs ? 1 : 0;
        }
    }
    const std::size_t longOpen = countRequests(leader, true);
    capacity.machines = usable;
    const std::size_t longLimit = longRequestLimit(usable, leader.shortRequests, now.uptime);
    capacity.freeForLong = std::min(capacity.free, longLimit - std::min(longLimit, longOpen));
    return capacity;
}

void requestAdvice(const std::shared_ptr<cell_leader> &leader, advice_request request, const clock_reading &now)
{
    open_advice_request open;
    open.request = std::move(request);
    estimateTime(*leader, open);
    const advice_request_number number(++leader->lastAdviceRequest.value);
    const auto entry = leader->adviceRequests.emplace(number, std::move(open)).first;
    sendRound(*leader, number, entry->second, 1, now);
    recordShortRequests(leader->shortRequests, countRequests(*leader, false), now.uptime);
}

void handleProxyResponse(cell_leader &leader, const advice_proxy_response &response, const clock_reading &now)
{
    const auto attempt = leader.adviceAttempts.find(response.correlation);
    const bool isLate = attempt == leader.adviceAttempts.end() || attempt->second.overdue;
    if (!leader.ended && isLate) {
        addCount(*leader.context.counters, cell_metrics::adviceLate);
        log_event("advice_late", log_level::Warning)
            .with("correlation", response.correlation)
            .with("advisor_ms", response.advisorTime.count())
            .with("problem", response.problem);
    }
    const result<advice_response> outcome = response.problem.empty()
        ? result<advice_response>(response.answer)
        : result<advice_response>(makeError(error_kind::Unknown, response.problem));
    handleAdviceResponse(leader, response.correlation, outcome, now);
}

void handleAdviceResponse(cell_leader &leader,
                          correlation_id correlation,
                          const result<advice_response> &response,
                          const clock_reading &now)
{
    const auto found = leader.adviceAttempts.find(correlation);
    if (leader.ended || found == leader.adviceAttempts.end()) {
        return;
    }
    advice_attempt attempt = found->second;
    leader.adviceAttempts.erase(found);
    releaseBacklog(leader, attempt);
    leader.placementDue = true;
    if (const auto proxy = leader.proxies.find(attempt.proxy); proxy != leader.proxies.end() && attempt.overdue) {
        proxy->second.avoidedUntil = {};
    }
    const auto entry = leader.adviceRequests.find(attempt.request);
    if (entry != leader.adviceRequests.end() && !attempt.overdue) {
        --entry->second.openAttempts;
    }
    if (!response) {
        handleFailure(leader, attempt, response.error(), now);
        return;
    }
    recordTime(*leader.context.counters, cell_metrics::adviceTime, now.uptime - attempt.sentAt);
    if (entry == leader.adviceRequests.end()) {
        return;
    }
    const open_advice_request open = std::move(entry->second);
    leader.adviceRequests.erase(entry);
    // The validity of a ticket begins when the advisor issues it, which is after the decision at the earliest. When the
    // response is handled says nothing about it, since it may have waited for a busy leader.
    const auto decided = milliseconds(static_cast<std::int64_t>(open.costMs));
    const time_point givenAt = std::min(now.uptime, attempt.sentAt + decided);
    applyAdvice(leader.state, open.request, response.value(), givenAt);
    log_event("advice")
        .with("job", open.request.step.job)
        .with("step", open.request.step.step)
        .with("proxy", attempt.proxy)
        .with("asked", open.request.workers.size())
        .with("good", response.value().suitable.size())
        .with("took_ms", elapsedBetween(attempt.sentAt, now.uptime).count());
}

void expireAdviceRequests(cell_leader &leader, const clock_reading &now)
{
    for (auto &[correlation, attempt] : leader.adviceAttempts) {
        if (!attempt.overdue && now.uptime > attempt.dueAt) {
            markOverdue(leader, correlation, attempt, now);
        }
    }
    std::erase_if(leader.adviceAttempts, [&leader, &now](const auto &entry) {
        return entry.second.overdue && now.uptime > entry.second.dueAt + lateLimit
            && entry.second.proxy != leader.context.settings.name;
    });
    for (auto next = leader.adviceRequests.begin(); next != leader.adviceRequests.end();) {
        const auto entry = next++;
        if (now.uptime > entry->second.dueAt) {
            repeatRequest(leader, entry, now);
        }
    }
}

void setProxyReachable(cell_leader &leader, const address &at, bool reachable, const clock_reading &now)
{
    for (auto &[name, proxy] : leader.proxies) {
        if (proxy.at != at || proxy.reachable == reachable) {
            continue;
        }
        proxy.reachable = reachable;
        if (reachable) {
            proxy.avoidedUntil = {};
            leader.placementDue = true;
            continue;
        }
        for (auto &[correlation, attempt] : leader.adviceAttempts) {
            if (attempt.proxy != name || attempt.overdue) {
                continue;
            }
            markOverdue(leader, correlation, attempt, now);
            const auto request = leader.adviceRequests.find(attempt.request);
            if (request != leader.adviceRequests.end() && request->second.openAttempts == 0) {
                request->second.dueAt = now.uptime - milliseconds(1);
            }
        }
    }
    if (!reachable) {
        expireAdviceRequests(leader, now);
    }
}

} // namespace sesamespar
