#include "process/cell_leader.h"

#include "base/log.h"
#include "process/advice_desk.h"
#include "process/cell_recovery.h"
#include "process/load_report.h"
#include "process/progress_writer.h"
#include "process/worker_sessions.h"
#include "term/job_placement.h"

namespace sesamespar {

namespace {

/// Period of what a term looks after without an event: lapsed leases, unanswered questions, the load.
constexpr milliseconds upkeepPeriod{100};

void keepUp(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    if (leader->ended) {
        return;
    }
    endLapsedRuns(*leader, now);
    expireQuestions(*leader, now);
    reportLoad(leader, now);
    leader->placementDue = true;
    subscribe(leader->context.timers, leader->upkeepTimer, now.monotonic + upkeepPeriod);
}

} // namespace

std::shared_ptr<cell_leader> beginTerm(cell_context &context,
                                       fencing_token fence,
                                       std::function<void(const char *reason)> stepDown,
                                       const clock_reading &now)
{
    auto leader = std::make_shared<cell_leader>(context);
    leader->fence = fence;
    leader->beganAt = now.uptime;
    leader->provedAt = now.uptime;
    leader->stepDown = std::move(stepDown);
    log_event("term_begun").with("daemon", context.settings.name).with("fence", fence);
    addCount(*context.counters, "terms_begun");
    leader->upkeepTimer.fire = [weak = std::weak_ptr(leader)](const clock_reading &when) {
        if (const auto self = weak.lock()) {
            keepUp(self, when);
        }
    };
    recoverCell(leader);
    keepUp(leader, now);
    return leader;
}

void endTerm(cell_leader &leader, const char *reason)
{
    if (leader.ended) {
        return;
    }
    leader.ended = true;
    log_event("term_ended", log_level::Warning)
        .with("daemon", leader.context.settings.name)
        .with("fence", leader.fence)
        .with("reason", reason);
    if (leader.jobs) {
        stopFollowing(*leader.jobs);
    }
    leader.workerList.reset();
    unsubscribe(leader.upkeepTimer);
    unsubscribe(leader.commitTimer);
    leader.sessions.clear();
}

void settleTerm(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    if (leader->ended || !leader->recovered) {
        return;
    }
    if (leader->placementDue && leader->workersListed) {
        leader->placementDue = false;
        const time_point begun = readClocks().monotonic;
        placement_outcome outcome = placeWaiting(leader->state, adviceCapacity(*leader, now), now);
        noteDecision(*leader->context.counters, readClocks().monotonic - begun);
        for (advice_question &question : outcome.questions) {
            askAdvice(leader, std::move(question), now);
        }
    }
    sendStops(leader, now);
    writeChanges(leader, now);
}

void setHands(cell_leader &leader, const std::map<daemon_id, address> &daemons)
{
    std::erase_if(leader.hands, [&](const auto &hand) {
        return hand.first != leader.context.settings.name && !daemons.contains(hand.first);
    });
    leader.hands.try_emplace(leader.context.settings.name);
    for (const auto &[name, at] : daemons) {
        if (name != leader.context.settings.name) {
            leader.hands[name].at = at;
        }
    }
}

} // namespace sesamespar
