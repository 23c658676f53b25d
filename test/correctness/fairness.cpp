// Tests priorities, weighted shares, quotas, caps, guarantees and queue limits. Guards against one team or one kind of
// work that monopolises the fleet or the queues.
#include "../fixtures/scheduler_fixture.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

TEST_CASE("higher priority is served first")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 1, amount(16, 32));
    submit(*state, makeJob("a", "batch", work_kind::Batch, amount(16, 1)));
    submit(*state, makeJob("b", "query", work_kind::Query, amount(16, 1)));
    const auto result = schedule(*state, at(0), 100);
    REQUIRE(result.placements.size() == 1);
    CHECK(result.placements.front().task.job.key.value == "query");
}

TEST_CASE("teams of one class share capacity by weight")
{
    auto settings = makeConfiguration();
    addTeam(*settings, "light", 1);
    addTeam(*settings, "heavy", 3);
    const auto state = makeScheduler(settings);
    addWorkers(*state, 10, amount(16, 32));
    submit(*state, makeJob("light", "1", work_kind::Batch, amount(2, 2), 500));
    submit(*state, makeJob("heavy", "1", work_kind::Batch, amount(2, 2), 500));
    const auto result = schedule(*state, at(0), 1000);
    REQUIRE(result.placements.size() == 80);
    CHECK(countOf(result, "light") == 20);
    CHECK(countOf(result, "heavy") == 60);
}

TEST_CASE("a team uses no more than its quota")
{
    auto settings = makeConfiguration();
    addTeam(*settings, "a", 1, amount(10, 1000));
    const auto state = makeScheduler(settings);
    addWorkers(*state, 4, amount(16, 32));
    const auto job = makeJob("a", "1", work_kind::Batch, amount(4, 1), 8);
    submit(*state, job);
    CHECK(schedule(*state, at(0), 100).placements.size() == 2);
    CHECK(schedule(*state, at(1000), 100).placements.empty());
    releaseTask(*state, {job.id, task_index(0)});
    CHECK(schedule(*state, at(1000), 100).placements.size() == 1);
}

TEST_CASE("a kind uses no more than its cap")
{
    auto settings = makeConfiguration();
    policy(*settings, work_kind::Batch).capPercent = 50;
    const auto state = makeScheduler(settings);
    addWorkers(*state, 4, amount(16, 32));
    submit(*state, makeJob("a", "1", work_kind::Batch, amount(4, 1), 100));
    CHECK(schedule(*state, at(0), 100).placements.size() == 8);
}

TEST_CASE("a flood of one kind leaves other kinds their guarantee")
{
    auto settings = makeConfiguration();
    policy(*settings, work_kind::Batch).guaranteedPercent = 25;
    policy(*settings, work_kind::Query).guaranteedPercent = 25;
    const auto flooding = GENERATE(work_kind::Batch, work_kind::Query);
    const auto other = flooding == work_kind::Batch ? work_kind::Query : work_kind::Batch;
    const auto state = makeScheduler(settings);
    addWorkers(*state, 4, amount(16, 32));
    submit(*state, makeJob("flood", "1", flooding, amount(2, 2), 1000));
    submit(*state, makeJob("other", "1", other, amount(2, 2), 1000));
    const auto result = schedule(*state, at(0), 1000);
    CHECK(result.placements.size() == 32);
    CHECK(countOf(result, "flood") >= 8);
    CHECK(countOf(result, "other") >= 8);
}

TEST_CASE("a guarantee without demand does not leave capacity idle")
{
    auto settings = makeConfiguration();
    policy(*settings, work_kind::Query).guaranteedPercent = 50;
    const auto state = makeScheduler(settings);
    addWorkers(*state, 4, amount(16, 32));
    submit(*state, makeJob("a", "1", work_kind::Batch, amount(2, 2), 100));
    CHECK(schedule(*state, at(0), 1000).placements.size() == 32);
}

TEST_CASE("recently used guaranteed capacity stays reserved for its kind at first and is released later")
{
    auto settings = makeConfiguration();
    policy(*settings, work_kind::Query).guaranteedPercent = 50;
    const auto state = makeScheduler(settings);
    addWorkers(*state, 4, amount(16, 32));
    const auto query = makeJob("a", "query", work_kind::Query, amount(2, 2), 16);
    submit(*state, query);
    REQUIRE(schedule(*state, at(0), 1000).placements.size() == 16);
    for (const task_index index : allTasks(query)) {
        releaseTask(*state, {query.id, index});
    }
    submit(*state, makeJob("a", "1", work_kind::Batch, amount(2, 2), 100), at(1000));
    const auto soon = schedule(*state, at(1000), 1000).placements.size();
    CHECK(soon >= 16);
    CHECK(soon <= 18);
    schedule(*state, at(200000), 1000);
    CHECK(summarize(*state).placedTasks == 32);
}

TEST_CASE("a full queue refuses jobs with a reason and a retry delay that follows the drain rate")
{
    auto settings = makeConfiguration();
    policy(*settings, work_kind::Batch).queueLimit = 100;
    const auto state = makeScheduler(settings);
    addWorkers(*state, 4, amount(16, 32));
    submit(*state, makeJob("a", "1", work_kind::Batch, amount(2, 2), 95));
    const auto more = makeJob("b", "1", work_kind::Batch, amount(2, 2), 20);
    auto verdict = admit(*state, more);
    CHECK_FALSE(verdict.admitted);
    CHECK(verdict.reason == "the queue of batch work is full: 95 of 100 tasks wait");
    CHECK(verdict.retryAfter > milliseconds(0));
    CHECK(admit(*state, makeJob("b", "1", work_kind::Query, amount(2, 2), 20)).admitted);

    // One task starts and ends each 100 ms, so the 15 excess tasks have left the queue after about 1.5 s.
    schedule(*state, at(1), 1000);
    for (std::uint32_t index = 94; index > 63; --index) {
        releaseTask(*state, {{team_id("a"), idempotency_key("1")}, task_index(index)});
    }
    const auto filler = makeJob("a", "2", work_kind::Batch, amount(2, 2), 60);
    for (std::uint32_t index = 0; index < 32; ++index) {
        const std::int64_t now = std::int64_t(100) * (index + 1);
        releaseTask(*state, {{team_id("a"), idempotency_key("1")}, task_index(index)});
        schedule(*state, at(now), 1000);
    }
    submit(*state, makeJob("a", "3", work_kind::Batch, amount(2, 2), 64));
    verdict = admit(*state, more);
    CHECK_FALSE(verdict.admitted);
    CHECK(verdict.retryAfter >= milliseconds(500));
    CHECK(verdict.retryAfter <= milliseconds(5000));
}

TEST_CASE("one team cannot fill the queue of a kind")
{
    auto settings = makeConfiguration();
    policy(*settings, work_kind::Query).queueLimit = 1000;
    addTeam(*settings, "flood", 1);
    addTeam(*settings, "other", 3);
    const auto state = makeScheduler(settings);
    addWorkers(*state, 1, amount(1, 1));
    int admitted = 0;
    admission_verdict verdict{true, {}, milliseconds(0)};
    while (admitted < 2000) {
        const auto job = makeJob("flood", std::to_string(admitted), work_kind::Query, amount(1, 1));
        verdict = admit(*state, job);
        if (!verdict.admitted) {
            break;
        }
        submit(*state, job);
        ++admitted;
    }
    CHECK(admitted == 500);
    CHECK(verdict.retryAfter > milliseconds(0));
    CHECK(verdict.reason == "team flood has 500 query tasks waiting, its share of the queue is 500");
    CHECK(admit(*state, makeJob("other", "1", work_kind::Query, amount(1, 1), 400)).admitted);
}

TEST_CASE("the shortest work of a team goes first if the order of its kind is shortest-first")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 1, amount(1, 1));
    auto longer = makeJob("a", "long", work_kind::Query, amount(1, 1));
    longer.work = work_id("long");
    auto shorter = makeJob("a", "short", work_kind::Query, amount(1, 1));
    shorter.work = work_id("short");
    shorter.runTime = milliseconds(10);
    submit(*state, longer);
    submit(*state, shorter);
    const auto result = schedule(*state, at(0), 100);
    REQUIRE(result.placements.size() == 1);
    CHECK(result.placements.front().task.job.key.value == "short");
}

TEST_CASE("cancelled work leaves the queue and other work gets its capacity")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 1, amount(2, 2));
    for (int number = 0; number < 1000; ++number) {
        submit(*state, makeJob("a", std::to_string(number), work_kind::Batch, amount(1, 1), 3));
    }
    CHECK(schedule(*state, at(0), 100).placements.size() == 2);
    for (int number = 0; number < 999; ++number) {
        dequeue(*state, {team_id("a"), idempotency_key(std::to_string(number))});
    }
    CHECK(summarize(*state).waitingTasks == 3);
    CHECK(summarize(*state).placedTasks == 2);
    releaseTask(*state, {{team_id("a"), idempotency_key("0")}, task_index(0)});
    const auto result = schedule(*state, at(0), 100);
    REQUIRE(result.placements.size() == 1);
    CHECK(result.placements.front().task.job.key.value == "999");
}
