// Acknowledgements of ended runs and starts that reach a worker after it has restarted under its id. Guards against an
// end that the worker discards before any report has listed it, after which its task runs a second time.
#include "../fixtures/cell_simulation.h"
#include "../fixtures/cell_simulation_parts.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

bool isCompleted(const simulated_cell &cell, std::uint64_t number)
{
    return storedPhase(cell, makeJobKey(number)) == job_phase::Completed;
}

/// Observes and holds up the calls of all daemons to workers.
struct call_tap {
    std::size_t acknowledgements = 0; ///< Polls that acknowledge ends.
    std::function<void()> beforeStart; ///< Runs once, before the next start is delivered.
    std::uint64_t holdsFrom = 0; ///< The next acknowledgement of this or a higher number is held up; 0 for none.
    std::function<void()> held; ///< Delivers the acknowledgement that is held up.
};

std::shared_ptr<call_tap> tapCalls(simulated_cell &cell)
{
    auto tap = std::make_shared<call_tap>();
    for (const auto &daemon : cell.daemons) {
        worker_port &port = daemon->context->workers;
        port.poll = [tap,
                     send = port.poll](const auto &target, const auto &poll, milliseconds limit, const auto &done) {
            tap->acknowledgements += poll.seenEnds.value != 0 ? 1 : 0;
            if (tap->holdsFrom != 0 && poll.seenEnds.value >= tap->holdsFrom) {
                tap->holdsFrom = 0;
                tap->held = [=] {
                    send(target, poll, limit, done);
                };
            } else {
                send(target, poll, limit, done);
            }
        };
        port.start = [tap, send = port.start](const auto &target, const auto &order, auto limit, const auto &done) {
            if (const auto before = std::exchange(tap->beforeStart, nullptr)) {
                before();
            }
            send(target, order, limit, done);
        };
    }
    return tap;
}

/// Returns a cell of one worker. Executors call it if `delegated` is set.
std::unique_ptr<simulated_cell> makeCellOfOneWorker(bool delegated)
{
    simulated_cell_settings settings;
    settings.workers = 1;
    settings.directWorkers = delegated ? 0 : 64;
    auto cell = std::make_unique<simulated_cell>(settings);
    runFor(*cell, 2000);
    REQUIRE(leaderOf(*cell));
    return cell;
}

/// Restarts the worker under its id. Its entry reaches the daemons late, so that they learn of it from its reports.
void restartSilently(simulated_cell &cell)
{
    cell.workers.front()->publishes = false;
    restartWorker(cell, 0);
    schedule(cell, 2000, [&cell] { publishWorker(cell, 0); });
}

/// Checks that the jobs up to `last` are completed and that each of their tasks has run once.
void checkRanOnce(simulated_cell &cell, std::uint64_t last)
{
    for (std::uint64_t number = 1; number <= last; ++number) {
        CHECK(runUntil(cell, 30000, [&] { return isCompleted(cell, number); }));
        const simulated_job &job = cell.jobs[makeJobKey(number)];
        CHECK(job.starts == job.job.steps.front().count);
    }
    CHECK(cell.violations.empty());
}

} // namespace

TEST_CASE("an acknowledgement that reaches a restarted worker late discards no end that no report has listed")
{
    // Within its limit, as if the network or a paused process held it up, or after it, as if the worker carried it out
    // late without a reply.
    for (const bool delegated : {false, true}) {
        for (const std::int64_t lateness : {300, 5000}) {
            INFO("delegated " << delegated << ", late by " << lateness << " ms");
            const auto cell = makeCellOfOneWorker(delegated);
            const auto tap = tapCalls(*cell);
            tap->holdsFrom = 2;
            submitJob(*cell, 0, makeJobKey(1), makeOneStepJob(2, 1, "50"));
            REQUIRE(runUntil(*cell, 2000, [&] { return tap->held != nullptr; }));
            restartSilently(*cell);
            submitJob(*cell, 0, makeJobKey(2), makeOneStepJob(1, 1, "50"));
            submitJob(*cell, 0, makeJobKey(3), makeOneStepJob(1, 1, "80"));
            // The pause after the report of the first end leaves the second one unlisted for a moment.
            runUntil(*cell, lateness, [&] { return cell->workers.front()->lastEnd == 2; });
            tap->held();
            checkRanOnce(*cell, 3);
        }
    }
}

TEST_CASE("ends are not acknowledged to a restarted worker that has run a task of which no report is known")
{
    // The worker restarts between two polls, and a task that is started meanwhile ends before the second one.
    for (const bool delegated : {false, true}) {
        INFO("delegated " << delegated);
        const auto cell = makeCellOfOneWorker(delegated);
        submitJob(*cell, 0, makeJobKey(1), makeOneStepJob(1, 1, "50"));
        REQUIRE(runUntil(*cell, 1000, [&] { return !cell->workers.front()->running.empty(); }));
        const auto tap = tapCalls(*cell);
        bool restarted = false;
        tap->beforeStart = [&] {
            restarted = cell->workers.front()->lastEnd == 1 && tap->acknowledgements == 0;
            restartSilently(*cell);
        };
        runFor(*cell, 30);
        submitJob(*cell, 0, makeJobKey(2), makeOneStepJob(1, 1, "5"));
        checkRanOnce(*cell, 2);
        CHECK(restarted);
    }
}

TEST_CASE("workers discard the ends that are stored, also after a restart and through another daemon")
{
    for (const bool delegated : {false, true}) {
        INFO("delegated " << delegated);
        const auto cell = makeCellOfOneWorker(delegated);
        std::uint64_t number = 0;
        const auto checkDiscarded = [&] {
            submitJob(*cell, 0, makeJobKey(++number), makeOneStepJob(2, 1, "50"));
            REQUIRE(runUntil(*cell, 5000, [&] { return isCompleted(*cell, number); }));
            runFor(*cell, 1000);
            CHECK(cell->workers.front()->lastEnd >= 2);
            CHECK(cell->workers.front()->ended.empty());
        };
        checkDiscarded();
        restartWorker(*cell, 0);
        runFor(*cell, 1500);
        checkDiscarded();
        killDaemon(*cell, *leaderOf(*cell));
        startDaemon(*cell);
        runFor(*cell, 10000);
        checkDiscarded();
        CHECK(cell->violations.empty());
    }
}
