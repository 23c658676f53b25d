// Tests that tasks are placed only on workers where they fit in every dimension, and that the placement rule of their
// kind chooses among these workers. Guards against overcommitted VMs, stranded capacity, workers with accelerators that
// are filled by work without, and jobs that wait although they can never run.
#include "../fixtures/scheduler_fixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace sesamespar;
using namespace sesamespar::fixture;

TEST_CASE("a worker is not overcommitted in any dimension")
{
    const auto [need, expected] = GENERATE(std::make_pair(amount(4, 1), 4),
                                           std::make_pair(amount(1, 16), 2),
                                           std::make_pair(amount(1, 1, 1), 3),
                                           std::make_pair(amount(1, 1), 8));
    const auto state = makeScheduler(makeConfiguration());
    putWorker(*state, makeWorker(0, amount(16, 32, 3)));
    submit(*state, makeJob("a", "1", work_kind::Batch, need, 20));
    CHECK(schedule(*state, at(0), 100).placements.size() == static_cast<std::size_t>(expected));
}

TEST_CASE("the limits of the fleet leave a part of each VM free")
{
    auto settings = makeConfiguration();
    settings->limits.processorPercent = 50;
    settings->limits.memoryPercent = 25;
    const auto state = makeScheduler(settings);
    putWorker(*state, makeWorker(0, amount(16, 32)));
    submit(*state, makeJob("a", "1", work_kind::Batch, amount(1, 4), 20));
    CHECK(schedule(*state, at(0), 100).placements.size() == 2);
}

TEST_CASE("work that needs no accelerator leaves workers with accelerators to others")
{
    const auto kind = GENERATE(work_kind::Batch, work_kind::Service, work_kind::Query);
    const auto state = makeScheduler(makeConfiguration());
    putWorker(*state, makeWorker(0, amount(16, 32, 4)));
    putWorker(*state, makeWorker(1, amount(16, 32)));
    submit(*state, makeJob("a", "1", kind, amount(1, 1), 8));
    for (const placement &each : schedule(*state, at(0), 100).placements) {
        CHECK(each.worker == worker_id("vm0001"));
    }
}

TEST_CASE("packing fills a used worker before an empty one")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 4, amount(16, 32));
    submit(*state, makeJob("a", "1", work_kind::Batch, amount(4, 8), 4));
    std::set<worker_id> used;
    for (const placement &each : schedule(*state, at(0), 100).placements) {
        used.insert(each.worker);
    }
    CHECK(used.size() == 1);
}

TEST_CASE("packing keeps free processors and memory in balance")
{
    // Memory is scarce on worker 0 and processors on worker 1, so a task with high memory use belongs on worker 1.
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 2, amount(16, 32));
    adoptTask(*state, makeJob("a", "memory", work_kind::Batch, amount(2, 16)), task_index(0), worker_id("vm0000"));
    adoptTask(*state, makeJob("a", "processors", work_kind::Batch, amount(8, 4)), task_index(0), worker_id("vm0001"));
    submit(*state, makeJob("a", "1", work_kind::Batch, amount(2, 16)));
    const auto result = schedule(*state, at(0), 100);
    REQUIRE(result.placements.size() == 1);
    CHECK(result.placements.front().worker == worker_id("vm0001"));
}

TEST_CASE("services are spread over racks, then over workers")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 32, amount(16, 32));
    submit(*state, makeJob("a", "1", work_kind::Service, amount(1, 1), 8));
    std::map<std::string, int> onRack;
    std::set<worker_id> used;
    for (const placement &each : schedule(*state, at(0), 100).placements) {
        ++onRack[std::to_string(std::stoi(each.worker.value.substr(2)) / 8)];
        used.insert(each.worker);
    }
    CHECK(used.size() == 8);
    REQUIRE(onRack.size() == 4);
    for (const auto &[rack, tasks] : onRack) {
        CHECK(tasks == 2);
    }
}

TEST_CASE("the first-fit rule chooses the first worker by name")
{
    auto settings = makeConfiguration();
    policy(*settings, work_kind::Batch).placement = placement_rule::FirstFit;
    const auto state = makeScheduler(settings);
    addWorkers(*state, 3, amount(16, 32));
    submit(*state, makeJob("a", "1", work_kind::Batch, amount(16, 1), 2));
    const auto result = schedule(*state, at(0), 100);
    REQUIRE(result.placements.size() == 2);
    CHECK(result.placements.at(0).worker == worker_id("vm0000"));
    CHECK(result.placements.at(1).worker == worker_id("vm0001"));
}

TEST_CASE("a worker that is not placeable gets no new tasks and keeps its placed tasks")
{
    const auto state = makeScheduler(makeConfiguration());
    auto worker = makeWorker(0, amount(16, 32));
    putWorker(*state, worker);
    const auto job = makeJob("a", "1", work_kind::Batch, amount(4, 4), 2);
    enqueue(*state, job, {task_index(0)}, at(0));
    CHECK(schedule(*state, at(0), 100).placements.size() == 1);
    worker.placeable = false;
    putWorker(*state, worker);
    enqueue(*state, job, {task_index(1)}, at(0));
    CHECK(schedule(*state, at(300), 100).placements.empty());
    CHECK(summarize(*state).placedTasks == 1);
    worker.placeable = true;
    putWorker(*state, worker);
    CHECK(schedule(*state, at(300), 100).placements.size() == 1);
}

TEST_CASE("a large task neither blocks smaller tasks nor starves behind them")
{
    auto settings = makeConfiguration();
    const auto state = makeScheduler(settings);
    addWorkers(*state, 2, amount(16, 32));
    submit(*state, makeJob("filler", "0", work_kind::Batch, amount(2, 2), 16));
    REQUIRE(schedule(*state, at(0), 100).placements.size() == 16);
    submit(*state, makeJob("large", "1", work_kind::Batch, amount(16, 16)));
    // One task ends each second, and the next small task could use its capacity at once.
    std::vector<task_key> running;
    for (std::uint32_t index = 0; index < 16; ++index) {
        running.push_back({{team_id("filler"), idempotency_key("0")}, task_index(index)});
    }
    bool smallPlaced = false;
    bool largePlaced = false;
    for (std::int64_t second = 1; second < 120 && !largePlaced; ++second) {
        submit(*state, makeJob("small", std::to_string(second), work_kind::Batch, amount(2, 2)), at(second * 1000));
        if (!running.empty()) {
            releaseTask(*state, running.front());
            running.erase(running.begin());
        }
        for (const placement &each : schedule(*state, at(second * 1000), 100).placements) {
            smallPlaced = smallPlaced || each.task.job.team.value == "small";
            largePlaced = largePlaced || each.task.job.team.value == "large";
            running.push_back(each.task);
        }
    }
    CHECK(smallPlaced);
    CHECK(largePlaced);
}

TEST_CASE("a job that can never run is refused at once with a reason")
{
    auto settings = makeConfiguration();
    addTeam(*settings, "a", 1, amount(40, 400));
    policy(*settings, work_kind::Service).capPercent = 10;
    const auto state = makeScheduler(settings);
    addWorkers(*state, 8, amount(16, 32, 2));
    const auto reasonFor = [&](const job_offer &job) {
        const auto verdict = admit(*state, job);
        CHECK_FALSE(verdict.admitted);
        CHECK(verdict.retryAfter == milliseconds(0));
        return verdict.reason;
    };
    CHECK(reasonFor(makeJob("b", "1", work_kind::Batch, amount(17, 1)))
          == "no worker is large enough for one task: it needs 17 cores, the most a worker holds is 16");
    CHECK(reasonFor(makeJob("b", "1", work_kind::Batch, amount(1, 1, 4)))
          == "no worker is large enough for one task: it needs 4 accelerators, the most a worker holds is 2");
    CHECK(reasonFor(makeJob("b", "1", work_kind::Gang, amount(16, 1), 9))
          == "a gang of 9 tasks does not fit: the empty workers hold 8");
    CHECK(reasonFor(makeJob("a", "1", work_kind::Gang, amount(16, 1), 3))
          == "the job needs 48 cores, 3072 MiB, above the quota of team a: 40 cores, 409600 MiB");
    CHECK(reasonFor(makeJob("b", "1", work_kind::Service, amount(14, 1)))
          == "the job needs 14 cores, 1024 MiB, above the cap of service work: 10% of the data centre's processors");
    CHECK(admit(*state, makeJob("a", "1", work_kind::Batch, amount(16, 1), 3)).admitted);
}

TEST_CASE("the explanation of a wait names the missing capacity or the limit")
{
    auto settings = makeConfiguration();
    addTeam(*settings, "a", 1, amount(4, 400, 8));
    policy(*settings, work_kind::Gang).capPercent = 25;
    const auto state = makeScheduler(settings);
    addWorkers(*state, 2, amount(16, 32, 4));
    const auto explain = [&](const job_offer &job) {
        submit(*state, job);
        schedule(*state, at(0), 100);
        return explainWait(*state, job.id);
    };
    CHECK(explain(makeJob("a", "1", work_kind::Batch, amount(4, 4, 2))).empty());
    CHECK(explain(makeJob("a", "2", work_kind::Batch, amount(1, 1))) == "team quota used up: 4 of 4 cores");
    CHECK(explain(makeJob("b", "1", work_kind::Query, amount(1, 1, 3), 1)).empty());
    CHECK(explain(makeJob("b", "2", work_kind::Batch, amount(1, 1, 4))) == "no worker has 4 free accelerators");
    CHECK(explain(makeJob("b", "3", work_kind::Batch, amount(16, 1))) == "no worker has 16 cores free");
    CHECK(explain(makeJob("b", "4", work_kind::Gang, amount(5, 1), 2))
          == "gang work holds its cap of 25% of the processors");
    CHECK(explainWait(*state, {team_id("b"), idempotency_key("unknown")}).empty());
}

TEST_CASE("a task is placed once, however often it is enqueued")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 2, amount(16, 32));
    const auto job = makeJob("a", "1", work_kind::Batch, amount(1, 1), 2);
    submit(*state, job);
    submit(*state, job);
    CHECK(schedule(*state, at(0), 100).placements.size() == 2);
    submit(*state, job);
    CHECK(schedule(*state, at(0), 100).placements.empty());
    CHECK(summarize(*state).waitingTasks == 0);
}

TEST_CASE("reservations follow measured use and never fall below the declared need")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 1, amount(16, 32));
    const auto job = makeJob("a", "1", work_kind::Batch, amount(2, 2), 8);
    enqueue(*state, job, {task_index(0)}, at(0));
    REQUIRE(schedule(*state, at(0), 100).placements.size() == 1);

    SECTION("work that uses more than declared gets a larger reservation")
    {
        CHECK(reportUsage(*state, {{{job.id, task_index(0)}, amount(2, 8)}}).empty());
        enqueue(*state, job, allTasks(job), at(0));
        // 8 GiB plus the margin of 10% are 9011 MiB; three of these reservations fit in 32 GiB.
        CHECK(schedule(*state, at(0), 100).placements.size() == 2);
        CHECK(summarize(*state).reserved.memory == mebibytes(std::int64_t(3) * 9011));
    }
    SECTION("work that uses less than declared keeps its declared reservation")
    {
        CHECK(reportUsage(*state, {{{job.id, task_index(0)}, {millicores(100), mebibytes(100), {}}}}).empty());
        enqueue(*state, job, allTasks(job), at(0));
        CHECK(schedule(*state, at(0), 100).placements.size() == 7);
        CHECK(summarize(*state).reserved == amount(16, 16));
    }
}

TEST_CASE("overuse is limited if the worker has no free capacity")
{
    const auto state = makeScheduler(makeConfiguration());
    addWorkers(*state, 1, amount(16, 32));
    auto booking = makeJob("a", "booking", work_kind::Query, amount(8, 16));
    booking.repeatable = false;
    const auto batch = makeJob("b", "batch", work_kind::Batch, amount(8, 16));
    submit(*state, booking);
    submit(*state, batch);
    REQUIRE(schedule(*state, at(0), 100).placements.size() == 2);

    SECTION("processors are throttled to the reservation")
    {
        const auto actions = reportUsage(*state, {{{batch.id, task_index(0)}, amount(12, 16)}});
        REQUIRE(actions.size() == 1);
        CHECK(actions.front().action == overuse_action::kind::Throttle);
        CHECK(actions.front().limit == millicores(8000));
    }
    SECTION("missing memory is freed by the resumable task with the lowest priority")
    {
        const auto actions = reportUsage(*state, {{{booking.id, task_index(0)}, amount(8, 20)}});
        REQUIRE(actions.size() == 1);
        CHECK(actions.front().action == overuse_action::kind::Checkpoint);
        CHECK(actions.front().task.job == batch.id);
    }
    SECTION("a task that cannot be resumed is stopped only if it exceeds its own memory and there is no other victim")
    {
        releaseTask(*state, {batch.id, task_index(0)});
        auto other = makeJob("b", "other", work_kind::Query, amount(8, 16));
        other.repeatable = false;
        submit(*state, other);
        REQUIRE(schedule(*state, at(0), 100).placements.size() == 1);
        const auto actions = reportUsage(*state, {{{booking.id, task_index(0)}, amount(8, 20)}});
        REQUIRE(actions.size() == 1);
        CHECK(actions.front().action == overuse_action::kind::Stop);
        CHECK(actions.front().task.job == booking.id);
    }
    CHECK(fits(summarize(*state).reserved, amount(16, 32)));
}
