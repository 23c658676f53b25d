#include "term/worker_dispatch.h"

#include "base/log.h"
#include "term/cell_leader.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Time after its last answer for which an executor gets calls. Polls wait for up to 1 s, so that an executor with few
/// workers is silent for that long.
constexpr milliseconds permissionUse{2000};
/// Time after which an executor that got no calls is asked for a new permission.
constexpr milliseconds permissionRenewal{1000};
/// Period of the requests to an executor that does not answer.
constexpr milliseconds silentRetry{500};
/// Allowance beyond the limit of a call for both hops between the daemons and for the executor's queue.
constexpr milliseconds hopAllowance{200};
/// Time at the beginning of a term for which calls wait until half of the executors have answered. Without it, the
/// leader or the first executor to answer would poll all workers.
constexpr milliseconds startWait{300};
/// Time for which an executor whose call to a worker failed does not call that worker, so that a worker that one daemon
/// cannot reach is tried from others.
constexpr milliseconds failurePause{3000};
/// Number of calls in one batch. A start has up to 24 KB when encoded, a message up to 1 MB.
constexpr std::size_t maxBatchCalls = 32;

bool isUsable(const call_executor &executor, time_point uptime)
{
    return executor.permission && uptime < executor.answeredAt + permissionUse;
}

/// Mixes the hashes of a worker and an executor into a weight (the finalizer of SplitMix64).
std::uint64_t mixHashes(std::uint64_t worker, std::uint64_t executor)
{
    std::uint64_t mixed = worker ^ (executor * 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

std::string_view histogramOf(const worker_call &call)
{
    constexpr std::string_view names[] = {cell_metrics::startTime, cell_metrics::stopTime, cell_metrics::pollTime};
    return names[call.order.index()];
}

/// The lease that a call grants; empty if it extends none.
std::optional<milliseconds> leaseOf(const worker_call &call)
{
    if (const auto *start = std::get_if<start_order>(&call.order)) {
        return start->leaseUntil;
    }
    const auto *poll = std::get_if<worker_poll>(&call.order);
    return poll == nullptr ? std::nullopt : poll->leaseUntil;
}

/// Records when a call that grants the lease arrives at the latest. `limit` begins at `now`.
void recordArrival(cell_leader &leader,
                   const worker_id &id,
                   const std::optional<milliseconds> &lease,
                   milliseconds limit,
                   const clock_reading &now)
{
    const auto worker = leader.state.workers.find(id);
    if (lease && worker != leader.state.workers.end()) {
        time_point &arriveBy = worker->second->grantsArriveBy;
        arriveBy = std::max(arriveBy, now.uptime + limit);
    }
}

bool isPoll(const worker_call &call)
{
    return std::holds_alternative<worker_poll>(call.order);
}

/// True while too few executors have answered at the beginning of a term.
bool awaitsExecutors(const cell_leader &leader, time_point uptime)
{
    const auto &executors = leader.dispatch.executors;
    if (uptime >= leader.beganAt + startWait) {
        return false;
    }
    const auto usable = std::count_if(
        executors.begin(), executors.end(), [uptime](const auto &entry) { return isUsable(entry.second, uptime); });
    return static_cast<std::size_t>(usable) * 2 < executors.size();
}

bool delegates(const cell_leader &leader)
{
    return !leader.dispatch.executors.empty() && leader.state.workers.size() > leader.context.settings.directWorkers;
}

/// Passes an outcome to the handler of a call. An outcome of another type than that of the call becomes an error.
void finishCall(const delegated_call &ended, const worker_call_outcome &outcome, const clock_reading &now)
{
    const auto pass = [&]<typename Reply>(const auto &done, const Reply *reply) {
        if (reply != nullptr) {
            done(result<Reply>(*reply), now);
        } else if (const auto *problem = std::get_if<error>(&outcome.result)) {
            done(result<Reply>(*problem), now);
        } else {
            done(result<Reply>(makeError(error_kind::Unknown, "the executor's answer does not match the call")), now);
        }
    };
    if (const auto *onOrder = std::get_if<order_handler>(&ended.done)) {
        pass(*onOrder, std::get_if<order_reply>(&outcome.result));
    } else {
        pass(std::get<report_handler>(ended.done), std::get_if<worker_report>(&outcome.result));
    }
}

/// Starts a run from this daemon after its payload has been loaded, unless the term has ended meanwhile.
void startDirectly(const std::shared_ptr<cell_leader> &leader,
                   const delegated_call &entry,
                   start_order order,
                   const clock_reading &now)
{
    const job_key job = order.task.job;
    const address source = *order.payloadSource;
    leader->context.loadPayload(
        job,
        source,
        [leader,
         order = std::move(order),
         done = std::get<order_handler>(entry.done),
         target = entry.call.target,
         limit = entry.call.limit](const result<std::string> &payload, const clock_reading &when) mutable {
            // The payload may be loaded at once, while the caller still uses the runs of the job, so the handler runs
            // later.
            const auto later = timedOnControlThread(leader->context, cell_metrics::startTime, done);
            if (!payload || leader->ended) {
                later(result<order_reply>(makeError(error_kind::Unreachable, "payload not loaded")));
                return;
            }
            order.payload = payload.value();
            recordArrival(*leader, target.worker, order.leaseUntil, limit, when);
            leader->context.workers.start(target, order, limit, later);
        },
        now);
}

/// Makes a call from this daemon.
void callDirectly(const std::shared_ptr<cell_leader> &leader, delegated_call entry, const clock_reading &now)
{
    cell_context &context = leader->context;
    const worker_call &call = entry.call;
    const std::string_view histogram = histogramOf(call);
    recordArrival(*leader, call.target.worker, leaseOf(call), call.limit, now);
    if (const auto *onReport = std::get_if<report_handler>(&entry.done)) {
        context.workers.poll(call.target,
                             std::get<worker_poll>(call.order),
                             call.limit,
                             timedOnControlThread(context, histogram, *onReport));
        return;
    }
    const auto done = timedOnControlThread(context, histogram, std::get<order_handler>(entry.done));
    if (auto *start = std::get_if<start_order>(&entry.call.order); start != nullptr && start->payloadSource) {
        startDirectly(leader, entry, std::move(*start), now);
    } else if (start != nullptr) {
        context.workers.start(call.target, *start, call.limit, done);
    } else {
        context.workers.stop(call.target, std::get<stop_order>(call.order), call.limit, done);
    }
}

/// Gives an open call to an executor, to this daemon, or to the calls that wait for executors.
void assignCall(const std::shared_ptr<cell_leader> &leader,
                std::map<call_number, delegated_call>::iterator entry,
                const clock_reading &now)
{
    worker_dispatch &dispatch = leader->dispatch;
    delegated_call &delegated = entry->second;
    if (awaitsExecutors(*leader, now.uptime)) {
        delegated.executor = daemon_id();
        dispatch.waiting.push_back(entry->first);
        return;
    }
    const auto *chosen = chooseExecutor(dispatch, delegated.call.target.worker, delegated.dataCentre, now.uptime);
    if (chosen == nullptr) {
        delegated_call direct = std::move(delegated);
        dispatch.open.erase(entry);
        callDirectly(leader, std::move(direct), now);
        return;
    }
    delegated.executor = chosen->first;
    delegated.sentAt = now.uptime;
    delegated.dueAt = now.uptime + delegated.call.limit + hopAllowance;
    const worker_call &call = delegated.call;
    recordArrival(*leader, call.target.worker, leaseOf(call), permissionValidity + call.limit, now);
    dispatch.executors.at(chosen->first).outgoing.push_back(delegated.call);
    addCount(*leader->context.counters, cell_metrics::callsDelegated);
}

/// Opens the call again under a new number, so that an outcome of the earlier one is ignored, and assigns it.
void reassignCall(const std::shared_ptr<cell_leader> &leader,
                  std::map<call_number, delegated_call>::iterator entry,
                  const clock_reading &now)
{
    worker_dispatch &dispatch = leader->dispatch;
    delegated_call moved = std::move(entry->second);
    dispatch.open.erase(entry);
    addCount(*leader->context.counters, cell_metrics::callsReassigned);
    moved.call.number = call_number(++dispatch.lastNumber);
    if (auto *poll = std::get_if<worker_poll>(&moved.call.order)) {
        // The worker may have restarted since the poll was made. Its new incarnation would discard ends up to this
        // number.
        poll->seenEnds = end_number(0);
    }
    assignCall(leader, dispatch.open.emplace(moved.call.number, std::move(moved)).first, now);
}

template<typename Order, typename Handler>
void dispatchCall(const std::shared_ptr<cell_leader> &leader,
                  const cell_worker &worker,
                  Order order,
                  milliseconds limit,
                  Handler done,
                  const clock_reading &now)
{
    worker_dispatch &dispatch = leader->dispatch;
    delegated_call delegated;
    delegated.call = {call_number(0), {worker.id, worker.at}, limit, std::move(order)};
    delegated.dataCentre = worker.dataCentre;
    delegated.dueAt = now.uptime + limit + hopAllowance + startWait;
    delegated.done = std::move(done);
    if (!delegates(*leader)) {
        callDirectly(leader, std::move(delegated), now);
        return;
    }
    delegated.call.number = call_number(++dispatch.lastNumber);
    assignCall(leader, dispatch.open.emplace(delegated.call.number, std::move(delegated)).first, now);
}

void sendBatch(cell_leader &leader, call_executor &executor, std::vector<worker_call> calls, const clock_reading &now)
{
    executor.askedAt = now.uptime;
    leader.context.sendToPeer(
        executor.at,
        worker_call_batch{leader.context.settings.peerAddress, leader.fence, executor.permission, std::move(calls)});
}

/// Moves the polls of an executor that does not answer to other executors. A poll has no effect but the extension of
/// the lease to the same time. Starts and stops stay open until they are overdue, since the executor may have sent
/// them.
void movePolls(const std::shared_ptr<cell_leader> &leader, const daemon_id &executor, const clock_reading &now)
{
    std::vector<call_number> moving;
    for (const auto &[number, delegated] : leader->dispatch.open) {
        if (delegated.executor == executor && isPoll(delegated.call)) {
            moving.push_back(number);
        }
    }
    for (const call_number number : moving) {
        reassignCall(leader, leader->dispatch.open.find(number), now);
    }
}

/// Stops using an executor until it answers again.
void suspendExecutor(const std::shared_ptr<cell_leader> &leader,
                     const daemon_id &name,
                     call_executor &executor,
                     const char *reason,
                     const clock_reading &now)
{
    executor.permission.reset();
    log_event("executor_suspended", log_level::Warning).with("daemon", name).with("reason", reason);
    movePolls(leader, name, now);
}

/// Ends the calls whose outcome is overdue. Their executors are suspended.
void endOverdueCalls(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    worker_dispatch &dispatch = leader->dispatch;
    std::vector<call_number> overdue;
    for (const auto &[number, delegated] : dispatch.open) {
        if (now.uptime > delegated.dueAt) {
            overdue.push_back(number);
        }
    }
    for (const call_number number : overdue) {
        const auto entry = dispatch.open.find(number);
        if (leader->ended || entry == dispatch.open.end()) {
            continue;
        }
        const delegated_call ended = std::move(entry->second);
        dispatch.open.erase(entry);
        const auto executor = dispatch.executors.find(ended.executor);
        if (executor != dispatch.executors.end() && executor->second.permission) {
            suspendExecutor(leader, executor->first, executor->second, "a call is overdue", now);
        }
        finishCall(
            ended, {number, makeError(error_kind::Unknown, "no answer from executor " + ended.executor.value)}, now);
    }
}

void askIfDue(const std::shared_ptr<cell_leader> &leader,
              const daemon_id &name,
              call_executor &executor,
              const clock_reading &now)
{
    if (executor.permission && now.uptime >= executor.answeredAt + permissionUse) {
        suspendExecutor(leader, name, executor, "silent", now);
    }
    if (!delegates(*leader)) {
        return;
    }
    const time_point due =
        executor.permission ? executor.answeredAt + permissionRenewal : executor.askedAt + silentRetry;
    if (now.uptime >= std::max(due, executor.askedAt + silentRetry)) {
        sendBatch(*leader, executor, {}, now);
    }
}

/// Handles the outcome of one call.
void handleOutcome(const std::shared_ptr<cell_leader> &leader,
                   const worker_call_outcome &outcome,
                   const clock_reading &now)
{
    worker_dispatch &dispatch = leader->dispatch;
    const auto entry = dispatch.open.find(outcome.number);
    if (entry == dispatch.open.end()) {
        return;
    }
    const delegated_call ended = std::move(entry->second);
    dispatch.open.erase(entry);
    recordTime(*leader->context.counters, histogramOf(ended.call), now.uptime - ended.sentAt);
    if (std::holds_alternative<error>(outcome.result)) {
        dispatch.avoided[ended.call.target.worker] = {ended.executor, now.uptime + failurePause};
    }
    finishCall(ended, outcome, now);
}

} // namespace

const std::pair<const daemon_id, call_executor> *chooseExecutor(const worker_dispatch &dispatch,
                                                                const worker_id &worker,
                                                                const data_centre_id &dataCentre,
                                                                time_point uptime)
{
    const auto avoided = dispatch.avoided.find(worker);
    const bool avoids = avoided != dispatch.avoided.end() && uptime < avoided->second.second;
    const std::uint64_t workerHash = std::hash<std::string>()(worker.value);
    const std::pair<const daemon_id, call_executor> *best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    for (const auto &entry : dispatch.executors) {
        if (!isUsable(entry.second, uptime) || (avoids && avoided->second.first == entry.first)) {
            continue;
        }
        const std::pair rank(entry.second.dataCentre == dataCentre, mixHashes(workerHash, entry.second.hash));
        if (best == nullptr || rank > bestRank) {
            best = &entry;
            bestRank = rank;
        }
    }
    return best;
}

void dispatchStart(const std::shared_ptr<cell_leader> &leader,
                   const cell_worker &worker,
                   start_order order,
                   milliseconds limit,
                   order_handler done,
                   const clock_reading &now)
{
    dispatchCall(leader, worker, std::move(order), limit, std::move(done), now);
}

void dispatchStop(const std::shared_ptr<cell_leader> &leader,
                  const cell_worker &worker,
                  stop_order order,
                  milliseconds limit,
                  order_handler done,
                  const clock_reading &now)
{
    dispatchCall(leader, worker, std::move(order), limit, std::move(done), now);
}

void dispatchPoll(const std::shared_ptr<cell_leader> &leader,
                  const cell_worker &worker,
                  worker_poll poll,
                  milliseconds limit,
                  report_handler done,
                  const clock_reading &now)
{
    dispatchCall(leader, worker, poll, limit, std::move(done), now);
}

void setExecutors(cell_leader &leader, const std::map<daemon_id, address> &daemons, const clock_reading &now)
{
    auto &executors = leader.dispatch.executors;
    for (auto &[name, executor] : executors) {
        if (!daemons.contains(name)) {
            executor.permission.reset();
            movePolls(leader.shared_from_this(), name, now);
        }
    }
    std::erase_if(executors, [&daemons](const auto &entry) { return !daemons.contains(entry.first); });
    for (const auto &[name, at] : daemons) {
        if (name == leader.context.settings.name) {
            continue;
        }
        call_executor &executor = executors[name];
        if (executor.at != at) {
            executor = {at, std::hash<std::string>()(name.value)};
            sendBatch(leader, executor, {}, now);
        }
    }
}

void suspendExecutorAt(cell_leader &leader, const address &at, const clock_reading &now)
{
    for (auto &[name, executor] : leader.dispatch.executors) {
        if (executor.at == at && executor.permission) {
            suspendExecutor(leader.shared_from_this(), name, executor, "unreachable", now);
        }
    }
}

void handleOutcomes(const std::shared_ptr<cell_leader> &leader,
                    const worker_outcome_batch &batch,
                    const clock_reading &now)
{
    if (leader->ended) {
        return;
    }
    if (batch.highestFence > leader->fence) {
        leader->stepDown("a daemon has received a higher fencing token");
        return;
    }
    if (batch.term != leader->fence) {
        return;
    }
    const auto executor = leader->dispatch.executors.find(batch.from);
    if (executor != leader->dispatch.executors.end()) {
        executor->second.dataCentre = batch.dataCentre;
        executor->second.permission = batch.permission;
        executor->second.answeredAt = now.uptime;
    }
    for (const call_number number : batch.refused) {
        if (const auto entry = leader->dispatch.open.find(number); entry != leader->dispatch.open.end()) {
            reassignCall(leader, entry, now);
        }
    }
    for (const worker_call_outcome &outcome : batch.outcomes) {
        if (leader->ended) {
            return;
        }
        handleOutcome(leader, outcome, now);
    }
}

void flushCalls(cell_leader &leader, const clock_reading &now)
{
    for (auto &[name, executor] : leader.dispatch.executors) {
        std::vector<worker_call> calls = std::exchange(executor.outgoing, {});
        for (std::size_t first = 0; first < calls.size(); first += maxBatchCalls) {
            const std::size_t last = std::min(first + maxBatchCalls, calls.size());
            sendBatch(leader,
                      executor,
                      {std::make_move_iterator(calls.begin() + static_cast<std::ptrdiff_t>(first)),
                       std::make_move_iterator(calls.begin() + static_cast<std::ptrdiff_t>(last))},
                      now);
        }
    }
}

void checkExecutors(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    worker_dispatch &dispatch = leader->dispatch;
    if (!awaitsExecutors(*leader, now.uptime)) {
        for (const call_number number : std::exchange(dispatch.waiting, {})) {
            const auto entry = dispatch.open.find(number);
            if (entry != dispatch.open.end()) {
                assignCall(leader, entry, now);
            }
        }
    }
    endOverdueCalls(leader, now);
    if (leader->ended) {
        return;
    }
    for (auto &[name, executor] : dispatch.executors) {
        askIfDue(leader, name, executor, now);
    }
    std::erase_if(dispatch.avoided, [&now](const auto &entry) { return now.uptime >= entry.second.second; });
}

} // namespace sesamespar
