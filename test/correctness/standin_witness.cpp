// The execution recorder reports each start, concurrent copies of a task, and tasks that exceed a worker's capacity.
// Guards against end-to-end tests that cannot fail.
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

execution_recorder makeRecorder()
{
    execution_recorder recorder;
    trackWorker(recorder, worker_id("w1"), capacity);
    trackWorker(recorder, worker_id("w2"), capacity);
    return recorder;
}

} // namespace

TEST_CASE("concurrent copies of a task are reported, and copies in sequence are not")
{
    execution_recorder recorder = makeRecorder();
    recordChanges(recorder, makeWorker("w1"), {began(task("k", 1), 100)}, utc_time(1));
    recordChanges(recorder, makeWorker("w1"), {ended(task("k", 1))}, utc_time(2));
    recordChanges(recorder, makeWorker("w2"), {began(task("k", 2), 100)}, utc_time(3));
    CHECK(recorder.duplicateExecutions.empty());
    recordChanges(recorder, makeWorker("w1"), {began(task("k", 3), 100)}, utc_time(4));
    REQUIRE(recorder.duplicateExecutions.size() == 1);
    CHECK(recorder.duplicateExecutions.front().first == worker_id("w2"));
    CHECK(recorder.duplicateExecutions.front().second == worker_id("w1"));
    CHECK(recorder.starts.at(task("k", 1).job).size() == 3);
}

TEST_CASE("tasks that exceed the capacity of a worker are reported")
{
    execution_recorder recorder = makeRecorder();
    recordChanges(recorder, makeWorker("w1"), {began(task("a", 1), 1500), began(task("b", 1), 500)}, utc_time(1));
    CHECK(recorder.capacityViolations.empty());
    recordChanges(recorder, makeWorker("w1"), {began(task("c", 1), 1)}, utc_time(2));
    REQUIRE(recorder.capacityViolations.size() == 1);
    CHECK(recorder.capacityViolations.front().need.processors == millicores(2001));
    recordChanges(recorder, makeWorker("w1"), {ended(task("a", 1)), began(task("d", 1), 1000)}, utc_time(3));
    CHECK(recorder.capacityViolations.size() == 1);
}
