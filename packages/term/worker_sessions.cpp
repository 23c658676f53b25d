#include "term/worker_sessions.h"

#include "base/log.h"
#include "term/run_lifecycle.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Time for which a poll waits for the end of a run. Short enough for three attempts within the longest lease of 6 s.
constexpr milliseconds pollWait{1000};
/// Time beyond its wait after which a poll is considered lost.
constexpr milliseconds pollGrace{600};
/// Pause after a poll that reported ends, so that the next poll collects several. It grows with the number of workers:
/// with 60 ms, a leader of 350 workers makes 725 polls a second, as many calls as starts.
constexpr milliseconds leastPollPause{60};
constexpr milliseconds longestPollPause{150};
constexpr double pollPausePerWorkerMs = 0.43;
/// Pause after a failed poll.
constexpr milliseconds missedPollPause{200};
/// Number of missed polls in a row after which a worker is polled without extending its leases. An extension without a
/// reply may have taken effect, so that with further ones the tasks of the worker could never be placed elsewhere.
constexpr unsigned missedPollsBeforeExpiry = 1;
/// Time after which an order is considered lost. Workers reply within a few milliseconds.
constexpr milliseconds orderLimit{400};
/// Time since the last confirmation of the term after which a leader no longer extends leases, since the next leader
/// waits that long for workers that it does not reach. With the lease of 6 s, runs survive store outages of 9 s, the
/// longest that the platform documents.
constexpr milliseconds extensionAuthority{3500};
/// Allowance for the transfer of a call and for the age of the reading of a worker's clock.
constexpr milliseconds leaseMargin{300};
/// Minimum remaining validity of a ticket when a start is sent. One way to a worker takes 3 ms.
constexpr milliseconds ticketTransfer{20};
/// Time for which a worker that refused a run because of its own state is avoided.
constexpr milliseconds refusalPause{500};

/// Upper bound of the time from now until a lease granted now has expired on the clock of any worker.
milliseconds longestLeaseTime(const cell_leader &leader)
{
    const auto longest = static_cast<double>(leader.context.settings.limits.longestLease.count());
    return milliseconds(static_cast<std::int64_t>(longest * slowestClock)) + leaseMargin;
}

/// Time after which the leases of all runs on the worker have expired, also of those that may run on an incarnation
/// that the leader does not know.
time_point unreportedRunsEndBy(const cell_leader &leader, const cell_worker &worker)
{
    return std::max(worker.leasesEndBy, worker.grantsArriveBy + longestLeaseTime(leader));
}

/// End of a new lease on the worker's clock. Empty if the clock is unknown, the worker missed polls, or the term was
/// not confirmed recently enough.
std::optional<milliseconds> grantLease(cell_leader &leader, cell_worker &worker, const clock_reading &now)
{
    const bool unresponsive = worker.missedPolls >= missedPollsBeforeExpiry;
    if (!worker.clock || unresponsive || now.uptime > leader.termConfirmedAt + extensionAuthority) {
        return std::nullopt;
    }
    worker.leasesEndBy = std::max(worker.leasesEndBy, now.uptime + longestLeaseTime(leader));
    const auto since = elapsedBetween(worker.clockAt, now.uptime);
    return *worker.clock + since + leader.context.settings.limits.longestLease;
}

cell_worker *findWorker(cell_leader &leader, const worker_id &id)
{
    const auto found = leader.state.workers.find(id);
    return found == leader.state.workers.end() ? nullptr : found->second.get();
}

/// Identity of a run across asynchronous calls, during which the run may end.
struct run_name {
    job_key job;
    task_position position;
    run_number run;
};

run_name nameOf(const placed_run &run)
{
    return {run.job->accepted.key, run.position, run.run};
}

/// The incarnation of its worker that the run was placed on.
worker_incarnation placedOn(const placed_run &run)
{
    return run.job->progress.tasks[run.position.value].incarnation;
}

placed_run *findRun(cell_leader &leader, const run_name &name)
{
    const auto job = leader.state.jobs.find(name.job);
    if (job == leader.state.jobs.end()) {
        return nullptr;
    }
    placed_run *run = job->second->runs[name.position.value];
    return run != nullptr && run->run == name.run ? run : nullptr;
}

/// Closes an order and returns its run, or null if the run or the term has ended.
placed_run *closeOrder(cell_leader &leader, const run_name &name)
{
    placed_run *run = leader.ended ? nullptr : findRun(leader, name);
    if (run != nullptr) {
        --run->openOrders;
    }
    return run;
}

/// Ends the term if a worker refused a call because it has received a higher fencing token.
bool stepDownIfFenced(const cell_leader &leader, order_refusal refusal)
{
    if (refusal != order_refusal::Fenced) {
        return false;
    }
    leader.stepDown("a worker has seen a higher fencing token");
    return true;
}

void schedulePoll(const std::shared_ptr<cell_leader> &leader,
                  const worker_id &id,
                  milliseconds pause,
                  const clock_reading &now);

milliseconds pollPause(const cell_leader &leader)
{
    const milliseconds pause(
        static_cast<std::int64_t>(pollPausePerWorkerMs * static_cast<double>(leader.state.workers.size())));
    return std::clamp(pause, leastPollPause, longestPollPause);
}

void handlePollReply(const std::shared_ptr<cell_leader> &leader,
                     const worker_id &id,
                     time_point sentAt,
                     const result<worker_report> &report,
                     const clock_reading &now);

/// The number of ends that a poll acknowledges: 0 unless the worker still lists some that are stored, and after a
/// missed poll.
end_number endsToDiscard(const cell_worker &worker)
{
    const bool listsStored = worker.oldestEnd.value != 0 && worker.oldestEnd <= worker.seenEnds;
    return worker.seen && worker.missedPolls == 0 && listsStored ? worker.seenEnds : end_number(0);
}

void sendPoll(const std::shared_ptr<cell_leader> &leader, const worker_id &id, const clock_reading &now)
{
    cell_worker *worker = findWorker(*leader, id);
    const auto session = leader->sessions.find(id);
    if (worker == nullptr || session == leader->sessions.end() || session->second.polling || leader->ended) {
        return;
    }
    worker_poll poll;
    poll.fence = leader->fence;
    poll.seenEnds = endsToDiscard(*worker);
    poll.listedOn = worker->listedOn;
    poll.leaseUntil = grantLease(*leader, *worker, now);
    poll.wait = session->second.noWait || !worker->clock ? milliseconds(0) : pollWait;
    session->second.polling = true;
    session->second.noWait = false;
    dispatchPoll(
        leader,
        *worker,
        poll,
        poll.wait + pollGrace,
        [leader, id, sentAt = now.uptime](const result<worker_report> &report, const clock_reading &when) {
            handlePollReply(leader, id, sentAt, report, when);
        },
        now);
}

void schedulePoll(const std::shared_ptr<cell_leader> &leader,
                  const worker_id &id,
                  milliseconds pause,
                  const clock_reading &now)
{
    const auto session = leader->sessions.find(id);
    if (session == leader->sessions.end()) {
        return;
    }
    if (pause.count() == 0) {
        sendPoll(leader, id, now);
        return;
    }
    session->second.nextPoll.fire = [weak = std::weak_ptr(leader), id](const clock_reading &when) {
        if (const auto self = weak.lock()) {
            sendPoll(self, id, when);
        }
    };
    subscribe(leader->context.timers, session->second.nextPoll, now.monotonic + pause);
}

void handleStopReply(const std::shared_ptr<cell_leader> &leader,
                     const run_name &name,
                     const result<order_reply> &reply,
                     const clock_reading &now)
{
    placed_run *run = closeOrder(*leader, name);
    if (run == nullptr || (reply && stepDownIfFenced(*leader, reply.value().refusal))) {
        return;
    }
    if (reply && reply.value().refusal == order_refusal::None) {
        run->stopAccepted = true;
        run->orderedAt = now.uptime;
        if (const auto session = leader->sessions.find(run->worker->id); session != leader->sessions.end()) {
            session->second.noWait = true;
        }
    }
    // The next upkeep repeats a stop without a reply.
}

void sendStop(const std::shared_ptr<cell_leader> &leader,
              const cell_worker &worker,
              const run_task &task,
              run_number run,
              const std::optional<run_name> &name,
              const clock_reading &now)
{
    addCount(*leader->context.counters, cell_metrics::stopsSent);
    dispatchStop(
        leader,
        worker,
        {task, run, leader->fence},
        orderLimit,
        [leader, name](const result<order_reply> &reply, const clock_reading &when) {
            if (name) {
                handleStopReply(leader, *name, reply, when);
            }
        },
        now);
}

void handlePollReply(const std::shared_ptr<cell_leader> &leader,
                     const worker_id &id,
                     time_point sentAt,
                     const result<worker_report> &report,
                     const clock_reading &now)
{
    const auto session = leader->sessions.find(id);
    cell_worker *worker = findWorker(*leader, id);
    if (leader->ended || session == leader->sessions.end() || worker == nullptr) {
        return;
    }
    session->second.polling = false;
    if (!report || report.value().refusal != order_refusal::None) {
        if (report && stepDownIfFenced(*leader, report.value().refusal)) {
            return;
        }
        addCount(*leader->context.counters, cell_metrics::pollsMissed);
        if (++worker->missedPolls == 1) {
            log_event("worker_lost", log_level::Warning)
                .with("worker", id)
                .with("runs", worker->runs.size())
                .with("problem", report ? "refused" : report.error().message);
        }
        session->second.noWait = true;
        schedulePoll(leader, id, missedPollPause, now);
        return;
    }
    if (worker->missedPolls > 0) {
        log_event("worker_regained").with("worker", id).with("missed_polls", worker->missedPolls);
        worker->missedPolls = 0;
    }
    addCount(*leader->context.counters, cell_metrics::polls);
    if (!worker->seen) {
        // The worker refuses earlier leaders from now on, so leases that they extended end within one lease time.
        worker->leasesEndBy = now.uptime + longestLeaseTime(*leader);
    }
    const time_point knownSince = worker->currentSince;
    const std::vector<orphan_run> orphanRuns = applyReport(leader->state, *worker, report.value(), sentAt, now);
    if (worker->currentSince != knownSince) {
        // Calls that were made for the earlier incarnation may still arrive.
        worker->leasesEndBy = unreportedRunsEndBy(*leader, *worker);
    }
    for (const orphan_run &orphans : orphanRuns) {
        log_event("orphan_run", log_level::Warning)
            .with("worker", id)
            .with("job", orphans.task.job)
            .with("step", orphans.task.step)
            .with("index", orphans.task.index)
            .with("run", orphans.run);
        sendStop(leader, *worker, orphans.task, orphans.run, std::nullopt, now);
    }
    leader->placementDue = true;
    const bool quiet = report.value().ended.empty() && worker->orphanRuns == 0 && worker->clock;
    schedulePoll(leader, id, quiet ? milliseconds(1) : pollPause(*leader), now);
}

void handleRefusedStart(const std::shared_ptr<cell_leader> &leader,
                        placed_run &run,
                        order_refusal refusal,
                        const clock_reading &now)
{
    constexpr const char *names[] = {
        "none", "fenced", "outdated", "late", "no_room", "no_ticket", "unhealthy", "other_instance", "malformed"};
    log_event("start_refused", log_level::Warning)
        .with("job", run.job->accepted.key)
        .with("task", run.position)
        .with("run", run.run)
        .with("worker", run.worker->id)
        .with("reason", names[static_cast<std::size_t>(refusal)])
        .with("placed_ms_ago", elapsedBetween(run.placedAt, now.uptime).count());
    addCount(*leader->context.counters, cell_metrics::startsRefused);
    if (refusal == order_refusal::NoTicket) {
        expireTicket(run.job->steps[stepOf(*run.job, run.position)].advice, run.worker->slot);
    } else {
        run.worker->record.avoidedUntil = std::max(run.worker->record.avoidedUntil, now.uptime + refusalPause);
    }
    leader->placementDue = true;
    withdrawRun(leader->state, run, now);
}

bool listsRun(const worker_report &report, const placed_run &run)
{
    const run_task task = taskName(*run.job, run.position);
    const auto isRun = [&](const auto &row) {
        return row.task == task && row.run == run.run;
    };
    return std::any_of(report.running.begin(), report.running.end(), isRun)
        || std::any_of(report.ended.begin(), report.ended.end(), isRun);
}

/// Handles the proof that the worker has begun a run: the reply to its start, or a look that lists it. From now on a
/// report without the run shows that the run has ended, also one of a new incarnation.
void confirmStart(cell_leader &leader, placed_run &run, const clock_reading &now)
{
    run.startUnknown = false;
    markBegun(leader.state, run, now);
    run.orderedAt = now.uptime;
    if (run.state == run_state::Starting) {
        run.state = run_state::Running;
    } else if (run.state == run_state::Stopping) {
        leader.state.stopsRequested = true;
    }
}

/// Handles the look at a worker that precedes a repeated start. The report is not applied, because it may overtake or
/// be overtaken by that of the worker's poll.
void handleLook(const std::shared_ptr<cell_leader> &leader,
                const run_name &name,
                const result<worker_report> &report,
                const clock_reading &now)
{
    placed_run *run = closeOrder(*leader, name);
    if (run == nullptr || run->begun || (report && stepDownIfFenced(*leader, report.value().refusal))) {
        return;
    }
    const bool sameIncarnation =
        report && report.value().refusal == order_refusal::None && report.value().incarnation == placedOn(*run);
    if (sameIncarnation && listsRun(report.value(), *run)) {
        confirmStart(*leader, *run, now);
        return;
    }
    if (sameIncarnation && run->state == run_state::Starting) {
        sendStart(leader, *run, now);
    } else {
        abandonStart(leader->state, *run);
    }
}

/// Repeats a start without a reply if its worker has not restarted: a new incarnation may be of another kind, and the
/// worker's poll, which may be lost as well, shows the restart later than the start would arrive.
void repeatStart(const std::shared_ptr<cell_leader> &leader, placed_run &run, const clock_reading &now)
{
    worker_poll look;
    look.fence = leader->fence;
    ++run.openOrders;
    dispatchPoll(
        leader,
        *run.worker,
        look,
        orderLimit,
        [leader, name = nameOf(run)](const result<worker_report> &report, const clock_reading &when) {
            handleLook(leader, name, report, when);
        },
        now);
}

/// Handles a start without a reply: the order may have been executed, or may be executed later.
void handleUnansweredStart(const std::shared_ptr<cell_leader> &leader,
                           placed_run &run,
                           const error &problem,
                           const clock_reading &now)
{
    addCount(*leader->context.counters, cell_metrics::startsUnanswered);
    log_event("start_unanswered", log_level::Warning)
        .with("job", run.job->accepted.key)
        .with("task", run.position)
        .with("run", run.run)
        .with("worker", run.worker->id)
        .with("problem", problem.message);
    if (run.begun) {
        // A report has listed the run meanwhile, so the repeated start has no effect.
        return;
    }
    const bool notSent = problem.kind == error_kind::Unreachable || problem.kind == error_kind::Overloaded;
    if (notSent && !run.startUnknown) {
        withdrawRun(leader->state, run, now);
        leader->placementDue = true;
        return;
    }
    // A start is idempotent: if repeated, it either finds the existing run or starts it.
    const bool firstLoss = !run.startUnknown;
    run.startUnknown = true;
    if (firstLoss && run.state == run_state::Starting) {
        repeatStart(leader, run, now);
    } else {
        abandonStart(leader->state, run);
    }
}

void handleStartRefusal(const std::shared_ptr<cell_leader> &leader,
                        placed_run &run,
                        order_refusal refusal,
                        const clock_reading &now)
{
    if (stepDownIfFenced(*leader, refusal)) {
        return;
    }
    if (run.begun) {
        // A repeated start is refused if the run has ended meanwhile or its ticket has expired; the end is reported.
        return;
    }
    if (run.startUnknown || refusal == order_refusal::Outdated) {
        // An earlier order may still take effect or has taken effect, so the run stays until a stop is acknowledged and
        // a report shows how it ended.
        run.startUnknown = true;
        abandonStart(leader->state, run);
        return;
    }
    handleRefusedStart(leader, run, refusal, now);
}

void handleStartReply(const std::shared_ptr<cell_leader> &leader,
                      const run_name &name,
                      const result<order_reply> &reply,
                      const clock_reading &now)
{
    placed_run *run = closeOrder(*leader, name);
    if (run == nullptr) {
        return;
    }
    if (!reply) {
        handleUnansweredStart(leader, *run, reply.error(), now);
        return;
    }
    if (reply.value().refusal != order_refusal::None) {
        handleStartRefusal(leader, *run, reply.value().refusal, now);
        return;
    }
    confirmStart(*leader, *run, now);
}

/// Where the payload of a job can be requested, if it is stored apart from the job.
std::optional<address> payloadSourceOf(const cell_leader &leader, const accepted_job &job)
{
    if (!job.payloadHolder) {
        return std::nullopt;
    }
    if (*job.payloadHolder == leader.context.settings.name) {
        return leader.context.settings.peerAddress;
    }
    const auto holder = leader.dispatch.executors.find(*job.payloadHolder);
    return holder == leader.dispatch.executors.end() ? address() : holder->second.at;
}

bool hasValidTicket(const placed_run &run, const clock_reading &now)
{
    if (!run.job->accepted.policy.advice) {
        return true;
    }
    const suitable_worker *entry =
        findSuitable(run.job->steps[stepOf(*run.job, run.position)].advice, run.worker->slot);
    return entry != nullptr && entry->validUntil >= now.uptime + ticketTransfer;
}

/// Why a run must not be started on its worker any more, or null if it may be. The placement may have taken seconds to
/// store.
const char *revocationReason(const placed_run &run)
{
    const cell_worker &worker = *run.worker;
    const worker_incarnation incarnation = placedOn(run);
    if (incarnation != worker.current || (worker.listed && incarnation != worker.incarnation)) {
        // The new incarnation may be of another kind.
        return "restarted";
    }
    if (run.sent) {
        return nullptr;
    }
    if (worker.draining) {
        return "draining";
    }
    return worker.listed ? nullptr : "unlisted";
}

/// True if the start of a run, or of any member of its gang if none of them was sent yet, would be refused because its
/// ticket has expired. Checking the whole gang first avoids stopping the members that were sent already.
bool lacksTicket(const placed_run &run, const clock_reading &now)
{
    if (!hasValidTicket(run, now)) {
        return true;
    }
    const cell_job &job = *run.job;
    const std::uint32_t number = stepOf(job, run.position);
    if (!job.accepted.job.steps[number].gang) {
        return false;
    }
    const auto first = job.runs.begin() + job.steps[number].first;
    const auto last = first + job.steps[number].count;
    const bool begun =
        std::any_of(first, last, [](const placed_run *member) { return member != nullptr && member->sent; });
    return !begun && std::any_of(first, last, [&now](const placed_run *member) {
        return member != nullptr && !hasValidTicket(*member, now);
    });
}

/// Gives up a run whose start cannot be sent now. An earlier order without a reply may still take effect, so such a run
/// stays until a stop is acknowledged or the lease expires.
void revokeStart(cell_leader &leader, placed_run &run, const clock_reading &now)
{
    leader.placementDue = true;
    if (run.startUnknown) {
        abandonStart(leader.state, run);
    } else {
        withdrawRun(leader.state, run, now);
    }
}

void handleListing(const std::shared_ptr<cell_leader> &leader, const worker_listing &listing, const clock_reading &now)
{
    cell_worker &worker = findOrAddWorker(*leader, listing.id);
    const bool restarted = worker.incarnation != listing.incarnation;
    if (worker.at != listing.at || worker.draining != listing.draining || !worker.listed || restarted) {
        log_event("worker_listed")
            .with("worker", listing.id)
            .with("address", listing.at)
            .with("draining", listing.draining)
            .with("birth", listing.incarnation);
    }
    // Reports go before listings, which may be old or come from another writer.
    if (!worker.seen && listing.incarnation != worker.current) {
        beginWorkerIncarnation(leader->state, worker, listing.incarnation, now);
    }
    static_cast<worker_listing &>(worker) = listing;
    worker.listed = true;
    leader->placementDue = true;
    if (leader->sessions.try_emplace(listing.id).second) {
        sendPoll(leader, listing.id, now);
    }
}

void handleUnlisted(const std::shared_ptr<cell_leader> &leader, const worker_id &id, const clock_reading &)
{
    if (cell_worker *worker = findWorker(*leader, id)) {
        worker->listed = false;
        log_event("worker_unlisted").with("worker", id).with("runs", worker->runs.size());
    }
}

/// Ends the runs of a worker that does not answer whose leases have expired. While a worker answers, only its reports
/// tell which of its runs have ended.
void endExpiredRunsOf(cell_leader &leader, cell_worker &worker, const clock_reading &now)
{
    std::vector<placed_run *> expired;
    for (placed_run &run : worker.runs) {
        if (now.uptime > (run.reported ? worker.leasesEndBy : unreportedRunsEndBy(leader, worker))) {
            expired.push_back(&run);
        }
    }
    if (expired.empty()) {
        return;
    }
    const auto since = [&now](time_point earlier) {
        return elapsedBetween(earlier, now.uptime).count();
    };
    addCount(*leader.context.counters, cell_metrics::leasesExpired);
    log_event("worker_leases_lapsed", log_level::Warning)
        .with("worker", worker.id)
        .with("runs", expired.size())
        .with("of", worker.runs.size())
        .with("birth", worker.current)
        .with("missed_polls", worker.missedPolls)
        .with("leases_ended_ms_ago", since(worker.leasesEndBy))
        .with("grants_arrived_ms_ago", since(worker.grantsArriveBy))
        .with("worker_clock_ms", worker.clock.value_or(milliseconds(0)).count())
        .with("clock_age_ms", worker.clock ? since(worker.clockAt) : 0);
    for (placed_run *run : expired) {
        endRun(leader.state, *run, run_end::LeaseExpired, {}, now);
    }
}

} // namespace

void followWorkers(const std::shared_ptr<cell_leader> &leader)
{
    discovery_sink sink;
    const std::weak_ptr<cell_leader> weak = leader;
    sink.changed = [weak](const worker_listing &listing, const clock_reading &now) {
        if (const auto self = weak.lock(); self && !self->ended) {
            handleListing(self, listing, now);
        }
    };
    sink.removed = [weak](const worker_id &id, const clock_reading &now) {
        if (const auto self = weak.lock(); self && !self->ended) {
            handleUnlisted(self, id, now);
        }
    };
    sink.listed = [weak](const clock_reading &) {
        if (const auto self = weak.lock()) {
            self->workersListed = true;
            self->placementDue = true;
        }
    };
    leader->workerList = leader->context.discovery.follow(std::move(sink));
}

void sendStart(const std::shared_ptr<cell_leader> &leader, placed_run &run, const clock_reading &now)
{
    cell_worker &worker = *run.worker;
    const cell_job &job = *run.job;
    const cell_step &step = job.steps[stepOf(job, run.position)];
    if (!run.sent) {
        recordStartDelay(leader->state, run, now);
    }
    if (const char *reason = revocationReason(run)) {
        log_event("start_revoked", log_level::Warning)
            .with("job", job.accepted.key)
            .with("task", run.position)
            .with("run", run.run)
            .with("worker", worker.id)
            .with("worker_is", reason)
            .with("placed_ms_ago", elapsedBetween(run.placedAt, now.uptime).count());
        revokeStart(*leader, run, now);
        return;
    }
    if (lacksTicket(run, now)) {
        log_event("ticket_expired", log_level::Warning)
            .with("job", job.accepted.key)
            .with("task", run.position)
            .with("run", run.run)
            .with("placed_ms_ago", elapsedBetween(run.placedAt, now.uptime).count());
        revokeStart(*leader, run, now);
        return;
    }
    start_order order;
    order.task = taskName(job, run.position);
    order.run = run.run;
    order.payload = job.accepted.job.payload;
    order.payloadSource = payloadSourceOf(*leader, job.accepted);
    order.checkpoint = job.progress.tasks[run.position.value].checkpoint;
    order.leaseUntil = grantLease(*leader, worker, now);
    order.fence = leader->fence;
    if (const suitable_worker *entry = findSuitable(step.advice, worker.slot)) {
        order.ticket = entry->ticket;
    }
    if (!order.leaseUntil) {
        revokeStart(*leader, run, now);
        return;
    }
    run.sent = true;
    run.state = run_state::Starting;
    ++run.openOrders;
    addCount(*leader->context.counters, cell_metrics::startsSent);
    dispatchStart(
        leader,
        worker,
        std::move(order),
        orderLimit,
        [leader, name = nameOf(run)](const result<order_reply> &reply, const clock_reading &when) {
            handleStartReply(leader, name, reply, when);
        },
        now);
}

void sendStops(const std::shared_ptr<cell_leader> &leader, const clock_reading &now)
{
    if (!leader->state.stopsRequested) {
        return;
    }
    leader->state.stopsRequested = false;
    std::vector<run_name> runsToStop;
    for (const auto &[id, worker] : leader->state.workers) {
        for (const placed_run &run : worker->runs) {
            if (run.state == run_state::Stopping && !run.stopAccepted && run.openOrders == 0) {
                runsToStop.push_back(nameOf(run));
            }
        }
    }
    for (const run_name &name : runsToStop) {
        placed_run *run = findRun(*leader, name);
        if (run == nullptr) {
            continue;
        }
        if (!run->sent) {
            withdrawRun(leader->state, *run, now);
        } else if (!run->worker->at.value.empty()) {
            ++run->openOrders;
            sendStop(leader, *run->worker, taskName(*run->job, run->position), run->run, name, now);
        }
    }
}

void endExpiredRuns(cell_leader &leader, const clock_reading &now)
{
    leader.state.stopsRequested = true;
    for (auto next = leader.state.workers.begin(); next != leader.state.workers.end();) {
        const auto entry = next++;
        cell_worker &worker = *entry->second;
        const bool reports = worker.seen && worker.missedPolls == 0;
        if (!reports) {
            endExpiredRunsOf(leader, worker, now);
        }
        if (!worker.listed && worker.runs.empty() && leader.workersListed && worker.missedPolls > 0) {
            const worker_id id = worker.id;
            leader.sessions.erase(id);
            removeWorker(leader.state, id);
        }
    }
}

time_point earlierLeasesEndBy(const cell_leader &leader)
{
    return leader.beganAt + extensionAuthority + longestLeaseTime(leader);
}

cell_worker &findOrAddWorker(cell_leader &leader, const worker_id &id)
{
    if (cell_worker *known = findWorker(leader, id)) {
        return *known;
    }
    cell_worker &worker = addWorker(leader.state, id);
    worker.leasesEndBy = earlierLeasesEndBy(leader);
    return worker;
}

} // namespace sesamespar
