// Decoding of input from the platform's interfaces. Guards against entries of other writers, with missing fields or
// invalid bytes, that are taken for usable workers or queues, and against malformed jobs that are stored.
#include "connection/base64.h"
#include "platform/caller_front.h"
#include "platform/operator_configuration.h"
#include "platform/platform_settings.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "platform/worker_discovery.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::platform;

namespace {

const std::string validEntry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","born":1700000000123,)"
    R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"clockMs":5,"seq":4})";

} // namespace

TEST_CASE("a worker's entry is decoded")
{
    const auto listing = decodeWorkerEntry(worker_id("i-1"), validEntry);
    REQUIRE(listing);
    CHECK(listing->at == address("10.0.0.1:80"));
    CHECK(listing->service == service_id("s"));
    CHECK(listing->rack == "r1-3");
    CHECK(listing->labels == std::set<std::string>{"a", "r1-3"});
    CHECK(listing->capacity.processors == millicores(16000));
    CHECK(listing->incarnation == worker_incarnation(1700000000123));
    CHECK_FALSE(listing->draining);
}

TEST_CASE("an entry without a required field is not a usable worker")
{
    const worker_id id("i-1");
    CHECK_FALSE(decodeWorkerEntry(id, ""));
    CHECK_FALSE(decodeWorkerEntry(id, "\xff\xfe\x01"));
    CHECK_FALSE(decodeWorkerEntry(id, "[1,2]"));
    CHECK_FALSE(decodeWorkerEntry(id, R"({"service":"s","address":"10.0.0.1:80","state":"ready"})"));
    CHECK_FALSE(decodeWorkerEntry(id, R"({"service":"s","address":7,"state":"ready","capacity":{"cpu":1,"memMb":1}})"));
    CHECK_FALSE(
        decodeWorkerEntry(id, R"({"service":"s","address":"x","state":"ready","capacity":{"cpu":1,"memMb":1}})"));
    CHECK_FALSE(
        decodeWorkerEntry(id, R"({"service":5,"address":"a:1","state":"ready","capacity":{"cpu":1,"memMb":1}})"));
    CHECK_FALSE(
        decodeWorkerEntry(id, R"({"service":"s","address":"a:1","state":"resting","capacity":{"cpu":1,"memMb":1}})"));
    CHECK_FALSE(
        decodeWorkerEntry(id, R"({"service":"s","address":"a:1","state":"ready","capacity":{"cpu":"1","memMb":1}})"));
}

TEST_CASE("an entry with a number or a port out of range is not a usable worker")
{
    // Sums of such capacities overflow, calls to such addresses fail, and such an incarnation would hide the worker's
    // own entries and reports.
    const auto replaced = [](const std::string &from, const std::string &to) {
        std::string entry = validEntry;
        entry.replace(entry.find(from), from.size(), to);
        return decodeWorkerEntry(worker_id("i-1"), entry);
    };
    CHECK(replaced("10.0.0.1:80", "10.0.0.1:65535"));
    CHECK_FALSE(replaced("10.0.0.1:80", "10.0.0.1:99999"));
    CHECK_FALSE(replaced("10.0.0.1:80", "10.0.0.1:0"));
    CHECK_FALSE(replaced("10.0.0.1:80", "10.0.0.1:8o"));
    CHECK_FALSE(replaced("10.0.0.1:80", "10.0.0.1:-1"));
    CHECK_FALSE(replaced("10.0.0.1:80", "10.0.0.1:4294967376"));
    CHECK_FALSE(replaced("10.0.0.1:80", "10.0.0.1 x:80"));
    CHECK_FALSE(replaced("16000", "9223372036854775807"));
    CHECK_FALSE(replaced("16000", "92233720368547758070"));
    CHECK_FALSE(replaced("32768", "1e300"));
    CHECK_FALSE(replaced("\"gpu\":0", "\"gpu\":9223372036854775807"));
    CHECK_FALSE(replaced("\"gpu\":0", "\"gpu\":-1"));
    CHECK_FALSE(replaced("1700000000123", "9223372036854775807"));
    CHECK_FALSE(replaced("1700000000123", "-1"));
    std::string nested = "{\"labels\":";
    nested.append(500000, '[').append(500000, ']').append("}");
    CHECK_FALSE(decodeWorkerEntry(worker_id("i-1"), nested));
}

TEST_CASE("a report or an answer with a clock out of range sets no clock")
{
    CHECK_FALSE(decodeReport(R"({"clockMs":9223372036854775807,"running":[],"ended":[]})"));
    CHECK_FALSE(decodeReport(R"({"clockMs":-5,"running":[],"ended":[]})"));
    CHECK(decodeReport(R"({"clockMs":5,"running":[],"ended":[]})"));
}

TEST_CASE("numbers out of range in a job are bounded")
{
    const auto job = decodeJob(
        R"({"spec":"x","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":1e300,"antiAffinity":4294967297}]})");
    REQUIRE(job);
    CHECK(job.value().steps[0].estimate <= std::chrono::hours(24 * 365));
    CHECK(job.value().steps[0].estimate > milliseconds(0));
    CHECK(job.value().steps[0].maxPerWorker > 1);
}

TEST_CASE("a configuration keeps its well-formed queues")
{
    const auto configuration = decodeConfiguration(
        R"({"version":7,"routes":[{"name":"q","host":"h.example","prefix":"/p/","service":"s","priority":1,)"
        R"("maxAttempts":3,"stretch":2.2,"targetLatencyMs":1000,)"
        R"("advice":{"decideMs":550.0,"periodMs":7.9,"validMs":1500}},{"name":"broken"},5],)"
        R"("services":[{"name":"s","enforcesCapacity":true}]})");
    REQUIRE(configuration);
    REQUIRE(configuration.value()->queues.size() == 1);
    const queue_policy &policy = configuration.value()->queues.front().policy;
    CHECK(policy.maxAttempts == 3);
    CHECK(policy.stretch == Approx(2.2));
    REQUIRE(policy.advice);
    CHECK(policy.advice->valid == milliseconds(1500));
    CHECK(configuration.value()->services.front().refusesOverload);
    CHECK_FALSE(decodeConfiguration("{}"));
    CHECK_FALSE(decodeConfiguration("version"));
}

TEST_CASE("a request goes to the queue with the longest matching prefix of its host")
{
    cell_configuration configuration;
    configuration.queues.push_back({"h", "/a/", {}});
    configuration.queues.push_back({"h", "/a/b/", {}});
    configuration.queues.push_back({"g", "/a/b/c/", {}});
    CHECK(findQueue(configuration, "h", "/a/b/c/x") == &configuration.queues[1]);
    CHECK(findQueue(configuration, "h", "/a/x") == &configuration.queues[0]);
    CHECK(findQueue(configuration, "h", "/x") == nullptr);
    CHECK(findQueue(configuration, "unknown", "/a/") == nullptr);
}

TEST_CASE("the error for a malformed job names the offending field")
{
    const auto problemOf = [](const std::string &body) {
        const auto job = decodeJob(body);
        return job ? std::string() : job.error().message;
    };
    CHECK(problemOf(R"({"spec":"x","steps":[{"count":2,"cpu":500,"memMb":16,"estimateMs":900}]})").empty());
    CHECK_FALSE(problemOf("{").empty());
    CHECK_FALSE(problemOf("[]").empty());
    CHECK(problemOf(R"({"spec":"x"})").find("steps") != std::string::npos);
    CHECK(problemOf(R"({"steps":[{"count":0,"cpu":500}]})").find("steps[0].count") != std::string::npos);
    CHECK(problemOf(R"({"steps":[{"count":4000000000,"cpu":500}]})").find("steps[0].count") != std::string::npos);
    CHECK(problemOf(R"({"steps":[{"count":1,"after":[0]}]})").find("steps[0].after") != std::string::npos);
    CHECK(problemOf(R"({"steps":[{"count":1},{"count":1,"after":[2]}]})").find("steps[1].after") != std::string::npos);
    CHECK(problemOf(R"({"steps":[{"count":1,"after":["0"]}]})").find("steps[0].after") != std::string::npos);
    CHECK(problemOf(R"({"steps":[{"count":1,"cpu":-5}]})").find("steps[0]") != std::string::npos);
    CHECK(problemOf(R"({"spec":")" + std::string(5000, 'x') + R"(","steps":[{"count":1}]})").find("payload")
          != std::string::npos);
    CHECK(problemOf(R"({"repeats":3,"steps":[{"count":1}]})").find("repeats") != std::string::npos);
    CHECK(problemOf(R"({"steps":[{"count":1,"longRunning":true}]})").find("longRunning") != std::string::npos);
}

TEST_CASE("a worker's report is decoded row by row")
{
    const auto report = decodeReport(
        R"({"clockMs":482113,"born":1700000000123,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00aa",41,3]],)"
        R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"x",1,"done",""],[60,"5c0e7a21d94b36f8.0.0.0",4,"odd",""]]})");
    REQUIRE(report);
    CHECK(report.value().workerClock == milliseconds(482113));
    REQUIRE(report.value().running.size() == 1);
    CHECK(report.value().running.front().task == run_task{job_key("5c0e7a21d94b36f8"), 1, 17});
    CHECK(report.value().running.front().checkpoint == "00aa");
    CHECK(report.value().running.front().percent == 41);
    REQUIRE(report.value().ended.size() == 1);
    CHECK(report.value().ended.front().how == run_end::Done);
    // A malformed row may describe any run, so no run can be considered absent from this report.
    CHECK_FALSE(report.value().complete);
    CHECK_FALSE(decodeReport("{}"));
    CHECK_FALSE(decodeReport("no report"));
}

TEST_CASE("a start order is encoded with all fields that the worker needs")
{
    start_order order;
    order.task = {job_key("5c0e7a21d94b36f8"), 1, 17};
    order.run = run_number(2);
    order.payload = "text \"quoted\"";
    order.checkpoint = "00aa";
    order.ticket = advice_ticket("t");
    order.leaseUntil = milliseconds(486000);
    order.fence = fencing_token(7);
    CHECK(encodeStart(order)
          == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"text \"quoted\"","deadlineMs":486000,)"
             R"("fencingToken":7,"checkpoint":"00aa","ticket":"t"})");
}

TEST_CASE("the latest event of each key supersedes earlier ones")
{
    const auto page =
        decodeEvents(R"({"events":[{"key":"a","value":"MQ==","revision":5},{"key":"b","value":"MQ==","revision":6},)"
                     R"({"key":"a","revision":7,"tombstone":true},{"key":"b","value":"Mg==","revision":8},)"
                     R"({"key":"c","value":"*","revision":9},4],"storeRevision":9})");
    REQUIRE(page);
    CHECK(page.value().removedKeys == std::vector<std::string>{"a"});
    REQUIRE(page.value().items.size() == 1);
    CHECK(page.value().items.front().value == "2");
    CHECK(page.value().storeRevision == store_revision(9));
}

TEST_CASE("base64 round-trips arbitrary bytes and rejects malformed text")
{
    for (const std::string &bytes : {std::string(), std::string("a"), std::string("ab"), std::string("a\0\xff", 3)}) {
        CHECK(decodeBase64(encodeBase64(bytes)) == bytes);
    }
    CHECK_FALSE(decodeBase64("abc"));
    CHECK_FALSE(decodeBase64("a*c="));
}

TEST_CASE("the platform's settings are decoded, and errors name the missing ones")
{
    const std::string text =
        "node: n1\nip: 10.1.0.13\nzone: z\nlisten: {front: '10.1.0.13:1', ready: '10.1.0.13:2'}\n"
        "portRange: [7720, 7735]\nplatform: {address: '10.2.0.7:8', ttlMinMs: 2000}\nadvice: '10.2.0.9:8'\n"
        "bounds: {maxHoldMs: 5000, status_s: 60, new_one: 3}\n"
        "limits: {cpuShare: 0.12, cores: 2, memoryMb: 160}\nunknown: {a: 1}\n";
    const auto settings = parsePlatformSettings(text);
    REQUIRE(settings);
    CHECK(settings.value().cell.name == daemon_id("n1"));
    CHECK(settings.value().cell.peerAddress == address("10.1.0.13:7720"));
    CHECK(settings.value().cell.limits.longestLease == milliseconds(5000));
    CHECK(settings.value().cell.limits.keepFinished == std::chrono::seconds(60));
    CHECK(settings.value().cell.limits.shortestStoreLease == milliseconds(2000));
    CHECK(settings.value().workersAcceptCalls);
    CHECK(settings.value().cell.processorShare == millicores(240));
    CHECK(parsePlatformSettings(text.substr(0, text.find("limits"))).value().cell.processorShare == millicores(0));
    CHECK(parsePlatformSettings("node: n1").error().message.find("portRange") != std::string::npos);
    CHECK_FALSE(parsePlatformSettings("[1]"));
    CHECK_FALSE(parsePlatformSettings("{"));
}
