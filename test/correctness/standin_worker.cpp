// The stand-in worker implements the rules of connection/worker_api.h. Guards against end-to-end tests that pass
// because the stand-in accepts calls that a real worker refuses.
#include "standins/worker_state.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::standins;

namespace {

const milliseconds taskLease{10000};

worker_state makeWorker()
{
    worker_state worker;
    worker.name = worker_id("w1");
    worker.capacity = {millicores(16000), mebibytes(32768), accelerators(0)};
    worker.instance = incarnation_id(1);
    return worker;
}

control_token token(std::uint64_t epoch, const char *holder, std::uint64_t instance = 1)
{
    return {epoch_number(epoch), daemon_id(holder), incarnation_id(instance)};
}

control_reply control(worker_state &worker, const control_token &by, std::int64_t now, event_sequence after = {})
{
    control_request request;
    request.token = by;
    request.sentAt = worker_clock(now);
    request.lease = milliseconds(3000);
    request.after = after;
    applyControl(worker, request, worker_clock(now));
    return answerControl(worker, request, worker_clock(now));
}

control_reply release(worker_state &worker, const control_token &by, std::int64_t now)
{
    control_request request;
    request.token = by;
    request.sentAt = worker_clock(now);
    request.release = true;
    applyControl(worker, request, worker_clock(now));
    return answerControl(worker, request, worker_clock(now));
}

task_id task(const char *key, std::uint32_t attempt = 1)
{
    return {{team_id("sales"), idempotency_key(key)}, task_index(0), attempt_number(attempt)};
}

commands_request commands(const control_token &by, std::int64_t now)
{
    commands_request request;
    request.token = by;
    request.sentAt = worker_clock(now);
    request.validity = milliseconds(1000);
    return request;
}

commands_request startOf(const control_token &by, std::int64_t now, const task_id &id, const char *payload)
{
    commands_request request = commands(by, now);
    request.start.push_back({id, {millicores(1000), mebibytes(512), {}}, milliseconds(500), taskLease, {}, payload});
    return request;
}

commands_reply run(worker_state &worker, const commands_request &request, std::int64_t now, task_changes &changes)
{
    saved_progress progress;
    return runCommands(worker, request, worker_clock(now), progress, changes);
}

job_record record(const char *key, std::uint64_t epoch, std::uint64_t counter)
{
    job_record made;
    made.request.id = {team_id("sales"), idempotency_key(key)};
    made.revision = {epoch_number(epoch), counter};
    return made;
}

} // namespace

TEST_CASE("a higher epoch acquires control only after the lease has expired or was released")
{
    worker_state worker = makeWorker();
    CHECK(control(worker, token(1, "a"), 0).granted);
    CHECK_FALSE(control(worker, token(2, "b"), 2999).granted);
    CHECK(control(worker, token(2, "b"), 3000).granted);
    CHECK_FALSE(control(worker, token(1, "a"), 9000).granted);
    CHECK_FALSE(control(worker, token(2, "c"), 9000).granted);

    CHECK(control(worker, token(2, "b"), 9000).granted);
    CHECK(release(worker, token(2, "b"), 9100).granted);
    CHECK(control(worker, token(3, "a"), 9100).granted);
}

TEST_CASE("a probe is never granted and changes nothing")
{
    worker_state worker = makeWorker();
    const control_reply reply = control(worker, token(0, "a"), 0);
    CHECK_FALSE(reply.granted);
    CHECK(reply.current.epoch.value == 0);
    CHECK(reply.instance == incarnation_id(1));
    CHECK(control(worker, token(1, "b"), 0).granted);
}

TEST_CASE("a delayed renewal extends the lease only from the time at which it was sent")
{
    worker_state worker = makeWorker();
    CHECK(control(worker, token(1, "a"), 0).granted);
    control_request late;
    late.token = token(1, "a");
    late.sentAt = worker_clock(100);
    late.lease = milliseconds(3000);
    applyControl(worker, late, worker_clock(2900));
    CHECK_FALSE(answerControl(worker, late, worker_clock(3100)).granted);
    CHECK(control(worker, token(2, "b"), 3100).granted);
}

TEST_CASE("calls of a former holder change nothing")
{
    worker_state worker = makeWorker();
    task_changes changes;
    control(worker, token(1, "a"), 0);
    control(worker, token(2, "b"), 3000);
    CHECK_FALSE(run(worker, startOf(token(1, "a"), 3000, task("k"), ""), 3000, changes).accepted);
    CHECK_FALSE(writeRecords(worker, {token(1, "a"), {record("k", 1, 1)}, {}}, worker_clock(3000)).accepted);
    CHECK_FALSE(takeSnapshot(worker, {token(1, "a"), 0}, worker_clock(3000)).accepted);
    CHECK(changes.empty());
    CHECK(worker.records.empty());
}

TEST_CASE("calls of a holder with an expired lease change nothing until it renews")
{
    worker_state worker = makeWorker();
    task_changes changes;
    control(worker, token(1, "a"), 0);
    CHECK_FALSE(run(worker, startOf(token(1, "a"), 3000, task("k"), ""), 3000, changes).accepted);
    control(worker, token(1, "a"), 3000);
    CHECK(run(worker, startOf(token(1, "a"), 3000, task("k"), ""), 3000, changes).accepted);
}

TEST_CASE("commands are rejected after their validity has expired")
{
    worker_state worker = makeWorker();
    task_changes changes;
    control(worker, token(1, "a"), 0);
    const commands_request request = startOf(token(1, "a"), 0, task("k"), "");
    CHECK_FALSE(run(worker, request, 1001, changes).accepted);
    CHECK(changes.empty());
}

TEST_CASE("a duplicated start runs the task once")
{
    worker_state worker = makeWorker();
    task_changes changes;
    control(worker, token(1, "a"), 0);
    const commands_request request = startOf(token(1, "a"), 0, task("k"), "");
    CHECK(run(worker, request, 0, changes).rejected.empty());
    CHECK(run(worker, request, 10, changes).rejected.empty());
    advanceWorker(worker, worker_clock(500), changes);
    CHECK(run(worker, request, 510, changes).rejected.empty());
    REQUIRE(changes.size() == 2);
    CHECK(changes.at(0).began);
    CHECK(changes.at(1).outcome == "succeeded");
}

TEST_CASE("a start that arrives after a stop of the same task is rejected")
{
    worker_state worker = makeWorker();
    task_changes changes;
    control(worker, token(1, "a"), 0);
    commands_request stop = commands(token(1, "a"), 0);
    stop.stop.push_back(task("k"));
    run(worker, stop, 0, changes);
    const commands_reply reply = run(worker, startOf(token(1, "a"), 0, task("k"), ""), 10, changes);
    REQUIRE(reply.rejected.size() == 1);
    CHECK(reply.rejected.front().task == task("k"));
    CHECK(changes.empty());
    REQUIRE(worker.events.size() == 1);
    CHECK(worker.events.front().kind == task_event_kind::Stopped);
}

TEST_CASE("directives in the payload set how a task ends")
{
    worker_state worker = makeWorker();
    task_changes changes;
    control(worker, token(1, "a"), 0);
    run(worker, startOf(token(1, "a"), 0, task("words"), "run_ms=20 fail=1 result=broken"), 0, changes);
    run(worker, startOf(token(1, "a"), 0, task("json"), R"({"run_ms":30,"result":"fine"})"), 0, changes);
    advanceWorker(worker, worker_clock(30), changes);
    const control_reply reply = control(worker, token(1, "a"), 30, event_sequence(2));
    REQUIRE(reply.events.size() == 2);
    for (const task_event &event : reply.events) {
        const bool words = event.task == task("words");
        CHECK(event.kind == (words ? task_event_kind::Failed : task_event_kind::Succeeded));
        CHECK(event.result == (words ? "broken" : "fine"));
    }
}

TEST_CASE("a task whose lease is not renewed is stopped")
{
    worker_state worker = makeWorker();
    task_changes changes;
    control(worker, token(1, "a"), 0);
    run(worker, startOf(token(1, "a"), 0, task("k"), "run_ms=60000"), 0, changes);
    control(worker, token(1, "a"), 2000);
    CHECK(nextDue(worker) == worker_clock(12000));
    advanceWorker(worker, worker_clock(11999), changes);
    CHECK(changes.size() == 1);
    advanceWorker(worker, worker_clock(12000), changes);
    REQUIRE(changes.size() == 2);
    CHECK(changes.back().outcome == "lease_lapsed");
}

TEST_CASE("a later attempt resumes at the checkpoint")
{
    worker_state worker = makeWorker();
    saved_progress progress;
    task_changes changes;
    control(worker, token(1, "a"), 0);
    runCommands(worker, startOf(token(1, "a"), 0, task("k"), "run_ms=900"), worker_clock(0), progress, changes);
    commands_request checkpoint = commands(token(1, "a"), 600);
    checkpoint.checkpoint.push_back(task("k"));
    runCommands(worker, checkpoint, worker_clock(600), progress, changes);
    CHECK(changes.back().outcome == "checkpointed");
    runCommands(worker, startOf(token(1, "a"), 600, task("k", 2), "run_ms=900"), worker_clock(600), progress, changes);
    CHECK(nextDue(worker) == worker_clock(900));
}

TEST_CASE("a record never replaces one of a higher revision")
{
    worker_state worker = makeWorker();
    const control_token holder = token(2, "a");
    control(worker, holder, 0);
    CHECK(writeRecords(worker, {holder, {record("k", 2, 5)}, {}}, worker_clock(0)).accepted);
    CHECK(writeRecords(worker, {holder, {record("k", 1, 9)}, {}}, worker_clock(0)).accepted);
    CHECK(worker.records.begin()->second.revision == record_revision{epoch_number(2), 5});

    const job_id id = record("k", 0, 0).request.id;
    writeRecords(worker, {holder, {}, {{id, {epoch_number(2), 4}}}}, worker_clock(0));
    CHECK(worker.records.size() == 1);
    writeRecords(worker, {holder, {}, {{id, {epoch_number(2), 5}}}}, worker_clock(0));
    CHECK(worker.records.empty());
}

TEST_CASE("the pages of a snapshot contain every task and record")
{
    worker_state worker = makeWorker();
    const control_token holder = token(1, "a");
    control(worker, holder, 0);
    write_records_request request{holder, {}, {}};
    for (int index = 0; index < 300; ++index) {
        request.put.push_back(record(std::to_string(index).c_str(), 1, 1));
    }
    writeRecords(worker, request, worker_clock(0));
    const snapshot_reply first = takeSnapshot(worker, {holder, 0}, worker_clock(0));
    CHECK(first.records.size() == 256);
    REQUIRE(first.nextPage == 1);
    const snapshot_reply second = takeSnapshot(worker, {holder, first.nextPage}, worker_clock(0));
    CHECK(second.records.size() == 44);
    CHECK(second.nextPage == 0);
}

TEST_CASE("events are kept until a holder has handled them, even if the holder changes")
{
    worker_state worker = makeWorker();
    task_changes changes;
    control(worker, token(1, "a"), 0);
    run(worker, startOf(token(1, "a"), 0, task("k"), "run_ms=10"), 0, changes);
    advanceWorker(worker, worker_clock(10), changes);
    CHECK(control(worker, token(1, "a"), 20).events.size() == 2);
    CHECK(control(worker, token(1, "a"), 20, event_sequence(1)).events.size() == 1);
    release(worker, token(1, "a"), 30);
    const control_reply next = control(worker, token(2, "b"), 30);
    REQUIRE(next.events.size() == 1);
    CHECK(next.events.front().kind == task_event_kind::Succeeded);
}

TEST_CASE("a restart discards tasks, records and leases and creates a new instance")
{
    worker_state worker = makeWorker();
    task_changes changes;
    const control_token holder = token(1, "a");
    control(worker, holder, 0);
    run(worker, startOf(holder, 0, task("k"), ""), 0, changes);
    writeRecords(worker, {holder, {record("k", 1, 1)}, {}}, worker_clock(0));
    restartWorker(worker, incarnation_id(2), changes);
    CHECK(changes.back().outcome == "instance_gone");
    CHECK(worker.tasks.empty());
    CHECK(worker.records.empty());
    const control_reply probe = control(worker, token(0, "a"), 10);
    CHECK(probe.instance == incarnation_id(2));
    CHECK(probe.current.epoch.value == 0);
}
