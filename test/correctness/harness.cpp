// The oracle finds each broken invariant, and the settings that the harness writes are those that it means.
// Guards against end-to-end tests that cannot fail.
#include "harness/cell.h"
#include "harness/child_process.h"
#include "harness/oracle.h"
#include "harness/port_reservation.h"
#include "harness/settings_text.h"
#include "version/configuration_parser.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace sesamespar;
using namespace sesamespar::harness;

namespace {

const char *const text = R"(cell: test
data_centres: [metsovo]
teams:
  - {name: sales, home: metsovo}
work:
  - {name: once, team: sales, kind: batch, processors: 1, memory: 1GiB, repeatable: false}
  - {name: again, team: sales, kind: batch, processors: 1, memory: 1GiB, repeatable: true}
)";

const job_id job{team_id("sales"), idempotency_key("k")};

recorded_start start(std::uint32_t attempt, const char *worker, const char *outcome)
{
    return {task_index(0), attempt_number(attempt), worker_id(worker), utc_time(1000), utc_time(2000), outcome};
}

/// One job with one task that succeeded at w1, told as done.
oracle_input makeInput(const char *work)
{
    oracle_input input;
    input.settings = parseConfiguration(text, "test", config_version(1)).settings;
    REQUIRE(input.settings);
    input.seen.starts[job] = {start(1, "w1", "succeeded")};
    told_answer told;
    told.request.id = job;
    told.request.work = work_id(work);
    told.answer.id = job;
    told.answer.status = answer_status::Done;
    told.answer.tasks.push_back(
        {task_index(0), attempt_number(1), task_state::Succeeded, worker_id("w1"), incarnation_id(1), "ok"});
    input.told.push_back(told);
    return input;
}

} // namespace

TEST_CASE("a right answer breaks nothing")
{
    CHECK(invariantViolations(makeInput("once")).empty());
}

TEST_CASE("overfill and double runs are broken invariants")
{
    oracle_input input = makeInput("once");
    input.seen.capacityViolations.emplace_back("overfill");
    input.seen.duplicateExecutions.emplace_back("double run");
    CHECK(invariantViolations(input) == std::vector<std::string>{"overfill", "double run"});
}

TEST_CASE("an answer that does not fit what ran is a broken invariant")
{
    oracle_input input = makeInput("once");
    SECTION("another worker")
    {
        input.told.front().answer.tasks.front().worker = worker_id("w2");
    }
    SECTION("another result")
    {
        input.told.front().answer.tasks.front().result = "other";
    }
    SECTION("it did not run")
    {
        input.seen.starts.clear();
    }
    SECTION("it failed")
    {
        input.seen.starts.at(job).front().outcome = "failed";
    }
    SECTION("the answer to another request")
    {
        input.told.front().answer.id.key = idempotency_key("other");
    }
    SECTION("tasks are missing")
    {
        input.told.front().answer.tasks.clear();
    }
    CHECK(invariantViolations(input).size() == 1);
}

TEST_CASE("a start after an answer that says not run is a broken invariant")
{
    oracle_input input = makeInput("once");
    input.told.front().answer.status = answer_status::Refused;
    input.told.front().answer.tasks.clear();
    CHECK(invariantViolations(input).size() == 1);

    // A later submission under the same key may have been accepted.
    told_answer later = input.told.front();
    later.answer.status = answer_status::Accepted;
    input.told.push_back(later);
    CHECK(invariantViolations(input).empty());
}

TEST_CASE("a second start breaks an invariant only if the work must not be repeated")
{
    oracle_input once = makeInput("once");
    once.seen.starts.at(job).push_back(start(2, "w2", "failed"));
    CHECK(invariantViolations(once).size() == 1);
    oracle_input again = makeInput("again");
    again.seen.starts.at(job).push_back(start(2, "w2", "failed"));
    CHECK(invariantViolations(again).empty());
}

TEST_CASE("a start at a VM that leaves is a broken invariant")
{
    oracle_input input = makeInput("once");
    input.leavingSince[worker_id("w1")] = utc_time(1000);
    CHECK(invariantViolations(input).empty());
    input.leavingSince[worker_id("w1")] = utc_time(999);
    CHECK(invariantViolations(input).size() == 1);
}

TEST_CASE("written settings are read as they were meant")
{
    daemon_settings settings;
    settings.name = daemon_id("metsovo-1");
    settings.dataCentre = data_centre_id("metsovo");
    settings.http = address("127.0.0.1:0");
    settings.peerAddress = address("127.0.0.1:7000");
    settings.peers = {{daemon_id("zagori-1"), data_centre_id("zagori"), address("127.0.0.1:7001")}};
    settings.store = address("127.0.0.1:7002");
    settings.callerSecret = "caller-secret-0001";
    settings.operatorSecret = "operator-secret-0001";
    settings.timing.watch = milliseconds(4321);
    const parsed_daemon_settings parsed = parseDaemonSettings(writeSettings(settings), "test");
    INFO(formatFindings(parsed.problems));
    REQUIRE(parsed.settings);
    CHECK(parsed.settings->name == settings.name);
    CHECK(parsed.settings->http == settings.http);
    REQUIRE(parsed.settings->peers.size() == 1);
    CHECK(parsed.settings->peers.front().peerAddress == settings.peers.front().peerAddress);
    CHECK(parsed.settings->timing.watch == settings.timing.watch);
    CHECK(parsed.settings->operatorSecret == settings.operatorSecret);
}

TEST_CASE("a started process is signalled, reaped and gone")
{
    auto started = startServer("standin_platform", {}, "/dev/null");
    REQUIRE(started);
    child_process process = std::move(started.value().first);
    CHECK(process.pid() > 0);
    CHECK_FALSE(process.poll());
    process.signal(SIGTERM);
    CHECK(process.wait(milliseconds(30000)) == -SIGTERM);
    CHECK(process.pid() == 0);
}

TEST_CASE("reserved ports differ")
{
    const port_reservation first;
    const port_reservation second;
    CHECK(first.place() != second.place());
}

TEST_CASE("the stand-ins of a cell start, and its controls reach them")
{
    cell_shape shape;
    shape.workers = 6;
    shape.daemons = {0, 0, 0};
    shape.proxied = true;
    auto started = startCell(shape);
    INFO((started ? std::string() : started.error().message));
    REQUIRE(started);
    cell &running = *started.value();
    REQUIRE(running.vms.vms.size() == 6);
    const worker_id first = running.vms.vms.front().name;
    CHECK(setLinks(running, "worker:" + first.value, "cut=both"));
    CHECK_FALSE(setLinks(running, "worker:nobody", "cut=both"));
    CHECK(control(running.workersControl, "/test/worker?mode=paused&name=" + first.value));
    CHECK(setVm(running, first, "leaving"));
    CHECK_FALSE(setVm(running, worker_id("nobody"), "leaving"));
    const auto seen = fetchExecutionReport(running);
    REQUIRE(seen);
    CHECK(seen.value().running == 0);
    CHECK(invariantViolations(running).empty());
}

TEST_CASE("the configuration of the tests has no findings")
{
    const parsed_configuration parsed =
        parseConfiguration(testConfiguration(cell_shape(), true), "test", config_version(1));
    INFO(formatFindings(parsed.problems));
    CHECK(parsed.settings);
}
