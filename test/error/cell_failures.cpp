// Injects single faults into a simulated cell. Each case guards against a fault that once violated, or could violate, a
// guarantee to callers, such as a task that runs twice or an accepted job that is lost.
#include "../fixtures/cell_simulation.h"
#include "connection/cell_codec.h"
#include "connection/cell_keys.h"
#include "process/cell_requests.h"
#include "process/job_queries.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

bool isCompleted(const simulated_cell &cell, std::uint64_t number)
{
    return storedPhase(cell, makeJobKey(number)) == job_phase::Completed;
}

/// Returns a cell with a leader and one job whose two tasks are running.
std::unique_ptr<simulated_cell> makeBusyCell(const std::string &payload)
{
    auto cell = std::make_unique<simulated_cell>(simulated_cell_settings{});
    runFor(*cell, 2000);
    REQUIRE(leaderOf(*cell));
    submitJob(*cell, 0, makeJobKey(1), makeOneStepJob(2, 1, payload));
    runFor(*cell, 300);
    REQUIRE(cell->jobs[makeJobKey(1)].starts == 2);
    return cell;
}

} // namespace

TEST_CASE("a new leader keeps the runs of its predecessor")
{
    // A new leader once mistook the first report of each worker for a restart and started all tasks again.
    const auto cell = makeBusyCell("6000");
    killDaemon(*cell, *leaderOf(*cell));
    CHECK(runUntil(*cell, 10000, [&] { return isCompleted(*cell, 1); }));
    CHECK(cell->jobs[makeJobKey(1)].starts == 2);
    CHECK(cell->violations.empty());
}

TEST_CASE("a run continues while the store is down")
{
    const auto cell = makeBusyCell("9000");
    cell->storeDown = true;
    runFor(*cell, 8000);
    cell->storeDown = false;
    CHECK(runUntil(*cell, 6000, [&] { return isCompleted(*cell, 1); }));
    CHECK(cell->jobs[makeJobKey(1)].starts == 2);
    CHECK(cell->violations.empty());
}

TEST_CASE("a leader that loses the store but still reaches the workers violates no guarantee")
{
    const auto cell = makeBusyCell("2500");
    const std::size_t leader = *leaderOf(*cell);
    cell->daemons[leader]->storeUnreachable = true;
    runFor(*cell, 6000);
    submitJob(*cell, (leader + 1) % 3, makeJobKey(2), makeOneStepJob(2, 1, "500"));
    CHECK(runUntil(*cell, 8000, [&] { return isCompleted(*cell, 1) && isCompleted(*cell, 2); }));
    CHECK(cell->jobs[makeJobKey(1)].starts == 2);
    CHECK(cell->violations.empty());
}

TEST_CASE("a leader that was frozen does not start tasks that its successor has taken over")
{
    const auto cell = makeBusyCell("1000");
    const std::size_t leader = *leaderOf(*cell);
    for (std::uint64_t number = 2; number < 10; ++number) {
        submitJob(*cell, leader, makeJobKey(number), makeOneStepJob(2, 6, "900"));
    }
    runFor(*cell, 20);
    freezeDaemon(*cell, leader);
    runFor(*cell, 4000);
    thawDaemon(*cell, leader);
    for (std::uint64_t number = 1; number < 10; ++number) {
        const bool accepted = cell->jobs[makeJobKey(number)].acknowledged;
        CHECK(runUntil(*cell, 15000, [&] { return !accepted || isCompleted(*cell, number); }));
    }
    CHECK(cell->violations.empty());
}

TEST_CASE("a task of a restarted worker is started again")
{
    const auto cell = makeBusyCell("3000");
    for (std::size_t number = 0; number < cell->workers.size(); ++number) {
        restartWorker(*cell, number);
    }
    CHECK(runUntil(*cell, 10000, [&] { return isCompleted(*cell, 1); }));
    CHECK(cell->jobs[makeJobKey(1)].starts == 4);
    CHECK(cell->violations.empty());
}

TEST_CASE("a task of an unreachable worker is started again only after its lease has expired")
{
    const auto cell = makeBusyCell("20000");
    for (const auto &worker : cell->workers) {
        worker->reachable = worker->running.empty();
    }
    // A lease lasts 6 s, on clocks that may be 2% slow.
    runFor(*cell, 5500);
    CHECK(cell->jobs[makeJobKey(1)].starts == 2);
    CHECK(runUntil(*cell, 2500, [&] { return cell->jobs[makeJobKey(1)].starts == 4; }));
    CHECK(cell->violations.empty());
}

TEST_CASE("a job whose first transaction was applied without a reply is accepted once")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    cell.lostStoreReplyRate = 0.4;
    for (std::uint64_t number = 1; number < 12; ++number) {
        submitJob(cell, number % 3, makeJobKey(number), makeOneStepJob(1, 1, "400"));
        runFor(cell, 100);
    }
    cell.lostStoreReplyRate = 0;
    for (std::uint64_t number = 1; number < 12; ++number) {
        CHECK(runUntil(cell, 10000, [&] { return isCompleted(cell, number); }));
        CHECK(cell.jobs[makeJobKey(number)].starts == 1);
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("a job is refused only if no transaction with it can be applied later")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    cell.lateStoreWriteRate = 1;
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(1, 1, "400"));
    runFor(cell, 4000);
    CHECK_FALSE(cell.jobs[makeJobKey(1)].acknowledged);
    CHECK_FALSE(cell.jobs[makeJobKey(1)].onlyRefused);
    cell.lateStoreWriteRate = 0;
    runFor(cell, 12000);
    CHECK(cell.violations.empty());
}

TEST_CASE("a job that is stored late does not run after a cancel was told that it does not exist")
{
    // The cancel found no job in the store, where the write of the submission was carried out seconds later.
    simulated_cell cell({});
    const job_key key = makeJobKey(1);
    runFor(cell, 2000);
    const std::size_t killed = (*leaderOf(cell) + 1) % 3;
    const std::size_t asked = (*leaderOf(cell) + 2) % 3;
    cell.lateStoreWriteRate = 1;
    submitJob(cell, killed, key, makeOneStepJob(1, 1, "400"));
    runFor(cell, 50);
    killDaemon(cell, killed);
    cell.lateStoreWriteRate = 0;
    const auto call = [&](auto kind) {
        std::optional<caller_answer> answer;
        callDaemon(cell, asked, key, kind, [&](const caller_answer &given) { answer = given; });
        REQUIRE(runUntil(cell, 1000, [&] { return answer.has_value(); }));
        return *answer;
    };
    CHECK(std::holds_alternative<no_such_job>(call(cancel_call{})));
    runFor(cell, 12000);
    CHECK(cell.jobs[key].starts == 0);
    CHECK(std::holds_alternative<no_such_job>(call(status_call{})));
    submitJob(cell, asked, key, makeOneStepJob(1, 1, "400"));
    runFor(cell, 3000);
    REQUIRE(cell.jobs[key].answer);
    CHECK(cell.jobs[key].onlyRefused);
    CHECK(cell.jobs[key].starts == 0);
    CHECK(std::holds_alternative<no_such_job>(call(cancel_call{})));
    CHECK(cell.violations.empty());
}

TEST_CASE("a cancellation is not reported as refused after a malformed response of the store")
{
    // The store applied the transaction and its response could not be read; the caller was told that nothing was done.
    const auto cell = makeBusyCell("5000");
    cell_context &context = *cell->daemons[1]->context;
    context.store.commit = [commit = context.store.commit](const store_transaction &transaction,
                                                           milliseconds limit,
                                                           const store_callback<store_commit> &done) {
        commit(transaction, limit, [done](const result<store_commit> &) {
            done(makeError(error_kind::InvalidInput, "response is malformed"));
        });
    };
    std::optional<caller_answer> answered;
    post(context.box, [&](const clock_reading &now) {
        requestCancel(
            context, makeJobKey(1), milliseconds(400), [&](const caller_answer &given) { answered = given; }, now);
    });
    REQUIRE(runUntil(*cell, 1000, [&] { return answered.has_value(); }));
    CHECK_FALSE(std::holds_alternative<call_refused>(*answered));
}

TEST_CASE("orders that are executed seconds late start no task twice")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    cell.lateOrderRate = 0.3;
    for (std::uint64_t number = 1; number < 20; ++number) {
        submitJob(cell, number % 3, makeJobKey(number), makeOneStepJob(2, 2, "700", number % 4 == 0));
        runFor(cell, 150);
    }
    runFor(cell, 5000);
    cell.lateOrderRate = 0;
    for (std::uint64_t number = 1; number < 20; ++number) {
        CHECK(runUntil(cell, 30000, [&] { return isCompleted(cell, number); }));
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("an acknowledged job survives an immediate kill of all daemons")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(2, 1, "1000"));
    REQUIRE(runUntil(cell, 300, [&] { return cell.jobs[makeJobKey(1)].acknowledged; }));
    for (std::size_t number = 0; number < 3; ++number) {
        killDaemon(cell, number);
    }
    runFor(cell, 1500);
    for (std::size_t number = 0; number < 3; ++number) {
        startDaemon(cell);
    }
    CHECK(runUntil(cell, 8000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.violations.empty());
}

TEST_CASE("a watch lists all keys again after its history was discarded")
{
    const auto cell = makeBusyCell("500");
    cell->historyFrom = cell->revision;
    cell->history.clear();
    cell->watches.clear();
    submitJob(*cell, 1, makeJobKey(2), makeOneStepJob(1, 1, "300"));
    CHECK(runUntil(*cell, 8000, [&] { return isCompleted(*cell, 2); }));
    CHECK(cell->violations.empty());
}

namespace {

/// Ends the silence of the watches. The history of the changes that were made meanwhile is gone.
void discardSilentHistory(simulated_cell &cell)
{
    cell.historyFrom = cell.revision;
    cell.history.clear();
    cell.watches.clear();
    cell.watchesSilent = false;
}

} // namespace

TEST_CASE("daemons that know a leader only from a refused claim elect again after it has left")
{
    // The daemons that stayed took the leader for present for good, and accepted jobs did not run.
    simulated_cell_settings settings;
    settings.daemons = 5;
    simulated_cell cell(settings);
    runFor(cell, 2000);
    killDaemon(cell, *leaderOf(cell));
    REQUIRE(runUntil(cell, 3000, [&] { return !cell.items.contains(cell_keys::leader); }));
    runFor(cell, 20);
    cell.watchesSilent = true;
    REQUIRE(runUntil(cell, 1000, [&] { return leaderOf(cell).has_value(); }));
    runFor(cell, 450);
    const std::size_t second = *leaderOf(cell);
    post(cell.daemons[second]->context->box,
         [&](const clock_reading &now) { drainCellDaemon(*cell.daemons[second]->daemon, now); });
    runFor(cell, 100);
    discardSilentHistory(cell);
    CHECK(runUntil(cell, 4000, [&] { return leaderOf(cell).has_value() && *leaderOf(cell) != second; }));
    const std::size_t witness = second == 0 ? 1 : 0;
    submitJob(cell, cell.daemons[witness]->alive ? witness : witness + 1, makeJobKey(1), makeOneStepJob(1, 1, "300"));
    CHECK(runUntil(cell, 4000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.violations.empty());
}

TEST_CASE("a daemon whose term began and ended while its watch was silent campaigns again")
{
    // No watch had shown the daemon its own key, so that it never learned of the key's removal.
    simulated_cell_settings settings;
    settings.daemons = 1;
    simulated_cell cell(settings);
    REQUIRE(runUntil(cell, 1000, [&] {
        cell.watchesSilent = cell.daemons.front()->daemon->election->known;
        return leaderOf(cell).has_value();
    }));
    post(cell.daemons.front()->context->box,
         [&](const clock_reading &) { concede(*cell.daemons.front()->daemon->election, "conceded by the test"); });
    runFor(cell, 100);
    discardSilentHistory(cell);
    CHECK(runUntil(cell, 4000, [&] { return leaderOf(cell).has_value(); }));
}

TEST_CASE("ends of a new incarnation are not acknowledged with an end number of the previous one")
{
    simulated_cell_settings settings;
    settings.workers = 1;
    simulated_cell cell(settings);
    runFor(cell, 2000);
    for (std::uint64_t number = 1; number < 6; ++number) {
        submitJob(cell, 0, makeJobKey(number), makeOneStepJob(1, 1, "50"));
    }
    runFor(cell, 2000);
    submitJob(cell, 0, makeJobKey(9), makeOneStepJob(1, 1, "20000"));
    runFor(cell, 300);
    fake_worker &worker = *cell.workers.front();
    REQUIRE(worker.running.size() == 1);
    worker.reachable = false;
    runFor(cell, 2500);
    // The start reaches the new incarnation, and its run ends there before the leader detects the restart.
    restartWorker(cell, 0);
    worker.ended.push_back({end_number(++worker.lastEnd), {makeJobKey(9), 0, 0}, run_number(1), run_end::Done, {}});
    worker.reachable = true;
    CHECK(runUntil(cell, 3000, [&] { return isCompleted(cell, 9); }));
    CHECK(cell.jobs[makeJobKey(9)].starts == 1);
}

namespace {

/// A poll that is held up on its way to a worker.
struct held_poll {
    worker_target target;
    worker_poll poll;
    milliseconds limit{0};
    worker_callback<worker_report> done;
    std::function<void(const worker_target &, const worker_poll &, milliseconds, worker_callback<worker_report>)> send;
};

/// Holds the next poll of the worker by the daemon up until it is delivered.
std::shared_ptr<std::optional<held_poll>>
holdNextPoll(simulated_cell &cell, std::size_t daemon, const worker_id &worker)
{
    auto held = std::make_shared<std::optional<held_poll>>();
    worker_port &port = cell.daemons[daemon]->context->workers;
    port.poll =
        [held, worker, send = port.poll](const auto &target, const auto &poll, milliseconds limit, const auto &done) {
            if (*held || target.worker != worker) {
                send(target, poll, limit, done);
            } else {
                held->emplace(held_poll{target, poll, limit, done, send});
            }
        };
    return held;
}

/// Fills one of two workers with the task of job 1 and returns the index of the other one.
std::size_t occupyOneWorker(simulated_cell &cell, const std::string &payload)
{
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(1, 16, payload));
    runFor(cell, 300);
    return cell.workers[0]->running.empty() ? 0 : 1;
}

void deliver(const held_poll &held)
{
    held.send(held.target, held.poll, held.limit, held.done);
}

} // namespace

TEST_CASE("a poll that is held up while its worker restarts discards no end of the new incarnation")
{
    // Each poll repeated the number of ends that the worker had discarded long before, and one of them reached a new
    // incarnation, whose first end was then lost. The task ran a second time.
    simulated_cell_settings settings;
    settings.workers = 1;
    simulated_cell cell(settings);
    runFor(cell, 2000);
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(1, 1, "50"));
    REQUIRE(runUntil(cell, 2000, [&] { return isCompleted(cell, 1); }));
    runFor(cell, 1500);
    const auto held = holdNextPoll(cell, *leaderOf(cell), cell.workers.front()->id);
    REQUIRE(runUntil(cell, 1500, [&] { return held->has_value(); }));
    cell.workers.front()->publishes = false;
    restartWorker(cell, 0);
    submitJob(cell, 0, makeJobKey(2), makeOneStepJob(1, 1, "50"));
    REQUIRE(runUntil(cell, 1000, [&] { return !cell.workers.front()->ended.empty(); }));
    deliver(**held);
    CHECK(runUntil(cell, 4000, [&] { return isCompleted(cell, 2); }));
    CHECK(cell.jobs[makeJobKey(2)].starts == 1);
    CHECK(cell.violations.empty());
}

TEST_CASE("a poll that is held up while its worker restarts does not let a task run twice")
{
    // The poll extended the leases of the new incarnation from its arrival on, later than the leader counted, and the
    // task was started on another worker while it still ran.
    simulated_cell_settings settings;
    settings.workers = 2;
    simulated_cell cell(settings);
    runFor(cell, 2000);
    const std::size_t idle = occupyOneWorker(cell, "4000");
    const auto held = holdNextPoll(cell, *leaderOf(cell), cell.workers[idle]->id);
    REQUIRE(runUntil(cell, 1500, [&] { return held->has_value(); }));
    cell.workers[idle]->publishes = false;
    restartWorker(cell, idle);
    submitJob(cell, 0, makeJobKey(2), makeOneStepJob(1, 8, "20000"));
    runFor(cell, 1400);
    REQUIRE(cell.workers[idle]->running.size() == 1);
    deliver(**held);
    runFor(cell, 5);
    cell.workers[idle]->reachable = false;
    runFor(cell, 10000);
    CHECK(cell.jobs[makeJobKey(2)].starts == 2);
    CHECK(cell.violations.empty());
}

TEST_CASE("a start without a reply is not repeated at a worker that has restarted as another kind")
{
    // The task ran to its end on a worker without the required label.
    simulated_cell_settings settings;
    settings.workers = 2;
    simulated_cell cell(settings);
    for (std::size_t number = 0; number < 2; ++number) {
        cell.workers[number]->labels = {"a"};
        publishWorker(cell, number);
    }
    runFor(cell, 2000);
    const std::size_t idle = occupyOneWorker(cell, "6000");
    cell.workers[idle]->reachable = false;
    stepped_job job = makeOneStepJob(1, 1, "300");
    job.steps[0].requiredLabel = "a";
    submitJob(cell, 0, makeJobKey(2), job);
    runFor(cell, 200);
    cell.workers[idle]->labels = {"b"};
    cell.workers[idle]->publishes = false;
    restartWorker(cell, idle);
    runFor(cell, 100);
    cell.workers[idle]->reachable = true;
    runFor(cell, 1000);
    publishWorker(cell, idle);
    CHECK(runUntil(cell, 9000, [&] { return isCompleted(cell, 2); }));
    CHECK(cell.violations.empty());
}

TEST_CASE("a run is placed again if its worker restarts after the look that listed it")
{
    // The leader took the run for one that the next report would list, and waited for ever if that report was of the
    // new incarnation. The delay decides whether a poll lists the run before the restart.
    for (std::int64_t delay = 0; delay < 1000; delay += 50) {
        INFO("delay " << delay);
        simulated_cell cell({});
        runFor(cell, 2000 + delay);
        cell.lostOrderReplyRate = 1;
        submitJob(cell, 0, makeJobKey(1), makeOneStepJob(1, 1, "3000"));
        REQUIRE(runUntil(cell, 300, [&] { return cell.jobs[makeJobKey(1)].starts == 1; }));
        // The start is given up after 400 ms, and the look takes a few milliseconds.
        runFor(cell, 450);
        cell.lostOrderReplyRate = 0;
        for (std::size_t number = 0; number < cell.workers.size(); ++number) {
            if (!cell.workers[number]->running.empty()) {
                restartWorker(cell, number);
                break;
            }
        }
        CHECK(runUntil(cell, 9000, [&] { return isCompleted(cell, 1); }));
        CHECK(cell.violations.empty());
    }
}

TEST_CASE("a run that its worker reports as running is not started elsewhere after the bound of its lease")
{
    // No lease is extended during a long outage of the store, and a call that the leader does not count may have
    // extended those of the workers.
    const auto cell = makeBusyCell("20000");
    cell->storeDown = true;
    runFor(*cell, 4000);
    for (const auto &worker : cell->workers) {
        worker->leaseUntil += 10000;
    }
    runFor(*cell, 7000);
    cell->storeDown = false;
    runFor(*cell, 2000);
    CHECK(cell->jobs[makeJobKey(1)].starts == 2);
    CHECK(cell->violations.empty());
}

TEST_CASE("a worker whose time of day was set back before it restarted is used again")
{
    // Its reports were ignored for good, since its life seemed to be earlier, and accepted jobs never ended. The crash
    // lasts 500 ms, so that polls are missed.
    for (const std::int64_t clockError : {-2000, 0, 2000}) {
        CAPTURE(clockError);
        simulated_cell_settings settings;
        settings.workers = 1;
        simulated_cell cell(settings);
        runFor(cell, 700);
        submitJob(cell, 0, makeJobKey(1), makeOneStepJob(2, 1, "3000"));
        runFor(cell, 700);
        cell.workers[0]->clockError = clockError;
        cell.workers[0]->reachable = false;
        runFor(cell, 500);
        restartWorker(cell, 0);
        cell.workers[0]->reachable = true;
        runFor(cell, 500);
        submitJob(cell, 0, makeJobKey(2), makeOneStepJob(2, 1, "300"));
        CHECK(runUntil(cell, 10000, [&] { return isCompleted(cell, 1) && isCompleted(cell, 2); }));
        CHECK(cell.violations.empty());
    }
}

TEST_CASE("a worker that restarts as another kind gets no task by the entry of its former life")
{
    // Polls show the new life before the platform's list does; until then tasks were placed by the former labels and
    // capacity.
    simulated_cell cell({});
    for (std::size_t number = 0; number < cell.workers.size(); ++number) {
        cell.workers[number]->labels = {"a"};
        publishWorker(cell, number);
    }
    runFor(cell, 2000);
    cell.workers[0]->publishes = false;
    cell.workers[0]->labels = {"b"};
    cell.workers[0]->capacity = {millicores(4000), mebibytes(32768), accelerators(0)};
    restartWorker(cell, 0);
    runFor(cell, 1000);
    stepped_job labelled = makeOneStepJob(8, 4, "400");
    labelled.steps[0].requiredLabel = "a";
    submitJob(cell, 0, makeJobKey(1), labelled);
    submitJob(cell, 0, makeJobKey(2), makeOneStepJob(12, 4, "400"));
    runFor(cell, 2000);
    CHECK(cell.workers[0]->lastEnd == 0);
    CHECK(cell.violations.empty());
    publishWorker(cell, 0);
    submitJob(cell, 0, makeJobKey(3), makeOneStepJob(16, 4, "400"));
    CHECK(runUntil(cell, 4000, [&] { return isCompleted(cell, 3); }));
    CHECK(cell.workers[0]->lastEnd > 0);
    CHECK(cell.violations.empty());
}

TEST_CASE("a run that is recorded for the former life of a worker is not started on the new one")
{
    simulated_cell_settings settings;
    settings.workers = 1;
    simulated_cell cell(settings);
    cell.workers[0]->labels = {"a"};
    publishWorker(cell, 0);
    runFor(cell, 2000);
    stepped_job labelled = makeOneStepJob(2, 4, "400");
    labelled.steps[0].requiredLabel = "a";
    submitJob(cell, 0, makeJobKey(1), labelled);
    REQUIRE(runUntil(cell, 1000, [&] { return storedPhase(cell, makeJobKey(1)) == job_phase::Queued; }));
    // The placement cannot be stored while the worker restarts as another kind.
    cell.storeDown = true;
    cell.workers[0]->labels = {"b"};
    cell.workers[0]->publishes = false;
    restartWorker(cell, 0);
    runFor(cell, 2500);
    cell.storeDown = false;
    runFor(cell, 1500);
    CHECK(cell.jobs[makeJobKey(1)].starts == 0);
    publishWorker(cell, 0);
    runFor(cell, 1500);
    CHECK(cell.jobs[makeJobKey(1)].starts == 0);
    CHECK(cell.violations.empty());
}

TEST_CASE("a daemon that has lost the store and its peers refuses jobs immediately, so that callers use another daemon")
{
    // Requests to isolated daemons once waited until their deadline of 3 s and failed.
    simulated_cell cell({});
    runFor(cell, 2000);
    const std::size_t daemon = (*leaderOf(cell) + 1) % 3;
    cell.isolatedDataCentre = cell.daemons[daemon]->dataCentre;
    submitJob(cell, daemon, makeJobKey(1), makeOneStepJob(1, 1, "200"));
    runFor(cell, 1500);
    REQUIRE(cell.jobs[makeJobKey(1)].answeredAt);
    CHECK_FALSE(cell.jobs[makeJobKey(1)].onlyRefused);
    CHECK_FALSE(cell.daemons[daemon]->daemon->ready);
    submitJob(cell, daemon, makeJobKey(2), makeOneStepJob(1, 1, "200"));
    runFor(cell, 10);
    CHECK(cell.jobs[makeJobKey(2)].answeredAt);
    CHECK(cell.jobs[makeJobKey(2)].onlyRefused);
    cell.isolatedDataCentre.reset();
    runFor(cell, 1500);
    CHECK(cell.daemons[daemon]->daemon->ready);
    submitJob(cell, daemon, makeJobKey(2), makeOneStepJob(1, 1, "200"));
    CHECK(runUntil(cell, 2000, [&] { return isCompleted(cell, 2); }));
    CHECK(cell.violations.empty());
}

TEST_CASE("a job that is placed but not started still counts as pending")
{
    // A leader that took over after the loss of all daemons once reported no pending jobs.
    simulated_cell cell({});
    runFor(cell, 2000);
    for (const auto &worker : cell.workers) {
        worker->reachable = false;
    }
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(1, 1, "200"));
    runFor(cell, 1000);
    REQUIRE(storedPhase(cell, makeJobKey(1)) == job_phase::Running);
    killDaemon(cell, *leaderOf(cell));
    REQUIRE(runUntil(cell, 4000, [&] { return leaderOf(cell).has_value(); }));
    runFor(cell, 1500);
    CHECK(cell.daemons[*leaderOf(cell)]->daemon->load.queues[queue_id("queue")].pending == 1);
}

TEST_CASE("a draining worker gets no new runs and keeps its current ones")
{
    const auto cell = makeBusyCell("2500");
    std::vector<std::size_t> draining;
    for (std::size_t number = 0; number < cell->workers.size(); ++number) {
        if (!cell->workers[number]->running.empty()) {
            draining.push_back(number);
            cell->workers[number]->draining = true;
            publishWorker(*cell, number);
        }
    }
    runFor(*cell, 100);
    submitJob(*cell, 0, makeJobKey(2), makeOneStepJob(8, 1, "1000"));
    runFor(*cell, 500);
    CHECK(cell->jobs[makeJobKey(2)].starts == 8);
    for (const std::size_t number : draining) {
        for (const auto &[task, run] : cell->workers[number]->running) {
            CHECK(task.job == makeJobKey(1));
        }
    }
    CHECK(runUntil(*cell, 4000, [&] { return isCompleted(*cell, 1) && isCompleted(*cell, 2); }));
    CHECK(cell->jobs[makeJobKey(1)].starts == 2);
    CHECK(cell->violations.empty());
}

TEST_CASE("a run whose placement is stored after its worker began to drain is not started there")
{
    // The start was sent as soon as the placement was stored, however long that took and whatever was known by then.
    for (const bool unlisted : {false, true}) {
        CAPTURE(unlisted);
        simulated_cell_settings settings;
        settings.workers = 1;
        simulated_cell cell(settings);
        runFor(cell, 2000);
        submitJob(cell, 0, makeJobKey(1), makeOneStepJob(2, 1, "400"));
        REQUIRE(runUntil(cell, 1000, [&] { return storedPhase(cell, makeJobKey(1)) == job_phase::Queued; }));
        cell.storeDown = true;
        cell.workers[0]->draining = !unlisted;
        cell.workers[0]->listed = !unlisted;
        publishWorker(cell, 0);
        runFor(cell, 2500);
        cell.storeDown = false;
        runFor(cell, 1500);
        CHECK(cell.jobs[makeJobKey(1)].starts == 0);
        const std::size_t other = addWorker(cell);
        publishWorker(cell, other);
        CHECK(runUntil(cell, 4000, [&] { return isCompleted(cell, 1); }));
        CHECK(cell.violations.empty());
    }
}

TEST_CASE("workers whose replies are lost run no task twice")
{
    // The leader's calls still arrive: each poll renews the leases although its reply is lost.
    const auto cell = makeBusyCell("20000");
    for (const auto &worker : cell->workers) {
        worker->repliesArrive = worker->running.empty();
    }
    CHECK(runUntil(*cell, 12000, [&] { return cell->jobs[makeJobKey(1)].starts == 4; }));
    for (const auto &worker : cell->workers) {
        worker->repliesArrive = true;
    }
    CHECK(runUntil(*cell, 24000, [&] { return isCompleted(*cell, 1); }));
    CHECK(cell->violations.empty());
}

TEST_CASE("an isolated data centre refuses jobs immediately, and the others continue")
{
    const auto cell = makeBusyCell("1500");
    // The leader's data centre loses the store, so the other daemons elect a new leader.
    const std::size_t isolated = cell->daemons[*leaderOf(*cell)]->dataCentre;
    const std::size_t other = (isolated + 1) % 3;
    cell->isolatedDataCentre = isolated;
    runFor(*cell, 3000);
    submitJob(*cell, isolated, makeJobKey(2), makeOneStepJob(1, 1, "200"));
    submitJob(*cell, other, makeJobKey(3), makeOneStepJob(2, 1, "200"));
    runFor(*cell, 50);
    CHECK(cell->jobs[makeJobKey(2)].onlyRefused);
    CHECK(cell->jobs[makeJobKey(2)].answeredAt);
    CHECK(runUntil(*cell, 3000, [&] { return isCompleted(*cell, 3); }));
    cell->isolatedDataCentre.reset();
    CHECK(runUntil(*cell, 12000, [&] { return isCompleted(*cell, 1); }));
    CHECK(cell->violations.empty());
}

TEST_CASE("daemons that are replaced at other addresses take over all jobs")
{
    simulated_cell_settings settings;
    settings.advised = true;
    simulated_cell cell(settings);
    runFor(cell, 2000);
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(2, 1, "3000"));
    runFor(cell, 500);
    for (std::size_t number = 0; number < 3; ++number) {
        killDaemon(cell, number);
        startDaemon(cell);
        runFor(cell, 1500);
    }
    submitJob(cell, 4, makeJobKey(2), makeOneStepJob(4, 1, "300"));
    CHECK(runUntil(cell, 8000, [&] { return isCompleted(cell, 1) && isCompleted(cell, 2); }));
    CHECK(cell.jobs[makeJobKey(1)].starts == 2);
    CHECK(cell.violations.empty());
}

TEST_CASE("a rolling drain of all daemons violates no guarantee")
{
    const auto cell = makeBusyCell("5000");
    for (std::size_t number = 0; number < 3; ++number) {
        post(cell->daemons[number]->context->box,
             [&cell, number](const clock_reading &now) { drainCellDaemon(*cell->daemons[number]->daemon, now); });
        startDaemon(*cell);
        runFor(*cell, 1300);
        submitJob(*cell, 3 + number, makeJobKey(10 + number), makeOneStepJob(1, 1, "200"));
    }
    const auto allCompleted = [&] {
        return isCompleted(*cell, 1) && isCompleted(*cell, 10) && isCompleted(*cell, 11) && isCompleted(*cell, 12);
    };
    CHECK(runUntil(*cell, 6000, allCompleted));
    CHECK(cell->jobs[makeJobKey(1)].starts == 2);
    CHECK(cell->violations.empty());
}

TEST_CASE("a configuration with hundreds of queues applies on all daemons, and an older version never replaces it")
{
    const auto cell = makeBusyCell("1500");
    std::vector<queue_declaration> queues;
    for (int number = 0; number < 400; ++number) {
        queue_declaration queue = makeQueue(*cell);
        queue.policy.queue = queue_id("idle" + std::to_string(number));
        queue.pathPrefix = "/idle" + std::to_string(number) + "/";
        queues.push_back(queue);
    }
    applyConfiguration(*cell, 7, queues);
    runFor(*cell, 50);
    // The queue of the running job no longer exists: new jobs are rejected, and its accepted jobs continue.
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        submitJob(*cell, daemon, makeJobKey(20 + daemon), makeOneStepJob(1, 1, "100"));
        runFor(*cell, 50);
        CHECK(cell->jobs[makeJobKey(20 + daemon)].queueNotFound);
    }
    applyConfiguration(*cell, 3, {makeQueue(*cell)});
    runFor(*cell, 50);
    submitJob(*cell, 1, makeJobKey(30), makeOneStepJob(1, 1, "100"));
    runFor(*cell, 50);
    CHECK(cell->jobs[makeJobKey(30)].queueNotFound);
    CHECK(runUntil(*cell, 4000, [&] { return isCompleted(*cell, 1); }));
    CHECK(cell->violations.empty());
}

TEST_CASE("cancellations that race with starts leave no run active")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    constexpr std::uint64_t jobs = 40;
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        submitJob(cell, number % 3, makeJobKey(number), makeOneStepJob(1, 1, "8000"));
    }
    // The cancellations reach the store between the acceptance of a job, the write of its run and the start of the run.
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        runFor(cell, 1);
        cancelJobAt(cell, (number + 1) % 3, makeJobKey(number));
    }
    runFor(cell, 1500);
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        if (cell.jobs[makeJobKey(number)].cancelled) {
            CHECK(storedPhase(cell, makeJobKey(number)) == job_phase::Cancelled);
        }
    }
    for (const auto &worker : cell.workers) {
        for (const auto &[task, run] : worker->running) {
            CHECK_FALSE(cell.jobs[task.job].cancelled);
        }
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("a takeover does not rewrite jobs that have not changed")
{
    // A new leader once rewrote every recovered job, which delayed the first starts of its term.
    const auto cell = makeBusyCell("9000");
    const std::uint64_t before = cell->items.at(cell_keys::progress(makeJobKey(1))).revision;
    killDaemon(*cell, *leaderOf(*cell));
    REQUIRE(runUntil(*cell, 4000, [&] { return leaderOf(*cell).has_value(); }));
    runFor(*cell, 2000);
    CHECK(cell->items.at(cell_keys::progress(makeJobKey(1))).revision == before);
    CHECK(runUntil(*cell, 9000, [&] { return isCompleted(*cell, 1); }));
    CHECK(cell->jobs[makeJobKey(1)].starts == 2);
}

TEST_CASE("the leader serves the state of a job, and a final state only once it is stored")
{
    // Each state query once cost a call to the store, which made up a third of all calls on a day without faults.
    simulated_cell cell({});
    runFor(cell, 2000);
    const std::size_t leader = *leaderOf(cell);
    const std::size_t other = (leader + 1) % 3;
    submitJob(cell, other, makeJobKey(1), makeOneStepJob(1, 1, "400"));
    std::vector<job_phase> seen;
    const auto queryPhase = [&](std::size_t daemon) {
        const std::uint64_t before = cell.storeReads;
        std::optional<caller_answer> answered;
        queryJobAt(cell, daemon, makeJobKey(1), [&](const caller_answer &given) { answered = given; });
        runFor(cell, 10);
        REQUIRE(answered);
        REQUIRE(std::holds_alternative<job_status>(*answered));
        CHECK(cell.storeReads == before);
        const job_phase phase = std::get<job_status>(*answered).phase;
        if (isFinal(phase)) {
            CHECK(storedPhase(cell, makeJobKey(1)) == phase);
        }
        return phase;
    };
    runFor(cell, 60);
    CHECK(queryPhase(other) == job_phase::Running);
    // While transactions get no reply, the leader has seen the end of the job but cannot confirm that it is stored.
    cell.lostStoreReplyRate = 1;
    runFor(cell, 500);
    CHECK(queryPhase(leader) == job_phase::Running);
    cell.lostStoreReplyRate = 0;
    REQUIRE(runUntil(cell, 4000, [&] { return isCompleted(cell, 1); }));
    runFor(cell, 1500);
    CHECK(queryPhase(leader) == job_phase::Completed);
    CHECK(queryPhase(other) == job_phase::Completed);
}

TEST_CASE("a state query reads the store if the leader does not reply")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    const std::size_t leader = *leaderOf(cell);
    submitJob(cell, leader, makeJobKey(1), makeOneStepJob(1, 1, "100"));
    REQUIRE(runUntil(cell, 2000, [&] { return isCompleted(cell, 1); }));
    freezeDaemon(cell, leader);
    std::optional<caller_answer> answered;
    queryJobAt(cell, (leader + 1) % 3, makeJobKey(1), [&](const caller_answer &given) { answered = given; });
    runFor(cell, 300);
    REQUIRE(answered);
    CHECK(std::get<job_status>(*answered).phase == job_phase::Completed);
    // A key without a job is not found, also through the leader.
    thawDaemon(cell, leader);
    runFor(cell, 3000);
    answered.reset();
    queryJobAt(cell, (leader + 1) % 3, makeJobKey(77), [&](const caller_answer &given) { answered = given; });
    runFor(cell, 300);
    REQUIRE(answered);
    CHECK(std::holds_alternative<no_such_job>(*answered));
}

TEST_CASE("a start without a reply is not revoked when its worker becomes unreachable")
{
    // Such a run was once abandoned without a stop order; its start, executed seconds later, ran the task a second time
    // (seed 503 of cell_model).
    simulated_cell_settings settings;
    settings.workers = 2;
    simulated_cell cell(settings);
    runFor(cell, 2000);
    cell.workers[0]->reachable = false;
    cell.lateOrderRate = 1;
    constexpr std::uint64_t jobs = 16;
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        submitJob(cell, 0, makeJobKey(number), makeOneStepJob(1, 1, "300"));
        runFor(cell, 100);
    }
    cell.lateOrderRate = 0;
    cell.workers[0]->reachable = true;
    runFor(cell, 20000);
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        CHECK(isCompleted(cell, number));
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("a start whose ticket expired while its placement was stored is not sent")
{
    // A leader whose writes to the store took longer than tickets are valid once sent such starts, and workers refused
    // 1,757 of them in half a minute. The price is the same as for starts without capacity.
    for (const bool gang : {false, true}) {
        simulated_cell_settings settings;
        settings.advised = true;
        simulated_cell cell(settings);
        runFor(cell, 2000);
        submitJob(cell, 0, makeJobKey(1), makeOneStepJob(4, 1, "300", gang));
        const cell_state &state = cell.daemons[*leaderOf(cell)]->daemon->leader->state;
        REQUIRE(runUntil(cell, 1000, [&] {
            const auto job = state.jobs.find(makeJobKey(1));
            return job != state.jobs.end() && job->second->runs.front() != nullptr;
        }));
        cell.storeDown = true;
        runFor(cell, 1600);
        cell.storeDown = false;
        CHECK(runUntil(cell, 5000, [&] { return isCompleted(cell, 1); }));
        CHECK(cell.startsWithoutTicket == 0);
        CHECK(cell.jobs[makeJobKey(1)].starts == 4);
        CHECK(cell.violations.empty());
    }
}

TEST_CASE("a repeated start that is refused does not start a task again that has begun")
{
    // The first start has no reply. A leader that handles events late learns from a report that the run has begun, and
    // before it learns of the end, the worker refuses the repeated start because the run has ended.
    simulated_cell cell({});
    runFor(cell, 2000);
    constexpr std::int64_t period = 450;
    constexpr std::int64_t delay = 350;
    cell.daemons[*leaderOf(cell)]->handlingPeriod = period;
    for (const auto &worker : cell.workers) {
        worker->replyDelay = delay;
    }
    cell.lostOrderReplyRate = 0.5;
    constexpr std::uint64_t jobs = 200;
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        submitJob(cell, 1, makeJobKey(number), makeOneStepJob(1, 1, "300"));
        runFor(cell, 70);
    }
    cell.lostOrderReplyRate = 0;
    runFor(cell, 10000);
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        CHECK(isCompleted(cell, number));
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("the members of a gang do not wait for one whose start gets no reply")
{
    // The others were stopped only after that member had ended, and so waited until their time limit.
    simulated_cell cell({});
    runFor(cell, 2000);
    cell.workers[0]->ordersArrive = false;
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(16, 4, "500", true));
    runFor(cell, 4500);
    CHECK(cell.jobs[makeJobKey(1)].starts == 12);
    CHECK(cell.aloneEnds == 0);
    cell.workers[0]->ordersArrive = true;
    CHECK(runUntil(cell, 8000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.violations.empty());
}

TEST_CASE("a daemon that alone has lost the store relays its callers' jobs to another daemon")
{
    // Callers with open connections to such a daemon were once refused until it reached the store again, for 9 s.
    simulated_cell cell({});
    runFor(cell, 2000);
    const std::size_t daemon = (*leaderOf(cell) + 1) % 3;
    cell.daemons[daemon]->storeUnreachable = true;
    runFor(cell, 4000);
    REQUIRE(cell.daemons[daemon]->daemon->intake->storeLost);
    submitJob(cell, daemon, makeJobKey(1), makeOneStepJob(1, 1, "200"));
    runFor(cell, 40);
    CHECK(cell.jobs[makeJobKey(1)].acknowledged);
    // A resubmission to the same or to another daemon stays one job.
    submitJob(cell, daemon, makeJobKey(1), makeOneStepJob(1, 1, "200"));
    submitJob(cell, (daemon + 1) % 3, makeJobKey(1), makeOneStepJob(1, 1, "200"));
    CHECK(runUntil(cell, 2000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.jobs[makeJobKey(1)].starts == 1);
    std::optional<caller_answer> answered;
    queryJobAt(cell, daemon, makeJobKey(1), [&](const caller_answer &given) { answered = given; });
    runFor(cell, 40);
    REQUIRE(answered);
    CHECK(std::holds_alternative<job_status>(*answered));
    CHECK(cell.violations.empty());
}

TEST_CASE("a relayed job is neither lost nor refused if the daemon that stores it does not reply")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    const std::size_t daemon = (*leaderOf(cell) + 1) % 3;
    cell.daemons[daemon]->storeUnreachable = true;
    runFor(cell, 4000);
    // All transactions are applied, but their replies are lost.
    cell.lostStoreReplyRate = 1;
    submitJob(cell, daemon, makeJobKey(1), makeOneStepJob(1, 1, "200"));
    runFor(cell, 1500);
    REQUIRE(cell.jobs[makeJobKey(1)].answeredAt);
    CHECK_FALSE(cell.jobs[makeJobKey(1)].onlyRefused);
    CHECK_FALSE(cell.jobs[makeJobKey(1)].acknowledged);
    cell.lostStoreReplyRate = 0;
    CHECK(runUntil(cell, 6000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.jobs[makeJobKey(1)].starts == 1);
    // Without any other daemon, jobs are refused immediately.
    for (std::size_t number = 0; number < 3; ++number) {
        if (number != daemon) {
            killDaemon(cell, number);
        }
    }
    runFor(cell, 1500);
    submitJob(cell, daemon, makeJobKey(2), makeOneStepJob(1, 1, "200"));
    runFor(cell, 10);
    CHECK(cell.jobs[makeJobKey(2)].answeredAt);
    CHECK(cell.jobs[makeJobKey(2)].onlyRefused);
    CHECK(cell.violations.empty());
}

TEST_CASE("advice requests of two terms have different correlations")
{
    // A late response to a request of an earlier term was once matched to a request of the new term: the leader then
    // found no suitable worker for a job, which waited forever (seed 402009 of cell_model).
    const auto cell = makeBusyCell("9000");
    const std::size_t first = *leaderOf(*cell);
    const std::uint64_t before = newCorrelation(*cell->daemons[first]->context).value;
    killDaemon(*cell, first);
    REQUIRE(runUntil(*cell, 4000, [&] { return leaderOf(*cell).has_value(); }));
    cell_context &second = *cell->daemons[*leaderOf(*cell)]->context;
    const std::uint64_t after = newCorrelation(second).value;
    constexpr std::uint64_t maxQueriesPerTerm = 1000000;
    CHECK(std::max(before, after) - std::min(before, after) > maxQueriesPerTerm);
    // The correlations of one daemon keep increasing, also if it leads again.
    CHECK(newCorrelation(second).value > after);
}

TEST_CASE("jobs start while the leader's watch on the store reports nothing")
{
    // After the store had lost its history, the leader learned of no new job for 3 s.
    const auto cell = makeBusyCell("5000");
    const std::size_t leader = *leaderOf(*cell);
    cell->daemons[leader]->context->store.watch =
        [](const auto &, auto, milliseconds, milliseconds, const store_callback<store_page> &) {
        };
    runFor(*cell, 2100); // Ends the watch that is in progress.
    for (std::uint64_t number = 2; number < 8; ++number) {
        submitJob(*cell, number % 3, makeJobKey(number), makeOneStepJob(1, 1, "300"));
    }
    runFor(*cell, 250);
    for (std::uint64_t number = 2; number < 8; ++number) {
        CHECK(cell->jobs[makeJobKey(number)].starts == 1);
    }
    CHECK(cell->violations.empty());
}

TEST_CASE("a late notice of a stored job does not start a finished job again")
{
    const auto cell = makeBusyCell("200");
    CHECK(runUntil(*cell, 3000, [&] { return isCompleted(*cell, 1); }));
    const std::size_t leader = *leaderOf(*cell);
    accepted_job job{makeJobKey(1), cell->jobs[makeJobKey(1)].job, makeQueue(*cell).policy, utc_time(0)};
    const auto announce = [&](std::int64_t age) {
        job.acceptedAt = utc_time(1700000000000 + cell->now - age);
        accepted_jobs message;
        message.jobs.push_back({job.key, store_revision(5), encodeAcceptedJob(job)});
        message.jobs.push_back({makeJobKey(99), store_revision(5), "{"});
        post(cell->daemons[leader]->context->box, [&cell, leader, message](const clock_reading &now) {
            handleDaemonMessage(*cell->daemons[leader]->daemon, message, now);
        });
        runFor(*cell, 500);
    };
    announce(100);
    runFor(*cell, 300000); // The progress of the job is removed meanwhile.
    announce(300000);
    CHECK(cell->jobs[makeJobKey(1)].starts == 2);
    CHECK(cell->violations.empty());
}

TEST_CASE("a daemon that has drained does not end before a request that waits for the control thread is handled")
{
    // The request would get neither an answer nor a refusal: the process waits for its response, which never comes, and
    // ends.
    simulated_cell cell({});
    runFor(cell, 2000);
    const std::size_t number = (*leaderOf(cell) + 1) % cell.daemons.size();
    cell_context &context = *cell.daemons[number]->context;
    cell_daemon &daemon = *cell.daemons[number]->daemon;
    std::optional<bool> finishedBefore;
    timer arrival;
    arrival.fire = [&](const clock_reading &) {
        postRequest(context.box, [&](const clock_reading &) { finishedBefore = daemon.finished; });
    };
    post(context.box, [&](const clock_reading &now) { drainCellDaemon(daemon, now); });
    // Until after the last check before the end of the drain.
    runFor(cell, context.settings.limits.drainTime.count() - 50);
    // Just before the check that ends the drain, so that both timers fire in the same batch.
    subscribe(context.timers, arrival, daemon.drainTimer.due - std::chrono::nanoseconds(1));
    REQUIRE(runUntil(cell, 4000, [&] { return finishedBefore.has_value(); }));
    CHECK_FALSE(*finishedBefore);
}
