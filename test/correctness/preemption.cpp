// Tests that work of higher priority preempts running tasks that can be resumed. Guards against victims that cannot be
// resumed, more victims than needed, and a job that is preempted again and again.
#include "../fixtures/scheduler_fixture.h"

#include <catch2/catch.hpp>
#include <set>

using namespace sesamespar;
using namespace sesamespar::fixture;

TEST_CASE("work of higher priority that fits nowhere preempts exactly one victim, once")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 2, amount(16, 32));
    submit(*state, makeJob("a", "batch", work_kind::Batch, amount(4, 4), 8));
    REQUIRE(schedule(*state, at(0), 100).placements.size() == 8);
    submit(*state, makeJob("b", "query", work_kind::Query, amount(2, 2)));
    const auto result = schedule(*state, at(0), 100);
    CHECK(result.placements.empty());
    REQUIRE(result.preemptions.size() == 1);
    CHECK(schedule(*state, at(1000), 100).preemptions.empty());

    releaseTask(*state, result.preemptions.front().task);
    const auto after = schedule(*state, at(1000), 100);
    REQUIRE(after.placements.size() == 1);
    CHECK(after.placements.front().task.job.key.value == "query");
    CHECK(after.placements.front().worker == result.preemptions.front().worker);
}

TEST_CASE("nothing is preempted if the work fits on a worker")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 2, amount(16, 32));
    submit(*state, makeJob("a", "batch", work_kind::Batch, amount(4, 4), 7));
    schedule(*state, at(0), 100);
    submit(*state, makeJob("b", "query", work_kind::Query, amount(2, 2)));
    const auto result = schedule(*state, at(0), 100);
    CHECK(result.placements.size() == 1);
    CHECK(result.preemptions.empty());
}

TEST_CASE("a task is no victim if it cannot be resumed or its kind is not preemptible or not of lower priority")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 1, amount(16, 32));
    auto running = makeJob("a", "1", work_kind::Batch, amount(16, 16));
    SECTION("a job that is not repeatable")
    {
        running.repeatable = false;
    }
    SECTION("a job that has reached its preemption limit")
    {
        running.preemptions = 3;
    }
    SECTION("a kind that is not preemptible")
    {
        running.kind = work_kind::Service;
    }
    SECTION("the same priority")
    {
        running.kind = work_kind::Query;
    }
    submit(*state, running);
    REQUIRE(schedule(*state, at(0), 100).placements.size() == 1);
    submit(*state, makeJob("b", "query", work_kind::Query, amount(2, 2)));
    CHECK(schedule(*state, at(0), 100).preemptions.empty());
}

TEST_CASE("the fewest victims, and of these the least often preempted, are chosen")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 3, amount(16, 32));
    for (std::uint32_t index = 0; index < 4; ++index) {
        adoptTask(
            *state, makeJob("a", "small", work_kind::Batch, amount(4, 4), 4), task_index(index), worker_id("vm0000"));
    }
    auto often = makeJob("a", "often", work_kind::Batch, amount(16, 16));
    often.preemptions = 2;
    adoptTask(*state, often, task_index(0), worker_id("vm0001"));
    adoptTask(*state, makeJob("a", "never", work_kind::Batch, amount(16, 16)), task_index(0), worker_id("vm0002"));
    submit(*state, makeJob("b", "query", work_kind::Query, amount(16, 16)));
    const auto result = schedule(*state, at(0), 100);
    REQUIRE(result.preemptions.size() == 1);
    CHECK(result.preemptions.front().task.job.key.value == "never");
}

TEST_CASE("the preemption limit of a job holds over repeated placements")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 1, amount(16, 32));
    auto batch = makeJob("a", "batch", work_kind::Batch, amount(16, 16));
    submit(*state, batch);
    REQUIRE(schedule(*state, at(0), 100).placements.size() == 1);
    for (std::int64_t round = 0; round < 10; ++round) {
        const auto query = makeJob("b", std::to_string(round), work_kind::Query, amount(16, 16));
        submit(*state, query, at(round * 1000));
        const auto result = schedule(*state, at(round * 1000), 100);
        if (result.preemptions.empty()) {
            dequeue(*state, query.id);
            continue;
        }
        ++batch.preemptions;
        releaseTask(*state, {batch.id, task_index(0)});
        submit(*state, batch, at(round * 1000));
        REQUIRE(schedule(*state, at(round * 1000), 100).placements.size() == 1);
        releaseTask(*state, {query.id, task_index(0)});
        REQUIRE(schedule(*state, at(round * 1000), 100).placements.size() == 1);
    }
    CHECK(batch.preemptions == 3);
}

TEST_CASE("preemption respects the guarantee of a kind")
{
    auto settings = makeConfiguration();
    policy(*settings, work_kind::Batch).guaranteedPercent = 50;
    const auto state = makeScheduler(settings);
    addWorkers(*state, 4, amount(16, 32));
    // One job per task, because the preemption limit applies to all tasks of a job together.
    for (int number = 0; number < 16; ++number) {
        submit(*state, makeJob("a", std::to_string(number), work_kind::Batch, amount(4, 4)));
    }
    REQUIRE(schedule(*state, at(0), 100).placements.size() == 16);
    submit(*state, makeJob("b", "query", work_kind::Query, amount(4, 4), 100));
    CHECK(schedule(*state, at(0), 100).preemptions.size() == 8);
}

TEST_CASE("capacity freed by preemption for a cancelled job is available to other work")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 1, amount(16, 32));
    submit(*state, makeJob("a", "batch", work_kind::Batch, amount(16, 16)));
    schedule(*state, at(0), 100);
    const auto query = makeJob("b", "query", work_kind::Query, amount(16, 16));
    submit(*state, query);
    const auto result = schedule(*state, at(0), 100);
    REQUIRE(result.preemptions.size() == 1);
    dequeue(*state, query.id);
    releaseTask(*state, result.preemptions.front().task);
    submit(*state, makeJob("c", "other", work_kind::Query, amount(16, 16)));
    CHECK(schedule(*state, at(0), 100).placements.size() == 1);
}
