// A cell whose parts fail: each case is a fault that once broke, or would break, a promise of the product.
#include "../fixtures/cell_world.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

bool isCompleted(const world &cell, std::uint64_t number)
{
    return storedPhase(cell, keyNumber(number)) == job_phase::Completed;
}

/// A cell with a leader and one job of two tasks that run.
std::unique_ptr<world> makeBusyWorld(const std::string &payload)
{
    auto cell = std::make_unique<world>(world_settings{});
    runFor(*cell, 2000);
    REQUIRE(leaderOf(*cell));
    submitJob(*cell, 0, keyNumber(1), oneStep(2, 1, payload));
    runFor(*cell, 300);
    REQUIRE(cell->jobs[keyNumber(1)].starts == 2);
    return cell;
}

} // namespace

TEST_CASE("a new leader keeps the runs of the one before")
{
    // The first report of a worker once looked like a restart to a new leader, which started all tasks again.
    const auto cell = makeBusyWorld("6000");
    killDaemon(*cell, *leaderOf(*cell));
    CHECK(runUntil(*cell, 10000, [&] { return isCompleted(*cell, 1); }));
    CHECK(cell->jobs[keyNumber(1)].starts == 2);
    CHECK(cell->broken.empty());
}

TEST_CASE("a run goes on while the store is away")
{
    const auto cell = makeBusyWorld("9000");
    cell->storeDown = true;
    runFor(*cell, 8000);
    cell->storeDown = false;
    CHECK(runUntil(*cell, 6000, [&] { return isCompleted(*cell, 1); }));
    CHECK(cell->jobs[keyNumber(1)].starts == 2);
    CHECK(cell->broken.empty());
}

TEST_CASE("a leader that is cut from the store and still reaches the workers breaks nothing")
{
    const auto cell = makeBusyWorld("2500");
    const std::size_t leader = *leaderOf(*cell);
    cell->daemons[leader]->cutFromStore = true;
    runFor(*cell, 6000);
    submitJob(*cell, (leader + 1) % 3, keyNumber(2), oneStep(2, 1, "500"));
    CHECK(runUntil(*cell, 8000, [&] { return isCompleted(*cell, 1) && isCompleted(*cell, 2); }));
    CHECK(cell->jobs[keyNumber(1)].starts == 2);
    CHECK(cell->broken.empty());
}

TEST_CASE("a leader that was frozen starts nothing that another one has taken over")
{
    const auto cell = makeBusyWorld("1000");
    const std::size_t leader = *leaderOf(*cell);
    for (std::uint64_t number = 2; number < 10; ++number) {
        submitJob(*cell, leader, keyNumber(number), oneStep(2, 6, "900"));
    }
    runFor(*cell, 20);
    freezeDaemon(*cell, leader);
    runFor(*cell, 4000);
    thawDaemon(*cell, leader);
    for (std::uint64_t number = 1; number < 10; ++number) {
        const bool accepted = cell->jobs[keyNumber(number)].acknowledged;
        CHECK(runUntil(*cell, 15000, [&] { return !accepted || isCompleted(*cell, number); }));
    }
    CHECK(cell->broken.empty());
}

TEST_CASE("a task of a restarted worker is started again")
{
    const auto cell = makeBusyWorld("3000");
    for (std::size_t number = 0; number < cell->workers.size(); ++number) {
        restartWorker(*cell, number);
    }
    CHECK(runUntil(*cell, 10000, [&] { return isCompleted(*cell, 1); }));
    CHECK(cell->jobs[keyNumber(1)].starts == 4);
    CHECK(cell->broken.empty());
}

TEST_CASE("a task of a worker that is cut off is started again only when its lease is over")
{
    const auto cell = makeBusyWorld("20000");
    for (const auto &worker : cell->workers) {
        worker->reachable = worker->running.empty();
    }
    // A lease lasts 6 s, on clocks that may be 2% slow.
    runFor(*cell, 5500);
    CHECK(cell->jobs[keyNumber(1)].starts == 2);
    CHECK(runUntil(*cell, 2500, [&] { return cell->jobs[keyNumber(1)].starts == 4; }));
    CHECK(cell->broken.empty());
}

TEST_CASE("a job whose first transaction was applied without an answer is accepted once")
{
    world cell({});
    runFor(cell, 2000);
    cell.lostStoreAnswers = 0.4;
    for (std::uint64_t number = 1; number < 12; ++number) {
        submitJob(cell, number % 3, keyNumber(number), oneStep(1, 1, "400"));
        runFor(cell, 100);
    }
    cell.lostStoreAnswers = 0;
    for (std::uint64_t number = 1; number < 12; ++number) {
        CHECK(runUntil(cell, 10000, [&] { return isCompleted(cell, number); }));
        CHECK(cell.jobs[keyNumber(number)].starts == 1);
    }
    CHECK(cell.broken.empty());
}

TEST_CASE("a job is refused only if no transaction with it can be applied later")
{
    world cell({});
    runFor(cell, 2000);
    cell.lateStoreWrites = 1;
    submitJob(cell, 0, keyNumber(1), oneStep(1, 1, "400"));
    runFor(cell, 4000);
    CHECK_FALSE(cell.jobs[keyNumber(1)].acknowledged);
    CHECK_FALSE(cell.jobs[keyNumber(1)].refusedOnly);
    cell.lateStoreWrites = 0;
    runFor(cell, 12000);
    CHECK(cell.broken.empty());
}

TEST_CASE("orders that are carried out seconds later start nothing twice")
{
    world cell({});
    runFor(cell, 2000);
    cell.lateOrders = 0.3;
    for (std::uint64_t number = 1; number < 20; ++number) {
        submitJob(cell, number % 3, keyNumber(number), oneStep(2, 2, "700", number % 4 == 0));
        runFor(cell, 150);
    }
    runFor(cell, 5000);
    cell.lateOrders = 0;
    for (std::uint64_t number = 1; number < 20; ++number) {
        CHECK(runUntil(cell, 30000, [&] { return isCompleted(cell, number); }));
    }
    CHECK(cell.broken.empty());
}

TEST_CASE("all daemons are killed right after an acknowledgement")
{
    world cell({});
    runFor(cell, 2000);
    submitJob(cell, 0, keyNumber(1), oneStep(2, 1, "1000"));
    REQUIRE(runUntil(cell, 300, [&] { return cell.jobs[keyNumber(1)].acknowledged; }));
    for (std::size_t number = 0; number < 3; ++number) {
        killDaemon(cell, number);
    }
    runFor(cell, 1500);
    for (std::size_t number = 0; number < 3; ++number) {
        startDaemon(cell);
    }
    CHECK(runUntil(cell, 8000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.broken.empty());
}

TEST_CASE("a watch whose history is gone lists again")
{
    const auto cell = makeBusyWorld("500");
    cell->historyFrom = cell->revision;
    cell->history.clear();
    cell->watches.clear();
    submitJob(*cell, 1, keyNumber(2), oneStep(1, 1, "300"));
    CHECK(runUntil(*cell, 8000, [&] { return isCompleted(*cell, 2); }));
    CHECK(cell->broken.empty());
}

TEST_CASE("ends of a worker's new life are not forgotten under a number of the life before")
{
    world_settings settings;
    settings.workers = 1;
    world cell(settings);
    runFor(cell, 2000);
    for (std::uint64_t number = 1; number < 6; ++number) {
        submitJob(cell, 0, keyNumber(number), oneStep(1, 1, "50"));
    }
    runFor(cell, 2000);
    submitJob(cell, 0, keyNumber(9), oneStep(1, 1, "20000"));
    runFor(cell, 300);
    fake_worker &worker = *cell.workers.front();
    REQUIRE(worker.running.size() == 1);
    worker.reachable = false;
    runFor(cell, 2500);
    // The start reaches the new life, and its run ends there before the leader hears of the restart.
    restartWorker(cell, 0);
    worker.ended.push_back({end_number(++worker.lastEnd), {keyNumber(9), 0, 0}, run_number(1), run_end::Done, {}});
    worker.reachable = true;
    CHECK(runUntil(cell, 3000, [&] { return isCompleted(cell, 9); }));
    CHECK(cell.jobs[keyNumber(9)].starts == 1);
}

TEST_CASE("a daemon that has lost the store refuses at once, so that callers go to another one")
{
    // Requests at daemons that were cut off once waited for their deadline, 3 s, and failed.
    world cell({});
    runFor(cell, 2000);
    const std::size_t daemon = (*leaderOf(cell) + 1) % 3;
    cell.daemons[daemon]->cutFromStore = true;
    submitJob(cell, daemon, keyNumber(1), oneStep(1, 1, "200"));
    runFor(cell, 1500);
    REQUIRE(cell.jobs[keyNumber(1)].answeredAt);
    CHECK_FALSE(cell.jobs[keyNumber(1)].refusedOnly);
    CHECK_FALSE(cell.daemons[daemon]->daemon->ready);
    submitJob(cell, daemon, keyNumber(2), oneStep(1, 1, "200"));
    runFor(cell, 10);
    CHECK(cell.jobs[keyNumber(2)].answeredAt);
    CHECK(cell.jobs[keyNumber(2)].refusedOnly);
    cell.daemons[daemon]->cutFromStore = false;
    runFor(cell, 1500);
    CHECK(cell.daemons[daemon]->daemon->ready);
    submitJob(cell, daemon, keyNumber(2), oneStep(1, 1, "200"));
    CHECK(runUntil(cell, 2000, [&] { return isCompleted(cell, 2); }));
    CHECK(cell.broken.empty());
}

TEST_CASE("a job that is placed but not begun still counts as waiting")
{
    // A leader that took over after the loss of all daemons once told that nothing waits.
    world cell({});
    runFor(cell, 2000);
    for (const auto &worker : cell.workers) {
        worker->reachable = false;
    }
    submitJob(cell, 0, keyNumber(1), oneStep(1, 1, "200"));
    runFor(cell, 1000);
    REQUIRE(storedPhase(cell, keyNumber(1)) == job_phase::Running);
    killDaemon(cell, *leaderOf(cell));
    REQUIRE(runUntil(cell, 4000, [&] { return leaderOf(cell).has_value(); }));
    runFor(cell, 1500);
    CHECK(cell.daemons[*leaderOf(cell)]->daemon->load.queues[queue_id("queue")].pending == 1);
}
