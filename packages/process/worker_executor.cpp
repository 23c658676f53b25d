#include "process/worker_executor.h"

#include "base/log.h"

namespace sesamespar {

namespace {

/// Number of outcomes that are sent in one message. A report has up to 500 rows of 60 bytes, a message up to 1 MB.
constexpr std::size_t maxOutcomes = 16;

/// Time after the latest calls of a leader for which this daemon assumes that the leader delegates its calls.
constexpr milliseconds delegationMemory{10000};

milliseconds uptimeOf(const clock_reading &now)
{
    return std::chrono::duration_cast<milliseconds>(now.uptime.time_since_epoch());
}

bool isValid(const worker_executor &executor,
             const std::optional<executor_permission> &permission,
             const clock_reading &now)
{
    return permission && permission->process == executor.context.incarnation
        && uptimeOf(now) <= permission->issuedAt + permissionValidity;
}

void sendOutcomes(worker_executor &executor, const address &to, worker_outcome_batch &batch, const clock_reading &now)
{
    batch.from = executor.context.settings.name;
    batch.dataCentre = executor.context.settings.dataCentre;
    batch.highestFence = executor.highestFence;
    batch.permission = {executor.context.incarnation, uptimeOf(now)};
    executor.context.sendToPeer(to, batch);
    batch.refused.clear();
    batch.outcomes.clear();
}

/// Returns the callback of a call that adds the outcome to the replies for the leader.
template<typename Reply>
auto collectOutcome(const std::shared_ptr<worker_executor> &executor,
                    const worker_call_batch &batch,
                    call_number number)
{
    return onControlThread(executor->context.box,
                           [executor, leader = std::pair(batch.answerTo, batch.fence), number](
                               const result<Reply> &reply, const clock_reading &now) {
                               worker_outcome_batch &outcomes = executor->replies[leader];
                               worker_call_outcome outcome{number, {}};
                               if (reply) {
                                   outcome.result = reply.value();
                               } else {
                                   outcome.result = reply.error();
                               }
                               outcomes.outcomes.push_back(std::move(outcome));
                               if (outcomes.outcomes.size() >= maxOutcomes) {
                                   outcomes.term = leader.second;
                                   sendOutcomes(*executor, leader.first, outcomes, now);
                                   executor->replies.erase(leader);
                               }
                           });
}

/// Starts a run whose payload is stored apart from its job. The permission may expire while the payload is loaded.
void startWithPayload(const std::shared_ptr<worker_executor> &executor,
                      const worker_call_batch &batch,
                      const worker_call &call,
                      start_order order,
                      const clock_reading &now)
{
    const job_key job = order.task.job;
    const address source = *order.payloadSource;
    const auto collect = collectOutcome<order_reply>(executor, batch, call.number);
    executor->context.loadPayload(
        job,
        source,
        [executor,
         order = std::move(order),
         collect,
         target = call.target,
         limit = call.limit,
         fence = batch.fence,
         permission = batch.permission](const result<std::string> &payload, const clock_reading &when) mutable {
            if (!payload) {
                collect(result<order_reply>(
                    makeError(error_kind::Unreachable, "payload not loaded: " + payload.error().message)));
            } else if (fence < executor->highestFence || !isValid(*executor, permission, when)) {
                collect(result<order_reply>(
                    makeError(error_kind::Unreachable, "permission expired while the payload was loaded")));
            } else {
                order.payload = payload.value();
                executor->context.workers.start(target, order, limit, collect);
            }
        },
        now);
}

void makeCall(const std::shared_ptr<worker_executor> &executor,
              const worker_call_batch &batch,
              const worker_call &call,
              const clock_reading &now)
{
    const worker_port &workers = executor->context.workers;
    if (const auto *start = std::get_if<start_order>(&call.order)) {
        if (start->payloadSource) {
            startWithPayload(executor, batch, call, *start, now);
        } else {
            workers.start(call.target, *start, call.limit, collectOutcome<order_reply>(executor, batch, call.number));
        }
    } else if (const auto *stop = std::get_if<stop_order>(&call.order)) {
        workers.stop(call.target, *stop, call.limit, collectOutcome<order_reply>(executor, batch, call.number));
    } else {
        workers.poll(call.target,
                     std::get<worker_poll>(call.order),
                     call.limit,
                     collectOutcome<worker_report>(executor, batch, call.number));
    }
}

} // namespace

void handleCallBatch(const std::shared_ptr<worker_executor> &executor,
                     const worker_call_batch &batch,
                     const clock_reading &now)
{
    const bool outdated = batch.fence < executor->highestFence;
    executor->highestFence = std::max(executor->highestFence, batch.fence);
    if (!outdated && !batch.calls.empty()) {
        executor->calledAt = now.uptime;
    }
    if (!outdated && !batch.calls.empty() && isValid(*executor, batch.permission, now)) {
        for (const worker_call &call : batch.calls) {
            makeCall(executor, batch, call, now);
        }
        return;
    }
    worker_outcome_batch refusal;
    refusal.term = batch.fence;
    for (const worker_call &call : batch.calls) {
        refusal.refused.push_back(call.number);
    }
    if (!batch.calls.empty()) {
        addCount(*executor->context.counters, cell_metrics::callsRefused, batch.calls.size());
        log_event("worker_calls_refused", log_level::Warning)
            .with("calls", batch.calls.size())
            .with("fence", batch.fence)
            .with("reason", outdated ? "a later term has begun" : "the permission is missing or has expired");
    }
    sendOutcomes(*executor, batch.answerTo, refusal, now);
}

bool servesLeader(const worker_executor &executor, const clock_reading &now)
{
    return executor.calledAt && now.uptime < *executor.calledAt + delegationMemory;
}

void flushOutcomes(worker_executor &executor, const clock_reading &now)
{
    for (auto &[leader, batch] : std::exchange(executor.replies, {})) {
        batch.term = leader.second;
        sendOutcomes(executor, leader.first, batch, now);
    }
}

} // namespace sesamespar
