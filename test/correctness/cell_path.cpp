// Runs jobs through a simulated cell without faults: accepted, placed, executed, reported as completed. Guards against
// store writes and starts that are issued in the wrong order.
#include "../fixtures/cell_simulation.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

bool isCompleted(const simulated_cell &cell, std::uint64_t number)
{
    return storedPhase(cell, makeJobKey(number)) == job_phase::Completed;
}

} // namespace

TEST_CASE("a job of two steps is accepted, run in order and reported as completed")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    REQUIRE(leaderOf(cell));
    stepped_job job = makeOneStepJob(3, 2, "500");
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    submitJob(cell, 1, makeJobKey(1), job);
    REQUIRE(runUntil(cell, 200, [&] { return cell.jobs[makeJobKey(1)].acknowledged; }));
    CHECK(runUntil(cell, 3000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.jobs[makeJobKey(1)].starts == 6);
    CHECK(cell.violations.empty());
}

TEST_CASE("a gang starts once on several workers and completes")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(4, 12, "800", true));
    CHECK(runUntil(cell, 3000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.jobs[makeJobKey(1)].starts == 4);
    CHECK(cell.violations.empty());
}

TEST_CASE("jobs that need advice run with tickets that other daemons requested")
{
    simulated_cell_settings settings;
    settings.advised = true;
    simulated_cell cell(settings);
    runFor(cell, 2000);
    for (std::uint64_t number = 1; number <= 6; ++number) {
        submitJob(cell, number % 3, makeJobKey(number), makeOneStepJob(2, 4, "300"));
    }
    for (std::uint64_t number = 1; number <= 6; ++number) {
        CHECK(runUntil(cell, 8000, [&] { return isCompleted(cell, number); }));
    }
    CHECK(cell.violations.empty());
}

TEST_CASE("a job that fails in every run is reported as failed after its last attempt")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(1, 1, "fail"));
    CHECK(runUntil(cell, 5000, [&] { return storedPhase(cell, makeJobKey(1)) == job_phase::Failed; }));
    CHECK(cell.jobs[makeJobKey(1)].starts == 3);
    CHECK(cell.violations.empty());
}

TEST_CASE("a cancelled job stops its runs and starts no others")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(2, 1, "60000"));
    runFor(cell, 1000);
    cancelJobAt(cell, 2, makeJobKey(1));
    REQUIRE(runUntil(cell, 500, [&] { return cell.jobs[makeJobKey(1)].cancelled; }));
    runFor(cell, 1000);
    CHECK(storedPhase(cell, makeJobKey(1)) == job_phase::Cancelled);
    for (const auto &worker : cell.workers) {
        CHECK(worker->running.empty());
    }
    CHECK(cell.jobs[makeJobKey(1)].starts == 2);
}

TEST_CASE("a job submitted to several daemons runs once")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        submitJob(cell, daemon, makeJobKey(1), makeOneStepJob(1, 1, "300"));
    }
    CHECK(runUntil(cell, 3000, [&] { return isCompleted(cell, 1); }));
    submitJob(cell, 1, makeJobKey(1), makeOneStepJob(1, 1, "300"));
    runFor(cell, 2000);
    CHECK(cell.jobs[makeJobKey(1)].acknowledged);
    CHECK(cell.jobs[makeJobKey(1)].starts == 1);
}

TEST_CASE("another daemon takes over from a draining leader without waiting for the lease to expire")
{
    simulated_cell cell({});
    runFor(cell, 2000);
    const auto leader = leaderOf(cell);
    REQUIRE(leader);
    submitJob(cell, *leader, makeJobKey(1), makeOneStepJob(2, 1, "1500"));
    runFor(cell, 300);
    post(cell.daemons[*leader]->context->box,
         [&](const clock_reading &now) { drainCellDaemon(*cell.daemons[*leader]->daemon, now); });
    // Less than the duration of the leader's lease, which a takeover would otherwise have to wait for.
    CHECK(runUntil(cell, 1000, [&] { return leaderOf(cell).has_value() && leaderOf(cell) != leader; }));
    CHECK(runUntil(cell, 4000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.jobs[makeJobKey(1)].starts == 2);
    CHECK(cell.violations.empty());
}
