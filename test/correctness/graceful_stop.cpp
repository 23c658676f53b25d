// A graceful stop loses no answer. Guards against closing the listener, or ending the process, before an answer is
// written completely to the caller's socket.
#include "connection/codec.h"
#include "connection/front_end.h"
#include "process/control_loop.h"
#include "raw_http.h"

#include <catch2/catch.hpp>
#include <mutex>
#include <vector>

using namespace sesamespar;

namespace {

constexpr int requestsPerRound = 32;
constexpr int rounds = 10;

/// Ids of requests that the test has not answered yet.
struct pending_requests {
    std::mutex mutex;
    std::vector<front_end_request_id> ids;

    std::size_t count()
    {
        const std::lock_guard lock(mutex);
        return ids.size();
    }
};

/// An answer that is long enough to need many writes.
job_answer longAnswer()
{
    job_answer answer;
    answer.status = answer_status::Done;
    answer.id = {team_id("t"), idempotency_key("k")};
    for (std::uint32_t index = 0; index < 200; ++index) {
        answer.tasks.push_back({task_index(index),
                                attempt_number(1),
                                task_state::Succeeded,
                                worker_id("w"),
                                incarnation_id(1),
                                std::string(maxResultBytes, 'r')});
    }
    return answer;
}

} // namespace

TEST_CASE("every request in progress is answered completely before the stop, and new requests are refused")
{
    const job_answer answer = longAnswer();
    const std::string expected = encodeJobAnswer(answer);
    for (int round = 0; round < rounds; ++round) {
        pending_requests pending;
        const auto frontEnd = startFrontEnd(testSettings(), [&](const front_end_request &request) {
                                  const std::lock_guard lock(pending.mutex);
                                  pending.ids.push_back(request.id);
                                  return true;
                              }).value();
        const address bound = boundAddress(*frontEnd);
        std::vector<std::string> answers(requestsPerRound);
        std::vector<std::thread> callers;
        callers.reserve(answers.size());
        for (std::string &received : answers) {
            callers.emplace_back([&received, bound] {
                raw_caller caller(bound);
                caller.send(makeRequest("GET", "/v1/jobs/t/k?wait_ms=60000"));
                received = caller.readAnswer();
            });
        }
        CHECK(waitUntil([&] { return pending.count() == requestsPerRound; }));
        CHECK(openRequests(*frontEnd) == requestsPerRound);

        refuseNewRequests(*frontEnd);
        raw_caller lateCaller(bound);
        lateCaller.send(makeRequest("GET", "/v1/jobs/t/k"));
        const std::string refusal = lateCaller.readAll();
        CHECK(statusOf(refusal) == 503);
        CHECK(bodyOf(refusal).find("was not run") != std::string::npos);
        CHECK(pending.count() == requestsPerRound);

        for (const front_end_request_id id : pending.ids) {
            answerFrontEnd(*frontEnd, id, answer);
        }
        CHECK(waitUntil([&] { return openRequests(*frontEnd) == 0; }));
        stopFrontEnd(*frontEnd);
        for (std::thread &caller : callers) {
            caller.join();
        }
        for (const std::string &received : answers) {
            CHECK(statusOf(received) == 200);
            CHECK(bodyOf(received) == expected);
        }
    }
}

TEST_CASE("an answer to an unknown or completed request is ignored, and a stop ends unanswered requests")
{
    pending_requests pending;
    const auto frontEnd = startFrontEnd(testSettings(), [&](const front_end_request &request) {
                              const std::lock_guard lock(pending.mutex);
                              pending.ids.push_back(request.id);
                              return true;
                          }).value();
    raw_caller first(boundAddress(*frontEnd));
    raw_caller second(boundAddress(*frontEnd));
    first.send(makeRequest("GET", "/v1/jobs/t/k"));
    CHECK(waitUntil([&] { return pending.count() == 1; }));
    second.send(makeRequest("GET", "/v1/jobs/t/k"));
    CHECK(waitUntil([&] { return pending.count() == 2; }));

    answerFrontEnd(*frontEnd, pending.ids.front(), text_answer{});
    answerFrontEnd(*frontEnd, pending.ids.front(), text_answer{});
    answerFrontEnd(*frontEnd, front_end_request_id(1000), text_answer{});
    CHECK(statusOf(first.readAnswer()) == 200);

    stopFrontEnd(*frontEnd);
    second.readAll();
    CHECK(openRequests(*frontEnd) == 0);
}

TEST_CASE("a request is refused as not run if the queue behind the front end is full")
{
    const auto frontEnd = startFrontEnd(testSettings(), [](const front_end_request &) { return false; }).value();
    raw_caller caller(boundAddress(*frontEnd));
    caller.send(makeRequest("GET", "/v1/jobs/t/k"));
    const std::string answer = caller.readAnswer();
    CHECK(statusOf(answer) == 503);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    stopFrontEnd(*frontEnd);
}

TEST_CASE("requests in the queue of the control thread are handled before the process ends")
{
    // The daemon can decide to end while its queue holds a request. The caller would get no answer.
    const daemon_settings settings = testSettings();
    clock_reading started = readClocks();
    started.monotonic -= std::chrono::minutes(1); // All timers are due in the first batch, in which the daemon ends.
    const auto state = makeDaemon(settings, 1, started);
    control_queue queue;
    traffic outside;
    outside.calls = makeOutgoingCalls(settings.store);
    outside.frontEnd = startFrontEnd(settings, [&](front_end_request request) {
                           return pushEvent(queue, std::move(request));
                       }).value();
    pushEvent(queue, shutdown_requested{});
    constexpr std::size_t otherEvents = 2000; // More than one batch.
    for (std::size_t count = 0; count < otherEvents; ++count) {
        pushEvent(queue, peer_message{daemon_id("b"), incarnation_id(1), forward_answer{}});
    }
    raw_caller caller(boundAddress(*outside.frontEnd));
    caller.send(makeRequest("GET", "/v1/dump", {}, testOperatorSecret));
    REQUIRE(waitUntil([&] {
        const std::lock_guard lock(queue.mutex);
        return std::holds_alternative<front_end_request>(queue.events.back());
    }));

    runControlLoop(*state, queue, outside);
    CHECK(openRequests(*outside.frontEnd) == 0);
    stopOutgoingCalls(*outside.calls);
    stopFrontEnd(*outside.frontEnd);
    CHECK(statusOf(caller.readAnswer()) == 200);
}
