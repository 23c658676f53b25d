#include "process/cell_election.h"

#include "base/log.h"
#include "connection/cell_keys.h"

#include <algorithm>
#include <functional>

namespace sesamespar {

namespace {

/// Time to live of the leader's lease without renewal, unless the store requires a longer one. The death of a leader is
/// detected after this time. A live leader whose lease expires, for example because the store is slow, claims its key
/// again.
constexpr milliseconds leaseTtl{1000};
constexpr milliseconds renewPeriod{300};
constexpr milliseconds renewLimit{400};
constexpr milliseconds renewRetry{100};
constexpr milliseconds electionLimit{800};
/// Pause before a campaign, multiplied by the daemon's turn, so that the daemons do not campaign at the same time.
constexpr milliseconds turnPause{40};
constexpr int turns = 8;
/// Pause before a leader whose key was lost claims it again. Shorter than the pause of the other daemons.
constexpr milliseconds reclaimPause{1};
/// Pause before the other daemons campaign, in which the leader may claim its key again.
constexpr milliseconds standbyPause{150};
constexpr milliseconds campaignRetry{300};
/// Share of a core below which a daemon campaigns after those with more. On a fleet of 350 workers a leader used all of
/// its 0.5 of a core, and the small VMs of such a site have 0.12; on a fleet of 48 workers, where all VMs have 0.25, a
/// leader uses 0.14 at most.
const millicores leaderShare{200};
/// Pause of a daemon with a smaller share in addition to the others' pause: the turns of the larger daemons, 300 ms by
/// which these may start later, and 50 ms for the calls of a campaign.
constexpr milliseconds smallSharePause = turnPause * turns + milliseconds{350};

void campaign(const std::shared_ptr<cell_election> &election);
void scheduleRenewal(const std::shared_ptr<cell_election> &election, milliseconds pause, const clock_reading &now);

std::string leaderValue(const cell_context &context)
{
    return context.settings.name.value + " " + std::to_string(context.incarnation.value);
}

milliseconds campaignPause(const cell_election &election)
{
    if (election.leading) {
        return reclaimPause;
    }
    const cell_settings &settings = election.context.settings;
    const std::size_t turn = std::hash<std::string>()(settings.name.value) % std::size_t{turns};
    const bool small = settings.processorShare.value != 0 && settings.processorShare < leaderShare;
    return standbyPause + turnPause * static_cast<int>(turn) + (small ? smallSharePause : milliseconds(0));
}

void scheduleCampaign(cell_election &election, milliseconds pause, const clock_reading &now)
{
    if (election.withdrawn || election.campaigning || election.campaignTimer.is_linked()) {
        return;
    }
    election.campaignTimer.fire = [weak = election.weak_from_this()](const clock_reading &) {
        if (const auto self = weak.lock()) {
            campaign(self);
        }
    };
    subscribe(election.context.timers, election.campaignTimer, now.monotonic + pause);
}

void loseTerm(cell_election &election, const char *reason)
{
    if (!election.leading) {
        return;
    }
    election.leading = false;
    unsubscribe(election.renewTimer);
    election.sink.lost(reason);
}

void win(const std::shared_ptr<cell_election> &election, store_revision revision, const clock_reading &now)
{
    election->leaderPresent = true;
    election->sink.found({cell_keys::leader, leaderValue(election->context), revision}, now);
    scheduleRenewal(election, renewPeriod, now);
    if (election->leading) {
        log_event("leader_key_claimed_again").with("fence", election->fence);
        return;
    }
    election->leading = true;
    election->termRevision = revision;
    election->fence = fencing_token(revision.value);
    election->sink.won(election->fence, now);
}

void onClaimReply(const std::shared_ptr<cell_election> &election,
                  const result<store_commit> &commit,
                  const clock_reading &now)
{
    election->campaigning = false;
    if (election->withdrawn) {
        if (commit && commit.value().applied) {
            election->context.store.endLease(election->lease, electionLimit, [](const result<granted_lease> &) {});
        }
        return;
    }
    if (commit && commit.value().applied) {
        win(election, commit.value().revision, now);
        return;
    }
    if (commit) {
        for (const store_item &item : commit.value().current) {
            if (item.revision.value != 0) {
                election->sink.found(item, now);
            }
        }
    }
    if (!election->leaderPresent) {
        scheduleCampaign(*election, campaignRetry, now);
    }
}

void claimLeaderKey(const std::shared_ptr<cell_election> &election)
{
    store_transaction transaction;
    const std::string value = leaderValue(election->context);
    transaction.conditions.push_back({cell_keys::leader, store_revision(0)});
    transaction.conditions.push_back({cell_keys::term, election->termRevision});
    transaction.writes.push_back({cell_keys::leader, value, election->lease});
    if (!election->leading) {
        transaction.writes.push_back({cell_keys::term, value, {}});
    }
    election->context.store.commit(
        transaction,
        electionLimit,
        timedOnControlThread(election->context,
                             cell_metrics::claimTime,
                             [election](const result<store_commit> &commit, const clock_reading &now) {
                                 onClaimReply(election, commit, now);
                             }));
}

void onLeaseReply(const std::shared_ptr<cell_election> &election,
                  const result<granted_lease> &lease,
                  const clock_reading &now)
{
    if (!lease || election->leaderPresent || election->withdrawn) {
        election->campaigning = false;
        if (!election->leaderPresent) {
            scheduleCampaign(*election, campaignRetry, now);
        }
        return;
    }
    election->lease = lease.value().lease;
    claimLeaderKey(election);
}

void campaign(const std::shared_ptr<cell_election> &election)
{
    if (election->withdrawn || election->campaigning || election->leaderPresent) {
        return;
    }
    election->campaigning = true;
    const milliseconds ttl = std::max(leaseTtl, election->context.settings.limits.shortestStoreLease);
    election->context.store.openLease(
        ttl,
        electionLimit,
        timedOnControlThread(election->context,
                             cell_metrics::leaseTime,
                             [election](const result<granted_lease> &lease, const clock_reading &now) {
                                 onLeaseReply(election, lease, now);
                             }));
}

void onRenewalReply(const std::shared_ptr<cell_election> &election,
                    const result<granted_lease> &renewed,
                    const clock_reading &now)
{
    if (!election->leading) {
        return;
    }
    if (!renewed && renewed.error().kind == error_kind::NotFound) {
        log_event("leader_lease_lost", log_level::Warning).with("fence", election->fence);
        election->leaderPresent = false;
        scheduleCampaign(*election, campaignPause(*election), now);
        return;
    }
    scheduleRenewal(election, renewed ? renewPeriod : renewRetry, now);
}

void scheduleRenewal(const std::shared_ptr<cell_election> &election, milliseconds pause, const clock_reading &now)
{
    election->renewTimer.fire = [weak = election->weak_from_this()](const clock_reading &) {
        const auto self = weak.lock();
        if (!self || !self->leading || self->withdrawn) {
            return;
        }
        self->context.store.renewLease(
            self->lease,
            renewLimit,
            timedOnControlThread(self->context,
                                 cell_metrics::leaseTime,
                                 [self](const result<granted_lease> &renewed, const clock_reading &when) {
                                     onRenewalReply(self, renewed, when);
                                 }));
    };
    subscribe(election->context.timers, election->renewTimer, now.monotonic + pause);
}

} // namespace

std::shared_ptr<cell_election> joinElection(cell_context &context, election_sink sink)
{
    return std::make_shared<cell_election>(context, std::move(sink));
}

void onLeaderKeyChange(cell_election &election, const store_item &item, const clock_reading &now)
{
    election.leaderPresent = item.revision.value != 0;
    if (election.leaderPresent) {
        unsubscribe(election.campaignTimer);
    } else if (election.known) {
        scheduleCampaign(election, campaignPause(election), now);
    }
}

void onTermKeyChange(cell_election &election, const store_item &item, const clock_reading &now)
{
    if (item.revision <= election.termRevision) {
        return;
    }
    election.termRevision = item.revision;
    if (election.leading && election.fence.value != item.revision.value) {
        loseTerm(election, "another daemon has begun a term");
    } else if (!election.leading && item.value == leaderValue(election.context) && election.leaderPresent
               && !election.withdrawn) {
        // This daemon's transaction won, but its reply was lost.
        win(election.shared_from_this(), item.revision, now);
    }
}

void onKeysListed(cell_election &election, const clock_reading &now)
{
    election.known = true;
    if (!election.leaderPresent) {
        scheduleCampaign(election, campaignPause(election), now);
    }
}

void concede(cell_election &election, const char *reason)
{
    if (election.leading) {
        loseTerm(election, reason);
        // The others can elect at once; if another daemon leads already, this daemon's lease no longer matters.
        election.context.store.endLease(election.lease, electionLimit, [](const result<granted_lease> &) {});
    }
}

void withdraw(cell_election &election)
{
    election.withdrawn = true;
    unsubscribe(election.campaignTimer);
    unsubscribe(election.renewTimer);
    if (election.leading) {
        election.leading = false;
        election.context.store.endLease(election.lease, electionLimit, [](const result<granted_lease> &) {});
        election.sink.lost("this daemon is shutting down");
    }
}

} // namespace sesamespar
