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
/// Time for which a daemon that did not respond gets no requests.
constexpr milliseconds proxyPause{3000};
/// Time for which a daemon whose call to the advisor failed gets no requests. It has no backlog left, so that it would
/// get the next request each time. Short, because the call may have failed for reasons of the advisor.
constexpr milliseconds failurePause{200};
/// Pause before the next request for a step after a failed one.
constexpr milliseconds adviceRetryPause{100};
/// A daemon with a smaller backlog than this gets the next request, so that the advisor is not idle in between.
constexpr double shortBacklogMs = 15;
/// Share of the daemons that may have a long request in progress, in tenths; the others stay free for short ones.
constexpr std::size_t longShareTenths = 6;
constexpr std::size_t tenths = 10;

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

/// Backlog by which daemons are compared. The leader gets a request only while all others have one in progress, because
/// it makes the calls to all workers as well.
double comparedBacklog(const advice_proxy &proxy)
{
    return proxy.backlogMs + (proxy.at.value.empty() ? shortBacklogMs : 0);
}

/// The usable daemon with the smallest backlog, or the end if there is none. Of several with the same backlog it takes
/// the first one from the daemon `first` on, so that requests one after the other spread over all daemons.
std::map<daemon_id, advice_proxy>::iterator chooseProxy(cell_leader &leader, std::size_t first, time_point uptime)
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
        if (uptime < next->second.avoidedUntil) {
            continue;
        }
        if (best == leader.proxies.end() || comparedBacklog(next->second) < comparedBacklog(best->second)) {
            best = next;
        }
    }
    return best;
}

void closeAdviceRequest(cell_leader &leader, std::map<correlation_id, open_advice_request>::iterator entry)
{
    const auto proxy = leader.proxies.find(entry->second.proxy);
    if (proxy != leader.proxies.end()) {
        proxy->second.backlogMs = std::max(0.0, proxy->second.backlogMs - entry->second.costMs);
    }
    leader.adviceRequests.erase(entry);
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
    const auto longOpen = static_cast<std::size_t>(
        std::count_if(leader.adviceRequests.begin(), leader.adviceRequests.end(), [](const auto &entry) {
            return entry.second.isLong;
        }));
    const std::size_t longLimit = std::max<std::size_t>(1, usable * longShareTenths / tenths);
    capacity.freeForLong = std::min(capacity.free, longLimit - std::min(longLimit, longOpen));
    return capacity;
}

void requestAdvice(const std::shared_ptr<cell_leader> &leader, advice_request request, const clock_reading &now)
{
    const auto proxy = chooseProxy(*leader, leader->context.correlationCount, now.uptime);
    if (proxy == leader->proxies.end()) {
        onAdviceFailed(leader->state, request, now.uptime + adviceRetryPause);
        return;
    }
    const correlation_id correlation = newCorrelation(leader->context);
    open_advice_request open{request, proxy->first};
    open.sentAt = now.uptime;
    estimateTime(*leader, open);
    proxy->second.backlogMs += open.costMs;
    const milliseconds limit = milliseconds(static_cast<std::int64_t>(proxy->second.backlogMs)) + responseGrace;
    open.dueAt = now.uptime + limit;
    leader->adviceRequests.emplace(correlation, std::move(open));
    addCount(*leader->context.counters, cell_metrics::adviceRequestsSent);
    if (!proxy->second.at.value.empty()) {
        leader->context.sendToPeer(
            proxy->second.at,
            advice_proxy_request{correlation, leader->context.settings.peerAddress, limit, std::move(request)});
        return;
    }
    leader->context.advice.callAdvisor(
        request,
        limit,
        onControlThread(leader->context.box,
                        [leader, correlation](const result<advice_response> &response, const clock_reading &when) {
                            handleAdviceResponse(*leader, correlation, response, when);
                        }));
}

void handleProxyResponse(cell_leader &leader, const advice_proxy_response &response, const clock_reading &now)
{
    if (!leader.ended && !leader.adviceRequests.contains(response.correlation)) {
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
    const auto entry = leader.adviceRequests.find(correlation);
    if (leader.ended || entry == leader.adviceRequests.end()) {
        return;
    }
    const open_advice_request open = entry->second;
    closeAdviceRequest(leader, entry);
    leader.placementDue = true;
    recordTime(*leader.context.counters, cell_metrics::adviceTime, now.uptime - open.sentAt);
    if (!response) {
        addCount(*leader.context.counters, cell_metrics::adviceFailed);
        avoidProxy(leader, open.proxy, now.uptime + failurePause);
        log_event("advice_failed", log_level::Warning)
            .with("job", open.request.step.job)
            .with("step", open.request.step.step)
            .with("proxy", open.proxy)
            .with("problem", response.error().message);
        onAdviceFailed(leader.state, open.request, now.uptime + adviceRetryPause);
        return;
    }
    // The validity of a ticket begins when the advisor issues it, which is after the decision at the earliest. When the
    // response is handled says nothing about it, since it may have waited for a busy leader.
    const auto decided = milliseconds(static_cast<std::int64_t>(open.costMs));
    const time_point givenAt = std::min(now.uptime, open.sentAt + decided);
    applyAdvice(leader.state, open.request, response.value(), givenAt);
    log_event("advice")
        .with("job", open.request.step.job)
        .with("step", open.request.step.step)
        .with("proxy", open.proxy)
        .with("asked", open.request.workers.size())
        .with("good", response.value().suitable.size())
        .with("took_ms", std::chrono::duration_cast<milliseconds>(now.uptime - open.sentAt).count());
}

void expireAdviceRequests(cell_leader &leader, const clock_reading &now)
{
    for (auto next = leader.adviceRequests.begin(); next != leader.adviceRequests.end();) {
        const auto entry = next++;
        if (now.uptime <= entry->second.dueAt) {
            continue;
        }
        const open_advice_request open = entry->second;
        avoidProxy(leader, open.proxy, now.uptime + proxyPause);
        addCount(*leader.context.counters, cell_metrics::adviceOverdue);
        log_event("advice_overdue", log_level::Warning)
            .with("job", open.request.step.job)
            .with("step", open.request.step.step)
            .with("proxy", open.proxy)
            .with("correlation", entry->first)
            .with("waited_ms", std::chrono::duration_cast<milliseconds>(now.uptime - open.sentAt).count());
        closeAdviceRequest(leader, entry);
        onAdviceFailed(leader.state, open.request, now.uptime);
        leader.placementDue = true;
    }
}

} // namespace sesamespar
