#include "process/cell_requests.h"

#include "base/log.h"
#include "connection/cell_codec.h"
#include "process/job_queries.h"
#include "request/admission_decision.h"
#include "term/advice_dispatch.h"
#include "term/cell_recovery.h"
#include "version/organisation_check.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Retry-After of requests that arrive before the first configuration was read, or that could not be handled.
constexpr milliseconds startRetryAfter{1000};

/// Time limit of the read before a refusal because of the load: that of one call to the store.
constexpr milliseconds storedCheckTimeout = milliseconds(600) + answerMargin;

/// Retry-After of jobs that exceed the limit of their organisation; only a new configuration can change that.
constexpr milliseconds limitRetryAfter{60000};

/// Part of the path after the queue's prefix.
std::string pathAfterQueue(const caller_request &request, const queue_declaration &queue)
{
    return request.path.substr(queue.pathPrefix.size());
}

/// Returns a step of the job that can never run because its gang, or one of its tasks, alone exceeds the limit of the
/// organisation, or null. Steps without a gang run in waves.
const job_step *
findStepAboveLimit(const cell_configuration &configuration, const organisation_id &organisation, const stepped_job &job)
{
    const organisation_declaration *declared = findOrganisation(configuration, organisation);
    if (declared == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(job.steps.begin(), job.steps.end(), [declared](const job_step &step) {
        return exceedsLimit(declared->limit, step.need, step.gang ? step.count : 1);
    });
    return found == job.steps.end() ? nullptr : &*found;
}

/// Counts a request as open until its callback runs.
caller_done countWhileOpen(cell_daemon &daemon, caller_done done)
{
    ++daemon.openRequests;
    return [&daemon, done = std::move(done)](const caller_answer &answer) {
        --daemon.openRequests;
        done(answer);
    };
}

void refuseWithoutStore(const cell_daemon &daemon,
                        const job_key &key,
                        const caller_done &done,
                        const clock_reading &now)
{
    const milliseconds retryAfter = retryAfterOutage(*daemon.intake, key, now.uptime, now);
    addCount(*daemon.context.counters, cell_metrics::storeLostRefusals);
    log_event("store_lost_refusal")
        .with("job", key)
        .with("down_ms", std::chrono::duration_cast<milliseconds>(now.uptime - daemon.intake->lostSince).count())
        .with("retry_after_ms", retryAfter.count());
    done(call_refused{"the store cannot be reached", retryAfter});
}

void logLoadRefusal(const accepted_job &job, const admission_decision &decision, milliseconds loadAge)
{
    log_event("job_refused")
        .with("job", job.key)
        .with("queue", job.policy.queue)
        .with("organisation", job.organisation)
        .with("priority", job.policy.priority)
        .with("work_core_ms", static_cast<std::int64_t>(decision.work))
        .with("chain_ms", decision.chain.count())
        .with("objective_ms", decision.objective.count())
        .with("in_time_ahead_core_ms", decision.inTimeAhead)
        .with("late_ahead_core_ms", decision.lateAhead)
        .with("millicores", decision.processors)
        .with("wait_ms", decision.wait.count())
        .with("returning", decision.returning)
        .with("margin", decision.margin)
        .with("load_age_ms", loadAge.count())
        .with("retry_after_ms", decision.retryAfter.count());
}

/// Refuses a job because of the load, unless it is stored already: an earlier submission may have been answered as
/// unknown, and a refused job must never run. Without an answer of the store it is refused, since nothing was stored
/// for this request.
void refuseUnlessStored(cell_daemon &daemon,
                        const accepted_job &job,
                        const admission_decision &decision,
                        milliseconds loadAge,
                        caller_done done,
                        const clock_reading &now)
{
    const auto answer = [&daemon, job, decision, loadAge, done = std::move(done)](const caller_answer &found) {
        if (std::holds_alternative<job_status>(found)) {
            addCount(*daemon.context.counters, cell_metrics::jobsKnown);
            done(job_accepted{});
            return;
        }
        logLoadRefusal(job, decision, loadAge);
        addCount(*daemon.context.counters, cell_metrics::jobsRefused);
        addCount(*daemon.context.counters, cell_metrics::loadRefusals);
        done(call_refused{
            "the cell has too much work to complete the job in time", decision.retryAfter, refusal_cause::Load});
    };
    queryJob(daemon.context, job.key, storedCheckTimeout, answer, now);
}

/// Refuses the job if the cell has too much work to complete it in time. Returns false if it is to be stored.
bool refuseForLoad(cell_daemon &daemon, const accepted_job &job, const caller_done &done, const clock_reading &now)
{
    if (!daemon.loadAt || daemon.intake->storeLost) {
        return false;
    }
    const auto loadAge = std::chrono::duration_cast<milliseconds>(now.uptime - *daemon.loadAt);
    const admission_decision decision = decideAdmission(daemon.load, loadAge, job);
    if (decision.refused) {
        refuseUnlessStored(daemon, job, decision, loadAge, countWhileOpen(daemon, done), now);
    }
    return decision.refused;
}

/// Refuses a job that exceeds the limit of its organisation, unless it was accepted before the limit was lowered. Such
/// a job will run, so a refusal of its resubmission would be wrong.
void refuseAboveLimit(cell_daemon &daemon,
                      const caller_request &request,
                      const job_key &key,
                      const caller_done &done,
                      const clock_reading &now)
{
    const auto refuse = [&daemon, done] {
        addCount(*daemon.context.counters, cell_metrics::jobsRefused);
        done(call_refused{
            "a step of the job exceeds the limit of its organisation", limitRetryAfter, refusal_cause::Load});
    };
    if (daemon.intake->storeLost) {
        refuse();
        return;
    }
    const auto answerKnown = [&daemon, refuse, done](const caller_answer &state) {
        if (std::holds_alternative<no_such_job>(state)) {
            refuse();
        } else if (std::holds_alternative<job_status>(state)) {
            addCount(*daemon.context.counters, cell_metrics::jobsKnown);
            done(job_accepted{});
        } else {
            done(state);
        }
    };
    queryJob(daemon.context, key, request.timeout, countWhileOpen(daemon, answerKnown), now);
}

void submitJob(cell_daemon &daemon,
               const caller_request &request,
               const submit_call &call,
               const queue_declaration &queue,
               const organisation_id &organisation,
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
    if (const job_step *step = findStepAboveLimit(*daemon.configuration, organisation, call.job)) {
        log_event("job_above_limit")
            .with("job", key)
            .with("queue", queue.policy.queue)
            .with("organisation", organisation)
            .with("tasks", step->count)
            .with("task_millicores", step->need.processors);
        refuseAboveLimit(daemon, request, key, done, now);
        return;
    }
    accepted_job job{key, call.job, queue.policy, now.utc, organisation};
    if (refuseForLoad(daemon, job, done, now)) {
        return;
    }
    if (!daemon.intake->storeLost) {
        enqueueJob(*daemon.intake, std::move(job), request.timeout, countWhileOpen(daemon, std::move(done)), now);
    } else if (canRelay(*daemon.relay, daemon.unreachablePeers, now)) {
        const milliseconds retryAfter = retryAfterOutage(*daemon.intake, key, now.uptime, now);
        relayJob(daemon.relay, job, request.timeout, retryAfter, countWhileOpen(daemon, std::move(done)), now);
    } else {
        refuseWithoutStore(daemon, key, done, now);
    }
}

/// Answers with the state of a job: from memory if this daemon leads, else from the leader's reply, else from the
/// store.
void answerStatus(
    cell_daemon &daemon, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now)
{
    if (daemon.leader) {
        if (const auto phase = visiblePhase(*daemon.leader, key)) {
            done(job_status{*phase});
            return;
        }
    } else if (daemon.leaderName) {
        const auto found = daemon.daemons.find(*daemon.leaderName);
        if (found != daemon.daemons.end()) {
            queryStatus(daemon.statusQueries, found->second, key, timeout, std::move(done), now);
            return;
        }
    }
    readStatus(daemon, key, timeout, std::move(done), now);
}

/// Replies to a status query of another daemon from memory; the reply is empty unless this daemon leads.
void handleMessage(cell_daemon &daemon, const status_query &query, const clock_reading &)
{
    status_reply reply;
    reply.correlation = query.correlation;
    if (daemon.leader) {
        reply.phase = visiblePhase(*daemon.leader, query.job);
    }
    daemon.context.sendToPeer(query.answerTo, reply);
}

/// Replies whether this daemon can store jobs for the sender.
void handleMessage(cell_daemon &daemon, const relay_probe &probe, const clock_reading &)
{
    daemon.context.sendToPeer(probe.answerTo, relay_offer{daemon.context.settings.peerAddress, daemon.ready});
}

/// Stores a job for another daemon and sends the outcome back.
void handleMessage(cell_daemon &daemon, const relayed_job &relayed, const clock_reading &now)
{
    const auto answer = [&daemon, to = relayed.answerTo, correlation = relayed.correlation](relay_result result) {
        daemon.context.sendToPeer(to, relay_outcome{correlation, result});
    };
    auto job = decodeAcceptedJob(relayed.key, relayed.job);
    if (!job || !daemon.ready) {
        answer(relay_result::Refused);
        return;
    }
    enqueueJob(*daemon.intake,
               std::move(job.value()),
               relayed.limit,
               countWhileOpen(daemon,
                              [answer](const caller_answer &given) {
                                  if (std::holds_alternative<job_accepted>(given)) {
                                      answer(relay_result::Stored);
                                  } else if (std::holds_alternative<call_refused>(given)) {
                                      answer(relay_result::Refused);
                                  } else {
                                      answer(relay_result::Unknown);
                                  }
                              }),
               now);
}

void handleMessage(cell_daemon &daemon, const advice_proxy_request &request, const clock_reading &)
{
    addCount(*daemon.context.counters, cell_metrics::adviceProxied);
    const time_point began = std::chrono::steady_clock::now();
    daemon.context.advice.callAdvisor(
        request.request,
        {request.limit, request.limit + adviceLateness},
        [&daemon, began, to = request.answerTo, correlation = request.correlation](result<advice_response> answer) {
            advice_proxy_response reply;
            reply.correlation = correlation;
            reply.advisorTime = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - began);
            if (answer) {
                reply.answer = std::move(answer.value());
            } else {
                reply.problem = answer.error().message;
            }
            daemon.context.sendToPeer(to, reply);
        });
}

void handleMessage(cell_daemon &daemon, const advice_proxy_response &answer, const clock_reading &now)
{
    if (daemon.leader) {
        handleProxyResponse(*daemon.leader, answer, now);
    }
}

void handleMessage(cell_daemon &daemon, const worker_call_batch &batch, const clock_reading &now)
{
    if (daemon.leader && daemon.leader->fence < batch.fence) {
        abandonTerm(daemon, "the leader of a later term has sent calls");
    }
    handleCallBatch(daemon.executor, batch, now);
}

void handleMessage(cell_daemon &daemon, const worker_outcome_batch &batch, const clock_reading &now)
{
    // The term may end on the way, which resets daemon.leader.
    if (const auto leader = daemon.leader) {
        handleOutcomes(leader, batch, now);
    }
}

void handleMessage(cell_daemon &daemon, const payload_request &request, const clock_reading &)
{
    handlePayloadRequest(*daemon.payloads, request);
}

void handleMessage(cell_daemon &daemon, const payload_reply &reply, const clock_reading &now)
{
    handlePayloadReply(daemon.payloads, reply, now);
}

void handleMessage(cell_daemon &daemon, const accepted_jobs &message, const clock_reading &now)
{
    if (daemon.leader) {
        learnStoredJobs(*daemon.leader, message, now);
    }
}

void handleMessage(cell_daemon &daemon, const status_reply &reply, const clock_reading &now)
{
    handleStatusReply(*daemon.statusQueries, reply, now);
}

void handleMessage(cell_daemon &daemon, const relay_offer &offer, const clock_reading &now)
{
    onRelayOffer(*daemon.relay, offer, now);
}

void handleMessage(cell_daemon &daemon, const relay_outcome &outcome, const clock_reading &now)
{
    onRelayOutcome(*daemon.relay, outcome, now);
}

} // namespace

void announceToLeader(cell_daemon &daemon, const accepted_jobs &message, const clock_reading &now)
{
    if (daemon.leader) {
        learnStoredJobs(*daemon.leader, message, now);
    } else if (daemon.leaderName) {
        const auto found = daemon.daemons.find(*daemon.leaderName);
        if (found != daemon.daemons.end()) {
            daemon.context.sendToPeer(found->second, message);
        }
    }
}

void handleDaemonMessage(cell_daemon &daemon, const daemon_message &message, const clock_reading &now)
{
    const auto take = [&daemon, &now](const auto &single) {
        handleMessage(daemon, single, now);
    };
    std::visit(take, message);
}

void handleCallerRequest(cell_daemon &daemon, caller_request request, caller_done done, const clock_reading &now)
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
    const auto organisation = identifyOrganisation(*daemon.configuration, *queue, request.key);
    if (!organisation) {
        addCount(*daemon.context.counters, cell_metrics::keysRejected);
        log_event("key_rejected")
            .with("job", pathAfterQueue(request, *queue))
            .with("queue", queue->policy.queue)
            .with("has_key", !request.key.value.empty())
            .with("version", daemon.configuration->version);
        done(key_rejected{});
        return;
    }
    const std::string rest = pathAfterQueue(request, *queue);
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
        answerStatus(daemon, key, request.timeout, countWhileOpen(daemon, std::move(done)), now);
    } else if (const auto *submit = std::get_if<submit_call>(&request.call)) {
        submitJob(daemon, request, *submit, *queue, *organisation, key, std::move(done), now);
    } else if (daemon.intake->storeLost) {
        refuseWithoutStore(daemon, key, done, now);
    } else {
        requestCancel(daemon.context, key, request.timeout, countWhileOpen(daemon, std::move(done)), now);
    }
}

caller_answer answerAfterError(const cell_daemon &daemon, const caller_request &request)
{
    const auto isOfRequest = [&request](const job_key &key) {
        return request.path.ends_with(key.value);
    };
    const auto &queued = daemon.intake->waiting;
    const auto &relayed = daemon.relay->open;
    // A transaction is sent only after the batch of events, so a job of this request that is not queued is in none.
    const bool takenOver =
        std::any_of(queued.begin(), queued.end(), [&](const auto &job) { return isOfRequest(job.job.key); })
        || std::any_of(
            relayed.begin(), relayed.end(), [&](const auto &entry) { return isOfRequest(entry.second.key); });
    if (std::holds_alternative<submit_call>(request.call) && !takenOver) {
        return call_refused{"the request could not be handled", startRetryAfter};
    }
    return outcome_unknown{"the handling of the request ended with an error"};
}

void readStatus(
    cell_daemon &daemon, const job_key &key, milliseconds timeout, caller_done done, const clock_reading &now)
{
    if (daemon.intake->storeLost) {
        refuseWithoutStore(daemon, key, done, now);
    } else {
        queryJob(daemon.context, key, timeout, std::move(done), now);
    }
}

} // namespace sesamespar
