#include "term/cell_leader.h"

#include "base/log.h"
#include "term/advice_dispatch.h"
#include "term/cell_recovery.h"
#include "term/job_placement.h"
#include "term/load_report.h"
#include "term/organisation_usage.h"
#include "term/policy_selection.h"
#include "term/progress_writer.h"
#include "term/sustained_speed.h"
#include "term/worker_sessions.h"

namespace sesamespar {

namespace {

/// Period of the checks that no event triggers: expired leases, overdue advice requests, the load report.
constexpr milliseconds upkeepPeriod{100};

/// Minimum time between two placement passes. Events come in hundreds to thousands a second, and a pass costs up to
/// half a millisecond; the placements of several passes are written to the store together anyway.
constexpr milliseconds placementPause{10};

/// Factor by which the mean delay of starts decays with each upkeep. Without it, a leader that had been so late that
/// all tickets seemed expired would start nothing, and so never measure a shorter delay.
constexpr double startDelayDecay = 0.98;

/// Adds the waits that have ended since the last call to the metrics.
void recordWaits(cell_leader &leader)
{
    for (const time_point::duration &wait : leader.state.waits) {
        recordTime(*leader.context.counters, cell_metrics::waitTime, wait);
    }
    leader.state.waits.clear();
}

/// Runs a placement pass unless the previous one was too recent; a timer then triggers it.
void placeIfDue(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    if (!leader->placementDue || !leader->workersListed || !leader->configured) {
        return;
    }
    if (now.uptime < leader->nextPlacementAt) {
        if (!leader->placementTimer.is_linked()) {
            subscribe(
                leader->context.timers, leader->placementTimer, now.monotonic + (leader->nextPlacementAt - now.uptime));
        }
        return;
    }
    leader->placementDue = false;
    leader->nextPlacementAt = now.uptime + placementPause;
    const time_point begun = std::chrono::steady_clock::now();
    placement_outcome outcome = placeWaiting(leader->state, adviceCapacity(*leader, now), now);
    metrics &counters = *leader->context.counters;
    const time_point::duration took = std::chrono::steady_clock::now() - begun;
    recordTime(counters, cell_metrics::placementTime, took);
    ++leader->passes.count;
    leader->passes.total += took;
    addCount(counters, cell_metrics::runsPlaced, outcome.placed.size());
    for (advice_request &request : outcome.adviceRequests) {
        requestAdvice(leader, std::move(request), now);
    }
}

void updatePolicy(cell_state &state)
{
    const cell_policy before = state.policy;
    state.policy = selectPolicy(policyInputs(state));
    if (state.policy != before) {
        log_event("policy_selected")
            .with("organisations", state.organisations.size())
            .with("uneven_workers", state.unevenWorkers)
            .with("least_work_first", state.policy.ties == tie_order::LeastWork)
            .with("learned_durations", state.policy.durations == duration_source::Learned)
            .with("matches_speeds", state.policy.matchesSpeeds)
            .with("reserved_share", state.policy.reservedShare);
    }
}

void runUpkeep(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    if (leader->ended) {
        return;
    }
    recordWaits(*leader);
    leader->state.startDelayMs *= startDelayDecay;
    assessUnevenness(leader->state);
    updatePolicy(leader->state);
    checkExecutors(leader, now);
    if (leader->ended) {
        return;
    }
    endExpiredRuns(*leader, now);
    expireAdviceRequests(*leader, now);
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
    leader->termConfirmedAt = now.uptime;
    leader->stepDown = std::move(stepDown);
    log_event("term_begun").with("daemon", context.settings.name).with("fence", fence);
    addCount(*context.counters, cell_metrics::termsBegun);
    leader->upkeepTimer.fire = [weak = std::weak_ptr(leader)](const clock_reading &when) {
        if (const auto self = weak.lock()) {
            runUpkeep(self, when);
        }
    };
    // The control loop calls settleTerm after each batch of timers.
    leader->placementTimer.fire = [](const clock_reading &) {
    };
    recoverCell(leader);
    runUpkeep(leader, now);
    return leader;
}

void endTerm(cell_leader &leader, const char *reason)
{
    if (leader.ended) {
        return;
    }
    leader.ended = true;
    recordWaits(leader);
    addCount(*leader.context.counters, cell_metrics::termsEnded);
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
    unsubscribe(leader.placementTimer);
    leader.sessions.clear();
    leader.dispatch = {};
}

void settleTerm(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    if (leader->ended || !leader->recovered) {
        return;
    }
    placeIfDue(leader, now);
    sendStops(leader, now);
    writeChanges(leader, now);
    flushCalls(*leader, now);
}

std::optional<job_phase> visiblePhase(const cell_leader &leader, const job_key &key)
{
    if (leader.ended || !leader.recovered) {
        return std::nullopt;
    }
    if (const auto done = leader.finished.find(key); done != leader.finished.end()) {
        // A withdrawn job was never accepted, so callers are told by the store that it doesn't exist.
        return done->second.phase == job_phase::Withdrawn ? std::nullopt : std::optional(done->second.phase);
    }
    const auto found = leader.state.jobs.find(key);
    if (found == leader.state.jobs.end()) {
        return std::nullopt;
    }
    const cell_job &job = *found->second;
    const bool stored = job.storedChanges == job.changes;
    return isFinal(job.progress.phase) && !stored ? job_phase::Running : job.progress.phase;
}

void adoptConfiguration(cell_leader &leader, const cell_configuration &configuration)
{
    leader.configured = true;
    applyOrganisations(leader.state, configuration);
    updatePolicy(leader.state);
    leader.placementDue = true;
}

void setDaemons(cell_leader &leader, const std::map<daemon_id, address> &daemons, const clock_reading &now)
{
    setExecutors(leader, daemons, now);
    std::erase_if(leader.proxies, [&](const auto &proxy) {
        return proxy.first != leader.context.settings.name && !daemons.contains(proxy.first);
    });
    leader.proxies.try_emplace(leader.context.settings.name);
    for (const auto &[name, at] : daemons) {
        if (name != leader.context.settings.name) {
            advice_proxy &proxy = leader.proxies[name];
            if (proxy.at != at) {
                proxy.at = at;
                proxy.reachable = true;
                proxy.avoidedUntil = {};
            }
        }
    }
}

void setReachable(cell_leader &leader, const address &at, bool reachable, const clock_reading &now)
{
    if (leader.ended) {
        return;
    }
    setProxyReachable(leader, at, reachable, now);
    if (!reachable) {
        suspendExecutorAt(leader, at, now);
    }
}

} // namespace sesamespar
