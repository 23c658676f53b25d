// The oracle detects each violation of an invariant, and the daemon parses the harness's settings file to the same
// settings. Guards against end-to-end tests that cannot fail.
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

/// Input of the oracle with one job, whose only task succeeded at w1 and which was answered as done.
oracle_input makeInput(const char *work)
{
    oracle_input input;
    input.settings = parseConfiguration(text, "test", config_version(1)).settings;
    REQUIRE(input.settings);
    input.executions.starts[job] = {start(1, "w1", "succeeded")};
    received_answer received;
    received.request.id = job;
    received.request.work = work_id(work);
    received.answer.id = job;
    received.answer.status = answer_status::Done;
    received.answer.tasks.push_back(
        {task_index(0), attempt_number(1), task_state::Succeeded, worker_id("w1"), incarnation_id(1), "ok"});
    input.received.push_back(received);
    return input;
}

} // namespace

TEST_CASE("a correct answer violates no invariant")
{
    CHECK(invariantViolations(makeInput("once")).empty());
}

TEST_CASE("exceeded capacity and duplicate executions are violations")
{
    oracle_input input = makeInput("once");
    input.executions.capacityViolations.emplace_back("capacity violation");
    input.executions.duplicateExecutions.emplace_back("duplicate execution");
    CHECK(invariantViolations(input) == std::vector<std::string>{"capacity violation", "duplicate execution"});
}

TEST_CASE("an answer that contradicts the executions is a violation")
{
    oracle_input input = makeInput("once");
    SECTION("another worker")
    {
        input.received.front().answer.tasks.front().worker = worker_id("w2");
    }
    SECTION("another result")
    {
        input.received.front().answer.tasks.front().result = "other";
    }
    SECTION("the task did not run")
    {
        input.executions.starts.clear();
    }
    SECTION("the task failed")
    {
        input.executions.starts.at(job).front().outcome = "failed";
    }
    SECTION("the answer to another request")
    {
        input.received.front().answer.id.key = idempotency_key("other");
    }
    SECTION("tasks are missing")
    {
        input.received.front().answer.tasks.clear();
    }
    CHECK(invariantViolations(input).size() == 1);
}

TEST_CASE("a start of a job that was reported as not run is a violation")
{
    oracle_input input = makeInput("once");
    input.received.front().answer.status = answer_status::Refused;
    input.received.front().answer.tasks.clear();
    CHECK(invariantViolations(input).size() == 1);

    // A later submission under the same key may have been accepted.
    received_answer later = input.received.front();
    later.answer.status = answer_status::Accepted;
    input.received.push_back(later);
    CHECK(invariantViolations(input).empty());
}

TEST_CASE("a second start is a violation only if the work is not repeatable")
{
    oracle_input once = makeInput("once");
    once.executions.starts.at(job).push_back(start(2, "w2", "failed"));
    CHECK(invariantViolations(once).size() == 1);
    oracle_input again = makeInput("again");
    again.executions.starts.at(job).push_back(start(2, "w2", "failed"));
    CHECK(invariantViolations(again).empty());
}

TEST_CASE("a start at a leaving VM is a violation")
{
    oracle_input input = makeInput("once");
    input.noStartsAfter[worker_id("w1")] = utc_time(1000);
    CHECK(invariantViolations(input).empty());
    input.noStartsAfter[worker_id("w1")] = utc_time(999);
    CHECK(invariantViolations(input).size() == 1);
}

TEST_CASE("the daemon parses written settings to the same values")
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

TEST_CASE("a child process can be signalled and reaped")
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
    CHECK(first.reservedAddress() != second.reservedAddress());
}

TEST_CASE("the stand-ins of a cell start and accept control requests")
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
    const auto executions = fetchExecutionReport(running);
    REQUIRE(executions);
    CHECK(executions.value().running == 0);
    CHECK(invariantViolations(running).empty());
}

TEST_CASE("the configuration of the tests has no findings")
{
    const parsed_configuration parsed =
        parseConfiguration(testConfiguration(cell_shape(), true), "test", config_version(1));
    INFO(formatFindings(parsed.problems));
    CHECK(parsed.settings);
}
