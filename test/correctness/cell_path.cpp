// The path of a job through a cell: accepted, placed, run, shown as completed. Guards against a broken order of writes
// and starts where nothing fails.
#include "../fixtures/cell_world.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

bool isCompleted(const world &cell, std::uint64_t number)
{
    return storedPhase(cell, keyNumber(number)) == job_phase::Completed;
}

} // namespace

TEST_CASE("a job of two steps is accepted, run in order and shown as completed")
{
    world cell({});
    runFor(cell, 2000);
    REQUIRE(leaderOf(cell));
    stepped_job job = oneStep(3, 2, "500");
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    submitJob(cell, 1, keyNumber(1), job);
    REQUIRE(runUntil(cell, 200, [&] { return cell.jobs[keyNumber(1)].acknowledged; }));
    CHECK(runUntil(cell, 3000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.jobs[keyNumber(1)].starts == 6);
    CHECK(cell.broken.empty());
}

TEST_CASE("a gang starts on several workers and ends once")
{
    world cell({});
    runFor(cell, 2000);
    submitJob(cell, 0, keyNumber(1), oneStep(4, 12, "800", true));
    CHECK(runUntil(cell, 3000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.jobs[keyNumber(1)].starts == 4);
    CHECK(cell.broken.empty());
}

TEST_CASE("work that needs advice runs with tickets that other daemons have asked for")
{
    world_settings settings;
    settings.advised = true;
    world cell(settings);
    runFor(cell, 2000);
    for (std::uint64_t number = 1; number <= 6; ++number) {
        submitJob(cell, number % 3, keyNumber(number), oneStep(2, 4, "300"));
    }
    for (std::uint64_t number = 1; number <= 6; ++number) {
        CHECK(runUntil(cell, 8000, [&] { return isCompleted(cell, number); }));
    }
    CHECK(cell.broken.empty());
}

TEST_CASE("a job that fails in every run is shown as failed after its attempts")
{
    world cell({});
    runFor(cell, 2000);
    submitJob(cell, 0, keyNumber(1), oneStep(1, 1, "fail"));
    CHECK(runUntil(cell, 5000, [&] { return storedPhase(cell, keyNumber(1)) == job_phase::Failed; }));
    CHECK(cell.jobs[keyNumber(1)].starts == 3);
    CHECK(cell.broken.empty());
}

TEST_CASE("a cancelled job stops and starts nothing any more")
{
    world cell({});
    runFor(cell, 2000);
    submitJob(cell, 0, keyNumber(1), oneStep(2, 1, "60000"));
    runFor(cell, 1000);
    cancelJobAt(cell, 2, keyNumber(1));
    REQUIRE(runUntil(cell, 500, [&] { return cell.jobs[keyNumber(1)].cancelled; }));
    runFor(cell, 1000);
    CHECK(storedPhase(cell, keyNumber(1)) == job_phase::Cancelled);
    for (const auto &worker : cell.workers) {
        CHECK(worker->running.empty());
    }
    CHECK(cell.jobs[keyNumber(1)].starts == 2);
}

TEST_CASE("the same job handed in at several daemons runs once")
{
    world cell({});
    runFor(cell, 2000);
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        submitJob(cell, daemon, keyNumber(1), oneStep(1, 1, "300"));
    }
    CHECK(runUntil(cell, 3000, [&] { return isCompleted(cell, 1); }));
    submitJob(cell, 1, keyNumber(1), oneStep(1, 1, "300"));
    runFor(cell, 2000);
    CHECK(cell.jobs[keyNumber(1)].acknowledged);
    CHECK(cell.jobs[keyNumber(1)].starts == 1);
}

TEST_CASE("a stopping leader hands its term over at once")
{
    world cell({});
    runFor(cell, 2000);
    const auto leader = leaderOf(cell);
    REQUIRE(leader);
    submitJob(cell, *leader, keyNumber(1), oneStep(2, 1, "1500"));
    runFor(cell, 300);
    post(cell.daemons[*leader]->context->box,
         [&](const clock_reading &now) { drainCellDaemon(*cell.daemons[*leader]->daemon, now); });
    // Far less than the life of the leader's lease.
    CHECK(runUntil(cell, 1000, [&] { return leaderOf(cell).has_value() && leaderOf(cell) != leader; }));
    CHECK(runUntil(cell, 4000, [&] { return isCompleted(cell, 1); }));
    CHECK(cell.jobs[keyNumber(1)].starts == 2);
    CHECK(cell.broken.empty());
}
