// The host of the stand-in workers holds, delays and drops answers as configured. Guards against fault tests that
// inject no fault.
#include "standins/worker_host.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>

using namespace sesamespar;
using namespace sesamespar::standins;

namespace {

/// An answer that may arrive on another thread.
struct pending_answer {
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<result<worker_reply>> reply;
};

worker_answer storeIn(const std::shared_ptr<pending_answer> &pending)
{
    return [pending](const result<worker_reply> &reply) {
        const std::lock_guard lock(pending->mutex);
        pending->reply = reply;
        pending->changed.notify_all();
    };
}

std::shared_ptr<pending_answer> call(worker_host &host, const worker_request &request)
{
    auto pending = std::make_shared<pending_answer>();
    callHostedWorker(host, 0, request, storeIn(pending));
    return pending;
}

bool answered(pending_answer &pending)
{
    const std::lock_guard lock(pending.mutex);
    return pending.reply.has_value();
}

/// Waits for the answer. The limit is far above the expected time.
result<worker_reply> await(pending_answer &pending)
{
    std::unique_lock lock(pending.mutex);
    REQUIRE(pending.changed.wait_for(lock, std::chrono::seconds(30), [&] { return pending.reply.has_value(); }));
    return *pending.reply;
}

std::shared_ptr<worker_host> makeHost()
{
    auto host = makeWorkerHost(startTimerQueue());
    addWorker(*host, worker_id("w1"), {millicores(4000), mebibytes(4096), {}});
    return host;
}

/// Control token of the tests. clockOf sets its instance.
control_token holder{epoch_number(1), daemon_id("a"), {}};

/// Reads the worker's clock with a probe, and stores the worker's instance in `holder`.
worker_clock clockOf(worker_host &host)
{
    const control_reply probe = std::get<control_reply>(await(*call(host, control_request{})).value());
    holder.instance = probe.instance;
    return probe.clock;
}

control_request control(worker_clock now, milliseconds wait, event_sequence after = {})
{
    control_request request;
    request.token = holder;
    request.sentAt = now;
    request.lease = milliseconds(60000);
    request.wait = wait;
    request.after = after;
    return request;
}

commands_request start(worker_clock now, const char *payload)
{
    commands_request request;
    request.token = holder;
    request.sentAt = now;
    request.validity = milliseconds(60000);
    request.start.push_back({{{team_id("sales"), idempotency_key("k")}, task_index(0), attempt_number(1)},
                             {millicores(1000), mebibytes(10), {}},
                             milliseconds(10),
                             milliseconds(60000),
                             work_id("work"),
                             payload});
    return request;
}

} // namespace

TEST_CASE("a waiting control call is answered when an event happens")
{
    const auto host = makeHost();
    const worker_clock now = clockOf(*host);
    const auto waiting = call(*host, control(now, milliseconds(60000)));
    CHECK_FALSE(answered(*waiting));
    REQUIRE(await(*call(*host, start(now, "run_ms=20"))));
    CHECK(std::get<control_reply>(await(*waiting).value()).events.size() == 1);
    const auto end = call(*host, control(now, milliseconds(60000), event_sequence(1)));
    const control_reply reply = std::get<control_reply>(await(*end).value());
    REQUIRE(reply.events.size() == 1);
    CHECK(reply.events.front().kind == task_event_kind::Succeeded);
}

TEST_CASE("a waiting control call is answered without events when its wait expires")
{
    const auto host = makeHost();
    const auto waiting = call(*host, control(clockOf(*host), milliseconds(20)));
    const control_reply reply = std::get<control_reply>(await(*waiting).value());
    CHECK(reply.granted);
    CHECK(reply.events.empty());
}

TEST_CASE("a call whose answer is lost has taken effect")
{
    const auto host = makeHost();
    const worker_clock now = clockOf(*host);
    REQUIRE(await(*call(*host, control(now, milliseconds(0)))));
    loseAnswers(*host, 0, 1);
    const auto lost = call(*host, start(now, "run_ms=60000"));
    CHECK_FALSE(answered(*lost));
    CHECK(std::get<control_reply>(await(*call(*host, control(now, milliseconds(0)))).value()).events.size() == 1);
}

TEST_CASE("a paused worker handles its calls after the pause")
{
    const auto host = makeHost();
    const worker_clock now = clockOf(*host);
    setWorkerMode(*host, 0, worker_mode::Paused);
    const auto held = call(*host, control(now, milliseconds(0)));
    CHECK_FALSE(answered(*held));
    setWorkerMode(*host, 0, worker_mode::Normal);
    CHECK(std::get<control_reply>(await(*held).value()).granted);
}

TEST_CASE("a vanished worker never handles the calls that it dropped")
{
    const auto host = makeHost();
    const worker_clock now = clockOf(*host);
    const auto waiting = call(*host, control(now, milliseconds(60000)));
    setWorkerMode(*host, 0, worker_mode::Vanished);
    const auto dropped = call(*host, start(now, "run_ms=60000"));
    CHECK_FALSE(answered(*waiting));
    CHECK_FALSE(answered(*dropped));
    setWorkerMode(*host, 0, worker_mode::Normal);
    CHECK_FALSE(await(*waiting));
    CHECK_FALSE(await(*dropped));
    CHECK(std::get<control_reply>(await(*call(*host, control(now, milliseconds(0)))).value()).events.empty());
}

TEST_CASE("a restart ends a waiting control call as not granted")
{
    const auto host = makeHost();
    const auto waiting = call(*host, control(clockOf(*host), milliseconds(60000)));
    restartHostedWorker(*host, 0);
    CHECK_FALSE(std::get<control_reply>(await(*waiting).value()).granted);
}

TEST_CASE("an action may drop the last reference to its timer queue")
{
    // Guards against a queue whose thread joins itself, which terminated the process when a host was destroyed by its
    // own timer.
    const auto queue = std::make_shared<std::shared_ptr<timer_queue>>(startTimerQueue());
    std::promise<void> ended;
    runAt(**queue, std::chrono::steady_clock::now(), [queue, &ended] {
        queue->reset();
        ended.set_value();
    });
    CHECK(ended.get_future().wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    CHECK(*queue == nullptr);
}
