// The witness reports each start, two running copies of a task and work beyond a worker's capacity. Guards
// against end-to-end tests that cannot fail.
#include "standins/execution_recorder.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::standins;

namespace {

const resources capacity{millicores(2000), mebibytes(1024), accelerators(1)};

worker_state makeWorker(const char *name)
{
    worker_state worker;
    worker.name = worker_id(name);
    worker.capacity = capacity;
    return worker;
}

task_id task(const char *key, std::uint32_t attempt)
{
    return {{team_id("sales"), idempotency_key(key)}, task_index(0), attempt_number(attempt)};
}

task_change began(const task_id &id, std::int64_t processors)
{
    return {id, {millicores(processors), mebibytes(10), {}}, true, {}};
}

task_change ended(const task_id &id)
{
    return {id, {}, false, "succeeded"};
}

execution_recorder makeWitness()
{
    execution_recorder seen;
    trackWorker(seen, worker_id("w1"), capacity);
    trackWorker(seen, worker_id("w2"), capacity);
    return seen;
}

} // namespace

TEST_CASE("two running copies of a task are reported, two in sequence are not")
{
    execution_recorder seen = makeWitness();
    recordChanges(seen, makeWorker("w1"), {began(task("k", 1), 100)}, utc_time(1));
    recordChanges(seen, makeWorker("w1"), {ended(task("k", 1))}, utc_time(2));
    recordChanges(seen, makeWorker("w2"), {began(task("k", 2), 100)}, utc_time(3));
    CHECK(seen.duplicateExecutions.empty());
    recordChanges(seen, makeWorker("w1"), {began(task("k", 3), 100)}, utc_time(4));
    REQUIRE(seen.duplicateExecutions.size() == 1);
    CHECK(seen.duplicateExecutions.front().first == worker_id("w2"));
    CHECK(seen.duplicateExecutions.front().second == worker_id("w1"));
    CHECK(seen.starts.at(task("k", 1).job).size() == 3);
}

TEST_CASE("work beyond the capacity of a worker is reported")
{
    execution_recorder seen = makeWitness();
    recordChanges(seen, makeWorker("w1"), {began(task("a", 1), 1500), began(task("b", 1), 500)}, utc_time(1));
    CHECK(seen.capacityViolations.empty());
    recordChanges(seen, makeWorker("w1"), {began(task("c", 1), 1)}, utc_time(2));
    REQUIRE(seen.capacityViolations.size() == 1);
    CHECK(seen.capacityViolations.front().need.processors == millicores(2001));
    recordChanges(seen, makeWorker("w1"), {ended(task("a", 1)), began(task("d", 1), 1000)}, utc_time(3));
    CHECK(seen.capacityViolations.size() == 1);
}
