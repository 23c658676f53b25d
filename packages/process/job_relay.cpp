#include "process/job_relay.h"

#include "base/log.h"
#include "connection/cell_codec.h"

#include <algorithm>
#include <vector>

namespace sesamespar {

namespace {

/// Interval of the probes, and the age up to which an offer is valid: two probes may be lost.
constexpr milliseconds probePeriod{250};
constexpr milliseconds offerValidity{700};
/// Number of daemons that are probed at a time while there is no valid offer.
constexpr std::size_t probedAtOnce = 2;
/// Time limit for the outcome of a job: a transaction of the other daemon takes 4 ms, or 600 ms at most.
constexpr milliseconds relayLimit{1000};

void finish(const job_relay &relay,
            const open_relay &job,
            const caller_answer &answer,
            const char *outcome,
            std::string_view counter,
            const clock_reading &now)
{
    log_event("job_submitted")
        .with("job", job.key)
        .with("outcome", outcome)
        .with("relayed", true)
        .with("took_ms", elapsedBetween(job.arrivedAt, now.uptime).count());
    addCount(*relay.context.counters, counter);
    recordTime(*relay.context.counters, cell_metrics::requestTime, now.uptime - job.arrivedAt);
    job.done(answer);
}

void finishRefused(const job_relay &relay, const open_relay &job, const char *reason, const clock_reading &now)
{
    finish(relay, job, call_refused{reason, job.retryAfter}, "refused", cell_metrics::jobsRefused, now);
}

std::vector<address> otherDaemons(const job_relay &relay, const std::map<daemon_id, address> &daemons)
{
    std::vector<address> others;
    for (const auto &[name, at] : daemons) {
        if (name != relay.context.settings.name) {
            others.push_back(at);
        }
    }
    return others;
}

void expire(job_relay &relay, const clock_reading &now)
{
    for (auto next = relay.open.begin(); next != relay.open.end();) {
        const auto entry = next++;
        if (entry->second.dueAt > now.uptime) {
            continue;
        }
        const open_relay job = std::move(entry->second);
        relay.open.erase(entry);
        relay.relayPeer.reset();
        const outcome_unknown answer{"the daemon that the job was relayed to did not answer in time"};
        finish(relay, job, answer, "unknown", cell_metrics::jobsUnknown, now);
    }
}

void scheduleExpiry(const std::shared_ptr<job_relay> &relay, const clock_reading &now)
{
    if (relay->open.empty() || relay->expiryTimer.is_linked()) {
        return;
    }
    relay->expiryTimer.fire = [weak = std::weak_ptr(relay)](const clock_reading &when) {
        if (const auto self = weak.lock()) {
            expire(*self, when);
            scheduleExpiry(self, when);
        }
    };
    subscribe(relay->context.timers, relay->expiryTimer, now.monotonic + probePeriod);
}

} // namespace

void probeRelayPeers(const std::shared_ptr<job_relay> &relay,
                     const std::map<daemon_id, address> &daemons,
                     const clock_reading &now)
{
    if (relay->probeTimer.is_linked()) {
        return;
    }
    // The timer only wakes the control thread, which probes again while the store is lost.
    relay->probeTimer.fire = [](const clock_reading &) {
    };
    subscribe(relay->context.timers, relay->probeTimer, now.monotonic + probePeriod);
    if (relay->relayPeer && now.uptime - relay->offeredAt < offerValidity) {
        relay->context.sendToPeer(*relay->relayPeer, relay_probe{relay->context.settings.peerAddress});
        return;
    }
    const std::vector<address> others = otherDaemons(*relay, daemons);
    for (std::size_t count = 0; count < std::min(probedAtOnce, others.size()); ++count) {
        relay->lastProbed = (relay->lastProbed + 1) % others.size();
        relay->context.sendToPeer(others[relay->lastProbed], relay_probe{relay->context.settings.peerAddress});
    }
}

void onRelayOffer(job_relay &relay, const relay_offer &offer, const clock_reading &now)
{
    if (!offer.usable) {
        if (relay.relayPeer == offer.from) {
            relay.relayPeer.reset();
        }
        return;
    }
    if (relay.relayPeer != offer.from) {
        log_event("relay_found").with("through", offer.from);
    }
    relay.relayPeer = offer.from;
    relay.offeredAt = now.uptime;
}

bool canRelay(const job_relay &relay, const std::set<address> &unreachablePeers, const clock_reading &now)
{
    return relay.relayPeer && now.uptime - relay.offeredAt < offerValidity
        && !unreachablePeers.contains(*relay.relayPeer);
}

void relayJob(const std::shared_ptr<job_relay> &relay,
              const accepted_job &job,
              milliseconds timeout,
              milliseconds retryAfter,
              caller_done done,
              const clock_reading &now)
{
    const milliseconds limit = std::min(relayLimit, timeToAnswer(timeout));
    const correlation_id correlation = newCorrelation(relay->context);
    open_relay entry{job.key, std::move(done), now.uptime, now.uptime + limit, retryAfter};
    const bool sent = relay->context.sendToPeer(
        *relay->relayPeer,
        relayed_job{correlation, relay->context.settings.peerAddress, limit, job.key, encodeAcceptedJob(job)});
    if (!sent) {
        relay->relayPeer.reset();
        finishRefused(*relay, entry, "the link to the daemon that the job was to be relayed to is full or closed", now);
        return;
    }
    relay->open.emplace(correlation, std::move(entry));
    addCount(*relay->context.counters, cell_metrics::jobsRelayed);
    scheduleExpiry(relay, now);
}

void onRelayOutcome(job_relay &relay, const relay_outcome &outcome, const clock_reading &now)
{
    const auto found = relay.open.find(outcome.correlation);
    if (found == relay.open.end()) {
        return;
    }
    const open_relay job = std::move(found->second);
    relay.open.erase(found);
    switch (outcome.result) {
    case relay_result::Stored:
        finish(relay, job, job_accepted{}, "accepted", cell_metrics::jobsAccepted, now);
        break;
    case relay_result::Refused:
        relay.relayPeer.reset();
        finishRefused(relay, job, "the daemon that the job was relayed to refused to store it", now);
        break;
    case relay_result::Unknown:
        finish(relay,
               job,
               outcome_unknown{"the daemon that the job was relayed to does not know whether the job is stored"},
               "unknown",
               cell_metrics::jobsUnknown,
               now);
        break;
    }
}

} // namespace sesamespar
