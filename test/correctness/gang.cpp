// Tests that a gang starts with all of its tasks or with none. Guards against partly placed gangs that deadlock, and
// against gangs that starve behind small tasks.
#include "../fixtures/scheduler_fixture.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace sesamespar;
using namespace sesamespar::fixture;

TEST_CASE("a gang that does not fit completely leaves no reservations")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 4, amount(16, 32));
    adoptTask(*state, makeJob("a", "0", work_kind::Query, amount(1, 1)), task_index(0), worker_id("vm0000"));
    submit(*state, makeJob("a", "gang", work_kind::Gang, amount(16, 16), 4));
    CHECK(schedule(*state, at(0), 100).placements.empty());
    CHECK(summarize(*state).placedTasks == 1);
    CHECK(summarize(*state).waitingTasks == 4);
    CHECK(summarize(*state).reserved == amount(1, 1));
    releaseTask(*state, {{team_id("a"), idempotency_key("0")}, task_index(0)});
    CHECK(schedule(*state, at(0), 100).placements.size() == 4);
}

TEST_CASE("two gangs that do not fit together run one after the other")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 4, amount(16, 32));
    submit(*state, makeJob("a", "1", work_kind::Gang, amount(16, 16), 3));
    submit(*state, makeJob("b", "1", work_kind::Gang, amount(16, 16), 3));
    const auto first = schedule(*state, at(0), 100);
    REQUIRE(first.placements.size() == 3);
    for (const placement &each : first.placements) {
        CHECK(each.task.job.team == first.placements.front().task.job.team);
        releaseTask(*state, each.task);
    }
    const auto second = schedule(*state, at(0), 100);
    REQUIRE(second.placements.size() == 3);
    CHECK(second.placements.front().task.job.team != first.placements.front().task.job.team);
}

TEST_CASE("the placement limit of a pass does not split a gang")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 4, amount(16, 32));
    submit(*state, makeJob("a", "query", work_kind::Query, amount(1, 1)));
    submit(*state, makeJob("a", "gang", work_kind::Gang, amount(1, 1), 8));
    CHECK(schedule(*state, at(0), 4).placements.size() == 1);
    CHECK(schedule(*state, at(0), 4).placements.size() == 8);
}

TEST_CASE("a gang does not starve behind small tasks")
{
    // Small tasks of lower or higher priority arrive every second and fit into any free capacity.
    const auto kind = GENERATE(work_kind::Batch, work_kind::Query);
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 4, amount(16, 32));
    std::deque<std::pair<std::int64_t, task_key>> running;
    bool placed = false;
    std::int64_t second = 0;
    for (; second < 600 && !placed; ++second) {
        if (second == 10) {
            submit(*state, makeJob("b", "gang", work_kind::Gang, amount(16, 16), 4), at(second * 1000));
        }
        while (!running.empty() && running.front().first <= second) {
            releaseTask(*state, running.front().second);
            running.pop_front();
        }
        submit(*state, makeJob("a", std::to_string(second), kind, amount(2, 2), 8), at(second * 1000));
        for (const placement &each : schedule(*state, at(second * 1000), 1000).placements) {
            placed = placed || each.task.job.team.value == "b";
            running.emplace_back(second + 5, each.task);
        }
    }
    CHECK(placed);
    // Workers are reserved after 5 s, strictly after 30 s more, and must then finish their tasks, which run for 5 s.
    CHECK(second < 60);
}
