// Tests that workers on which tasks fail repeatedly are quarantined, and that failures of work that fails on any worker
// are attributed to the work. Guards against a faulty worker that fails the whole queue, and against faulty work that
// takes healthy workers out of service.
#include "../fixtures/scheduler_fixture.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

worker_id worker(int number)
{
    return makeWorker(number, {}).name;
}

scheduler_ptr makeFleet(int workers)
{
    auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, workers, amount(16, 32));
    return state;
}

// Reports failures of three works that run only on this worker, which quarantines it.
bool failWorker(scheduler &state, int number, time_point now = at(0))
{
    bool changed = false;
    for (int failure = 0; failure < 3; ++failure) {
        const work_id work("work" + std::to_string(number) + "-" + std::to_string(failure));
        changed = reportOutcome(state, work, worker(number), false, now) || changed;
    }
    return changed;
}

} // namespace

TEST_CASE("a worker on which different work fails is quarantined")
{
    const auto state = makeFleet(8);
    CHECK(failWorker(*state, 0));
    CHECK(summarize(*state).quarantinedWorkers == 1);
    CHECK(summarize(*state).placeableWorkers == 7);
    submit(*state, makeJob("a", "1", work_kind::Batch, amount(1, 1), 64));
    for (const placement &each : schedule(*state, at(0), 100).placements) {
        CHECK(each.worker != worker(0));
    }
}

TEST_CASE("a worker is quarantined if one work fails on it repeatedly and succeeds on another worker")
{
    const auto state = makeFleet(8);
    for (int failure = 0; failure < 5; ++failure) {
        CHECK(summarize(*state).quarantinedWorkers == 0);
        reportOutcome(*state, work_id("w"), worker(1), true, at(0));
        reportOutcome(*state, work_id("w"), worker(0), false, at(0));
    }
    CHECK(summarize(*state).quarantinedWorkers == 1);
}

TEST_CASE("a success between failures keeps a worker in service")
{
    const auto state = makeFleet(8);
    for (int failure = 0; failure < 20; ++failure) {
        reportOutcome(*state, work_id("w" + std::to_string(failure)), worker(0), false, at(0));
        reportOutcome(*state, work_id("good"), worker(0), true, at(0));
    }
    CHECK(summarize(*state).quarantinedWorkers == 0);
}

TEST_CASE("no more than the configured share of the workers is quarantined")
{
    const auto state = makeFleet(8);
    for (int number = 0; number < 8; ++number) {
        failWorker(*state, number);
    }
    CHECK(summarize(*state).quarantinedWorkers == 2);
    CHECK(summarize(*state).placeableWorkers == 6);
}

TEST_CASE("failures on three workers are attributed to the work and end the quarantine")
{
    const auto state = makeFleet(8);
    for (int failure = 0; failure < 5; ++failure) {
        reportOutcome(*state, work_id("bad"), worker(0), false, at(0));
    }
    REQUIRE(summarize(*state).quarantinedWorkers == 1);
    CHECK_FALSE(reportOutcome(*state, work_id("bad"), worker(1), false, at(0)));
    CHECK(reportOutcome(*state, work_id("bad"), worker(2), false, at(0)));
    CHECK(summarize(*state).quarantinedWorkers == 0);
    for (int number = 0; number < 8; ++number) {
        for (int failure = 0; failure < 20; ++failure) {
            CHECK_FALSE(reportOutcome(*state, work_id("bad"), worker(number), false, at(0)));
        }
    }
    CHECK(summarize(*state).placeableWorkers == 8);
}

TEST_CASE("a worker returns on probation, with one task at a time until one succeeds")
{
    const auto state = makeFleet(4);
    failWorker(*state, 0);
    REQUIRE(summarize(*state).quarantinedWorkers == 1);
    submit(*state, makeJob("a", "1", work_kind::Batch, amount(1, 1), 100));
    REQUIRE(schedule(*state, at(59000), 100).placements.size() == 24);
    const auto result = schedule(*state, at(61000), 100);
    REQUIRE(result.placements.size() == 1);
    CHECK(result.placements.front().worker == worker(0));

    SECTION("a success ends the probation")
    {
        reportOutcome(*state, work_id("w"), worker(0), true, at(62000));
        CHECK(schedule(*state, at(62000), 100).placements.size() == 7);
    }
    SECTION("one failure quarantines it again, for longer")
    {
        CHECK(reportOutcome(*state, work_id("w"), worker(0), false, at(62000)));
        schedule(*state, at(150000), 100);
        CHECK(summarize(*state).quarantinedWorkers == 1);
        schedule(*state, at(190000), 100);
        CHECK(summarize(*state).quarantinedWorkers == 0);
    }
}

TEST_CASE("a task that failed on a worker is tried on another one")
{
    const auto state = makeFleet(2);
    const auto job = makeJob("a", "1", work_kind::Batch, amount(1, 1));
    submit(*state, job);
    const auto first = schedule(*state, at(0), 100);
    REQUIRE(first.placements.size() == 1);
    reportOutcome(*state, job.work, first.placements.front().worker, false, at(0));
    releaseTask(*state, {job.id, task_index(0)});
    submit(*state, job);
    const auto second = schedule(*state, at(0), 100);
    REQUIRE(second.placements.size() == 1);
    CHECK(second.placements.front().worker != first.placements.front().worker);
}

TEST_CASE("a removed worker no longer counts as quarantined")
{
    const auto state = makeFleet(8);
    failWorker(*state, 0);
    removeWorker(*state, worker(0));
    CHECK(summarize(*state).workers == 7);
    CHECK(summarize(*state).quarantinedWorkers == 0);
    CHECK(summarize(*state).placeableWorkers == 7);
}
