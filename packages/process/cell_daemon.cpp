#include "process/cell_daemon.h"

#include "base/log.h"
#include "connection/cell_codec.h"
#include "connection/cell_keys.h"
#include "process/cell_requests.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Time to live of a daemon's registration without renewal.
constexpr milliseconds registrationTtl{5000};
constexpr milliseconds registrationPeriod{1500};
constexpr milliseconds storeCallLimit{1000};
/// Time limit of a renewal, after which the store is suspected to be lost and probed. A renewal takes 4 ms, or 60 times
/// as long while the store is slow.
constexpr milliseconds renewalLimit{600};
/// Pause between two watch calls on the cell's keys.
constexpr milliseconds cellWatchPause{60};
/// Interval at which a draining daemon checks whether its drain time is over and no request is open.
constexpr milliseconds drainCheckPeriod{300};

void maintainRegistration(cell_daemon &daemon, const clock_reading &now);

void writeRegistration(cell_daemon &daemon)
{
    const cell_settings &settings = daemon.context.settings;
    store_transaction transaction;
    transaction.writes.push_back(
        {cell_keys::daemonPrefix + settings.name.value, settings.peerAddress.value, daemon.registration});
    daemon.context.store.commit(
        transaction,
        storeCallLimit,
        onControlThread(daemon.context.box, [&daemon](const result<store_commit> &commit, const clock_reading &) {
            if (!commit || !commit.value().applied) {
                daemon.registration = store_lease(0);
            }
        }));
}

void openRegistration(cell_daemon &daemon)
{
    daemon.context.store.openLease(
        registrationTtl,
        storeCallLimit,
        timedOnControlThread(daemon.context,
                             cell_metrics::leaseTime,
                             [&daemon](const result<granted_lease> &lease, const clock_reading &) {
                                 if (lease) {
                                     daemon.registration = lease.value().lease;
                                     writeRegistration(daemon);
                                 }
                             }));
}

void renewRegistration(cell_daemon &daemon)
{
    daemon.context.store.renewLease(
        daemon.registration,
        renewalLimit,
        timedOnControlThread(daemon.context,
                             cell_metrics::leaseTime,
                             [&daemon](const result<granted_lease> &lease, const clock_reading &) {
                                 if (lease) {
                                     return;
                                 }
                                 if (lease.error().kind == error_kind::NotFound) {
                                     daemon.registration = store_lease(0);
                                 } else {
                                     suspectStore(daemon.intake);
                                 }
                             }));
}

void maintainRegistration(cell_daemon &daemon, const clock_reading &now)
{
    if (daemon.draining) {
        return;
    }
    subscribe(daemon.context.timers, daemon.registrationTimer, now.monotonic + registrationPeriod);
    if (daemon.registration.value == 0 || !daemon.daemons.contains(daemon.context.settings.name)) {
        openRegistration(daemon);
    } else {
        renewRegistration(daemon);
    }
}

void updateLeader(cell_daemon &daemon, const clock_reading &now)
{
    if (daemon.leader) {
        setDaemons(*daemon.leader, daemon.daemons, now);
        for (const address &peer : daemon.unreachablePeers) {
            setReachable(*daemon.leader, peer, false, now);
        }
    }
}

void applyCellItem(cell_daemon &daemon, const store_item &item, const clock_reading &now)
{
    if (item.key == cell_keys::leader) {
        daemon.leaderName = daemon_id(item.value.substr(0, item.value.find(' ')));
        onLeaderKeyChange(*daemon.election, item, now);
    } else if (item.key == cell_keys::term) {
        onTermKeyChange(*daemon.election, item, now);
    } else if (item.key == cell_keys::load) {
        if (auto load = decodeLoad(item.value)) {
            daemon.load = std::move(load.value());
            daemon.loadAt = daemon.keysListed ? std::optional(now.uptime) : std::nullopt;
        } else {
            log_event("cell_load_malformed", log_level::Error).with("problem", load.error().message);
        }
    } else if (item.key.starts_with(cell_keys::daemonPrefix)) {
        daemon.daemons[daemon_id(item.key.substr(cell_keys::daemonPrefix.size()))] = address(item.value);
        updateLeader(daemon, now);
    }
}

void applyCellRemoval(cell_daemon &daemon, const std::string &key, const clock_reading &now)
{
    if (key == cell_keys::leader) {
        daemon.leaderName.reset();
        onLeaderKeyChange(*daemon.election, {key, {}, store_revision(0)}, now);
    } else if (key.starts_with(cell_keys::daemonPrefix)) {
        daemon.daemons.erase(daemon_id(key.substr(cell_keys::daemonPrefix.size())));
        updateLeader(daemon, now);
    }
}

void followCellKeys(cell_daemon &daemon)
{
    mirror_sink sink;
    sink.changed = [&daemon](const store_item &item, const clock_reading &now) {
        applyCellItem(daemon, item, now);
    };
    sink.removed = [&daemon](const std::string &key, const clock_reading &now) {
        applyCellRemoval(daemon, key, now);
    };
    sink.listed = [&daemon](const clock_reading &now) {
        daemon.keysListed = true;
        onKeysListed(*daemon.election, now);
        if (daemon.registration.value == 0 && !daemon.registrationTimer.is_linked()) {
            maintainRegistration(daemon, now);
        }
    };
    daemon.cellKeys = followPrefix(daemon.context.store,
                                   daemon.context.box,
                                   daemon.context.timers,
                                   cell_keys::cellPrefix,
                                   cellWatchPause,
                                   std::move(sink));
}

void startLeading(cell_daemon &daemon, fencing_token fence, const clock_reading &now)
{
    daemon.leader = beginTerm(
        daemon.context,
        fence,
        [&daemon](const char *reason) {
            log_event("term_conceded", log_level::Warning).with("reason", reason);
            concede(*daemon.election, reason);
        },
        now);
    if (daemon.configuration) {
        adoptConfiguration(*daemon.leader, *daemon.configuration);
    }
    updateLeader(daemon, now);
}

void stopLeading(cell_daemon &daemon, const char *reason)
{
    if (daemon.leader) {
        endTerm(*daemon.leader, reason);
        // The caller may run inside a function of the leader, so the leader is destroyed by a later event.
        post(daemon.context.box, [ended = std::move(daemon.leader)](const clock_reading &) {});
        daemon.leader = nullptr;
    }
}

/// Keeps a payload that should not pass through the leader. In a small cell the leader makes the calls itself, and the
/// payload is stored with the job.
bool takePayload(cell_daemon &daemon, const accepted_job &job, const clock_reading &now)
{
    if (job.job.payload.size() <= daemon.context.settings.inlinePayloadBytes || !servesLeader(*daemon.executor, now)) {
        return false;
    }
    keepPayload(*daemon.payloads, job.key, job.job.payload);
    return true;
}

void adoptConfiguration(cell_daemon &daemon, const cell_configuration_ptr &configuration, const clock_reading &)
{
    if (daemon.configuration && configuration->version <= daemon.configuration->version) {
        return;
    }
    log_event("configuration")
        .with("version", configuration->version)
        .with("queues", configuration->queues.size())
        .with("services", configuration->services.size())
        .with("organisations", configuration->organisations.size());
    daemon.configuration = configuration;
    if (daemon.leader) {
        adoptConfiguration(*daemon.leader, *configuration);
    }
}

/// Returns whether callers' requests wait for the control thread. They are not among the open requests yet.
bool hasQueuedRequest(mailbox &box)
{
    const std::lock_guard lock(box.mutex);
    return box.requests > 0;
}

void finishDrainIfIdle(cell_daemon &daemon, const clock_reading &now)
{
    const bool served = now.uptime >= daemon.drainSince + daemon.context.settings.limits.drainTime;
    if (served && daemon.openRequests == 0 && !hasQueuedRequest(daemon.context.box)) {
        daemon.finished = true;
        return;
    }
    subscribe(daemon.context.timers, daemon.drainTimer, now.monotonic + drainCheckPeriod);
}

} // namespace

std::unique_ptr<cell_daemon> startCellDaemon(cell_context &context)
{
    auto daemon = std::make_unique<cell_daemon>(context);
    cell_daemon *self = daemon.get();
    daemon->intake = std::make_shared<job_intake>(context);
    daemon->intake->announce = [self](const accepted_jobs &message, const clock_reading &now) {
        announceToLeader(*self, message, now);
    };
    daemon->relay = std::make_shared<job_relay>(context);
    daemon->executor = std::make_shared<worker_executor>(context);
    daemon->payloads = std::make_shared<payload_cache>(context);
    daemon->intake->takePayload = [self](const accepted_job &job, const clock_reading &now) {
        return takePayload(*self, job, now);
    };
    context.loadPayload = [payloads = daemon->payloads](const job_key &job,
                                                        const address &source,
                                                        payload_callback done,
                                                        const clock_reading &now) {
        loadPayload(payloads, job, source, std::move(done), now);
    };
    daemon->statusQueries = std::make_shared<status_queries>(
        context, [self](const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now) {
            readStatus(*self, key, timeout, std::move(done), now);
        });
    election_sink sink;
    sink.found = [self](const store_item &item, const clock_reading &now) {
        learnItem(*self->cellKeys, item, now);
    };
    sink.won = [self](fencing_token fence, const clock_reading &now) {
        startLeading(*self, fence, now);
    };
    sink.lost = [self](const char *reason) {
        stopLeading(*self, reason);
    };
    daemon->election = joinElection(context, std::move(sink));
    daemon->registrationTimer.fire = [self](const clock_reading &now) {
        maintainRegistration(*self, now);
    };
    daemon->drainTimer.fire = [self](const clock_reading &now) {
        finishDrainIfIdle(*self, now);
    };
    daemon->configurationFollower =
        context.configuration.follow([self](const cell_configuration_ptr &configuration, const clock_reading &now) {
            adoptConfiguration(*self, configuration, now);
        });
    followCellKeys(*daemon);
    return daemon;
}

void drainCellDaemon(cell_daemon &daemon, const clock_reading &now)
{
    if (daemon.draining) {
        return;
    }
    log_event("draining").with("daemon", daemon.context.settings.name).with("leading", daemon.leader != nullptr);
    daemon.draining = true;
    daemon.drainSince = now.uptime;
    withdraw(*daemon.election);
    if (daemon.registration.value != 0) {
        daemon.context.store.endLease(daemon.registration, storeCallLimit, [](const result<granted_lease> &) {});
    }
    finishDrainIfIdle(daemon, now);
}

void abandonTerm(cell_daemon &daemon, const char *reason)
{
    if (daemon.leader) {
        daemon.leader->stepDown(reason);
    }
}

void setPeerReachable(cell_daemon &daemon, const address &peer, bool reachable, const clock_reading &now)
{
    if (reachable) {
        daemon.unreachablePeers.erase(peer);
    } else {
        daemon.unreachablePeers.insert(peer);
    }
    if (daemon.leader) {
        setReachable(*daemon.leader, peer, reachable, now);
    }
}

void settleCellDaemon(cell_daemon &daemon, const clock_reading &now)
{
    settleIntake(daemon.intake, now);
    if (daemon.intake->storeLost && !daemon.draining) {
        probeRelayPeers(daemon.relay, daemon.daemons, now);
    }
    // A daemon that has lost the store accepts no new connections, since another daemon may still reach the store.
    daemon.ready = daemon.configuration && !daemon.draining && !daemon.intake->storeLost;
    // The term may end on the way, which resets daemon.leader.
    if (const auto leader = daemon.leader) {
        settleTerm(leader, now);
    }
    flushOutcomes(*daemon.executor, now);
}

} // namespace sesamespar
