#include "process/cell_daemon.h"

#include "base/log.h"
#include "connection/cell_codec.h"
#include "connection/cell_keys.h"
#include "process/job_queries.h"
#include "term/advice_desk.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Life of a daemon's registration without renewal.
constexpr milliseconds registrationLength{5000};
constexpr milliseconds registrationPeriod{1500};
constexpr milliseconds storeLimit{1000};
/// Limit of a renewal, after which the store counts as suspect. It takes 4 ms, or 60 times as long while it is slow.
constexpr milliseconds renewalLimit{600};
/// Pause between two watches of the cell's keys.
constexpr milliseconds cellWatchPause{60};
/// Retry-After before the first configuration has arrived.
constexpr milliseconds startRetryAfter{1000};
/// Retry-After while the store cannot be reached. Outages last 4 to 9 s and callers come again four times, so that
/// with 1 s their tries are used up before it is back.
constexpr milliseconds storeRetryAfter{2000};
/// Period in which a draining daemon looks whether its time is over and no request is open.
constexpr milliseconds drainCheckPeriod{300};

void keepRegistered(cell_daemon &daemon, const clock_reading &now);

void writeRegistration(cell_daemon &daemon)
{
    const cell_settings &settings = daemon.context.settings;
    store_transaction transaction;
    transaction.writes.push_back(
        {cell_keys::daemonPrefix + settings.name.value, settings.peerAddress.value, daemon.registration});
    daemon.context.store.commit(
        transaction,
        storeLimit,
        onControlThread(daemon.context.box, [&daemon](const result<store_commit> &commit, const clock_reading &) {
            if (!commit || !commit.value().applied) {
                daemon.registration = store_lease(0);
            }
        }));
}

void openRegistration(cell_daemon &daemon)
{
    daemon.context.store.openLease(
        registrationLength,
        storeLimit,
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

void keepRegistered(cell_daemon &daemon, const clock_reading &now)
{
    if (daemon.draining) {
        return;
    }
    if (daemon.registration.value == 0 || !daemon.daemons.contains(daemon.context.settings.name)) {
        openRegistration(daemon);
    } else {
        renewRegistration(daemon);
    }
    subscribe(daemon.context.timers, daemon.registrationTimer, now.monotonic + registrationPeriod);
}

void updateHands(cell_daemon &daemon)
{
    if (daemon.leader) {
        setHands(*daemon.leader, daemon.daemons);
    }
}

void takeCellItem(cell_daemon &daemon, const store_item &item, const clock_reading &now)
{
    if (item.key == cell_keys::leader) {
        daemon.leaderName = daemon_id(item.value.substr(0, item.value.find(' ')));
        noteLeaderKey(*daemon.election, item, now);
    } else if (item.key == cell_keys::term) {
        noteTermKey(*daemon.election, item, now);
    } else if (item.key == cell_keys::load) {
        if (auto load = decodeLoad(item.value)) {
            daemon.load = std::move(load.value());
        } else {
            log_event("cell_load_malformed", log_level::Error).with("problem", load.error().message);
        }
    } else if (item.key.starts_with(cell_keys::daemonPrefix)) {
        daemon.daemons[daemon_id(item.key.substr(cell_keys::daemonPrefix.size()))] = address(item.value);
        updateHands(daemon);
    }
}

void takeCellRemoval(cell_daemon &daemon, const std::string &key, const clock_reading &now)
{
    if (key == cell_keys::leader) {
        daemon.leaderName.reset();
        noteLeaderKey(*daemon.election, {key, {}, store_revision(0)}, now);
    } else if (key.starts_with(cell_keys::daemonPrefix)) {
        daemon.daemons.erase(daemon_id(key.substr(cell_keys::daemonPrefix.size())));
        updateHands(daemon);
    }
}

void followCellKeys(cell_daemon &daemon)
{
    mirror_sink sink;
    sink.changed = [&daemon](const store_item &item, const clock_reading &now) {
        takeCellItem(daemon, item, now);
    };
    sink.removed = [&daemon](const std::string &key, const clock_reading &now) {
        takeCellRemoval(daemon, key, now);
    };
    sink.listed = [&daemon](const clock_reading &now) {
        noteKeysListed(*daemon.election, now);
        if (daemon.registration.value == 0 && !daemon.registrationTimer.is_linked()) {
            keepRegistered(daemon, now);
        }
    };
    daemon.cellKeys = followPrefix(daemon.context.store,
                                   daemon.context.box,
                                   daemon.context.timers,
                                   cell_keys::cellPrefix,
                                   cellWatchPause,
                                   std::move(sink));
}

void lead(cell_daemon &daemon, fencing_token fence, const clock_reading &now)
{
    daemon.leader = beginTerm(
        daemon.context,
        fence,
        [&daemon](const char *reason) {
            log_event("term_conceded", log_level::Warning).with("reason", reason);
            concede(*daemon.election);
        },
        now);
    updateHands(daemon);
}

void follow(cell_daemon &daemon, const char *reason)
{
    if (daemon.leader) {
        endTerm(*daemon.leader, reason);
        // The term is still in use further up the stack.
        post(daemon.context.box, [ended = std::move(daemon.leader)](const clock_reading &) {});
        daemon.leader = nullptr;
    }
}

void takeConfiguration(cell_daemon &daemon, const cell_configuration_ptr &configuration, const clock_reading &)
{
    if (daemon.configuration && configuration->version <= daemon.configuration->version) {
        return;
    }
    log_event("configuration")
        .with("version", configuration->version)
        .with("queues", configuration->queues.size())
        .with("services", configuration->services.size());
    daemon.configuration = configuration;
}

/// Part of the path after the queue's prefix.
std::string restOf(const caller_request &request, const queue_declaration &queue)
{
    return request.path.substr(queue.pathPrefix.size());
}

/// Counts a request as open until it is answered.
caller_done countOpen(cell_daemon &daemon, caller_done done)
{
    ++daemon.openRequests;
    return [&daemon, done = std::move(done)](const caller_answer &answer) {
        --daemon.openRequests;
        done(answer);
    };
}

void refuseWithoutStore(const cell_daemon &daemon, const job_key &key, const caller_done &done)
{
    addCount(*daemon.context.counters, cell_metrics::storeLostRefusals);
    log_event("store_lost_refusal").with("job", key);
    done(call_refused{"the store cannot be reached", storeRetryAfter});
}

void submitJob(cell_daemon &daemon,
               const caller_request &request,
               const submit_call &call,
               const queue_declaration &queue,
               const job_key &key,
               caller_done done,
               const clock_reading &now)
{
    if (!call.problem.empty()) {
        addCount(*daemon.context.counters, cell_metrics::jobsMalformed);
        log_event("job_malformed", log_level::Warning).with("job", key).with("problem", call.problem);
        done(call_malformed{call.problem});
        return;
    }
    const auto load = daemon.load.queues.find(queue.policy.queue);
    if (load != daemon.load.queues.end() && load->second.refusing) {
        log_event("job_refused")
            .with("job", key)
            .with("queue", queue.policy.queue)
            .with("pending", load->second.pending)
            .with("retry_after_ms", load->second.retryAfter.count());
        addCount(*daemon.context.counters, cell_metrics::jobsRefused);
        done(call_refused{"the queue is full", load->second.retryAfter});
        return;
    }
    takeIn(*daemon.intake,
           {key, call.job, queue.policy, now.utc},
           request.patience,
           countOpen(daemon, std::move(done)),
           now);
}

/// Reads the state of a job from the store, or refuses at once while the store is lost.
void readStatus(
    cell_daemon &daemon, const job_key &key, milliseconds patience, caller_done done, const clock_reading &now)
{
    if (daemon.intake->storeLost) {
        refuseWithoutStore(daemon, key, done);
    } else {
        queryJob(daemon.context, key, patience, std::move(done), now);
    }
}

/// Answers with the state of a job: from memory if this daemon leads, else from the leader, else from the store.
void answerStatus(
    cell_daemon &daemon, const job_key &key, milliseconds patience, caller_done done, const clock_reading &now)
{
    if (daemon.leader) {
        if (const auto phase = tellablePhase(*daemon.leader, key)) {
            done(job_status{*phase});
            return;
        }
    } else if (daemon.leaderName) {
        const auto found = daemon.daemons.find(*daemon.leaderName);
        if (found != daemon.daemons.end()) {
            askStatus(daemon.statuses, found->second, key, patience, std::move(done), now);
            return;
        }
    }
    readStatus(daemon, key, patience, std::move(done), now);
}

/// Answers another daemon that asks the leader.
void answerPeer(const cell_daemon &daemon, const status_question &asked)
{
    status_answer reply;
    reply.correlation = asked.correlation;
    if (daemon.leader) {
        reply.phase = tellablePhase(*daemon.leader, asked.job);
    }
    daemon.context.sendToPeer(asked.answerTo, reply);
}

void endIfQuiet(cell_daemon &daemon, const clock_reading &now)
{
    const bool served = now.uptime >= daemon.drainSince + daemon.context.settings.limits.drainTime;
    if (served && daemon.openRequests == 0) {
        daemon.over = true;
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
    daemon->statuses = std::make_shared<status_desk>(
        context, [self](const job_key &key, milliseconds patience, caller_done done, const clock_reading &now) {
            readStatus(*self, key, patience, std::move(done), now);
        });
    election_sink sink;
    sink.won = [self](fencing_token fence, const clock_reading &now) {
        lead(*self, fence, now);
    };
    sink.lost = [self](const char *reason) {
        follow(*self, reason);
    };
    daemon->election = joinElection(context, std::move(sink));
    daemon->registrationTimer.fire = [self](const clock_reading &now) {
        keepRegistered(*self, now);
    };
    daemon->drainTimer.fire = [self](const clock_reading &now) {
        endIfQuiet(*self, now);
    };
    daemon->configurationFollower =
        context.configuration.follow([self](const cell_configuration_ptr &configuration, const clock_reading &now) {
            takeConfiguration(*self, configuration, now);
        });
    followCellKeys(*daemon);
    return daemon;
}

void takeDaemonMessage(cell_daemon &daemon, const daemon_message &message, const clock_reading &now)
{
    if (const auto *answer = std::get_if<hand_answer>(&message)) {
        if (daemon.leader) {
            const result<advice_answer> outcome = answer->problem.empty()
                ? result<advice_answer>(answer->answer)
                : result<advice_answer>(makeError(error_kind::Unknown, answer->problem));
            takeHandAnswer(*daemon.leader, answer->correlation, outcome, now);
        }
        return;
    }
    if (const auto *question = std::get_if<status_question>(&message)) {
        answerPeer(daemon, *question);
        return;
    }
    if (const auto *status = std::get_if<status_answer>(&message)) {
        takeStatusAnswer(*daemon.statuses, *status, now);
        return;
    }
    const auto &asked = std::get<hand_question>(message);
    daemon.context.advice.ask(
        asked.question,
        asked.limit,
        [&daemon, to = asked.answerTo, correlation = asked.correlation](result<advice_answer> answer) {
            hand_answer reply;
            reply.correlation = correlation;
            if (answer) {
                reply.answer = std::move(answer.value());
            } else {
                reply.problem = answer.error().message;
            }
            daemon.context.sendToPeer(to, reply);
        });
}

void takeCallerRequest(cell_daemon &daemon, caller_request request, caller_done done, const clock_reading &now)
{
    if (!daemon.configuration) {
        done(call_refused{"no configuration has been read yet", startRetryAfter});
        return;
    }
    const queue_declaration *queue = findQueue(*daemon.configuration, request.host, request.path);
    if (queue == nullptr) {
        addCount(*daemon.context.counters, cell_metrics::noQueue);
        log_event("no_such_queue")
            .with("host", request.host)
            .with("path", request.path)
            .with("version", daemon.configuration->version);
        done(no_such_queue{});
        return;
    }
    const std::string rest = restOf(request, *queue);
    if (std::holds_alternative<count_call>(request.call)
        || (rest.empty() && std::holds_alternative<status_call>(request.call))) {
        const auto load = daemon.load.queues.find(queue->policy.queue);
        done(queue_count{load == daemon.load.queues.end() ? 0 : load->second.pending});
        return;
    }
    if (!isJobKey(rest)) {
        done(call_malformed{"the path does not end with a job key of 16 hexadecimal digits"});
        return;
    }
    const job_key key(rest);
    if (std::holds_alternative<status_call>(request.call)) {
        answerStatus(daemon, key, request.patience, countOpen(daemon, std::move(done)), now);
    } else if (daemon.intake->storeLost) {
        refuseWithoutStore(daemon, key, done);
    } else if (const auto *submit = std::get_if<submit_call>(&request.call)) {
        submitJob(daemon, request, *submit, *queue, key, std::move(done), now);
    } else {
        requestCancel(daemon.context, key, request.patience, countOpen(daemon, std::move(done)), now);
    }
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
        daemon.context.store.endLease(daemon.registration, storeLimit, [](const result<granted_lease> &) {});
    }
    endIfQuiet(daemon, now);
}

void settleCellDaemon(cell_daemon &daemon, const clock_reading &now)
{
    settleIntake(daemon.intake, now);
    // Without the store no job can be taken in here; another daemon may reach it.
    daemon.ready = daemon.configuration && !daemon.draining && !daemon.intake->storeLost;
    if (daemon.leader) {
        settleTerm(daemon.leader, now);
    }
}

} // namespace sesamespar
