// A graceful stop loses no answer. Guards against closing the listener, or the process, while an answer is
// still on its way to its caller.
#include "connection/codec.h"
#include "connection/front_end.h"
#include "raw_http.h"

#include <catch2/catch.hpp>
#include <mutex>
#include <vector>

using namespace sesamespar;

namespace {

constexpr int requestsOfRound = 32;
constexpr int rounds = 10;

/// Keeps the ids of requests until the test answers them.
struct held_requests {
    std::mutex mutex;
    std::vector<front_end_request_id> ids;

    std::size_t count()
    {
        const std::lock_guard lock(mutex);
        return ids.size();
    }
};

/// A long answer, so that it takes many writes to get it out.
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

TEST_CASE("every request in flight is answered whole before the stop, and a new one is refused")
{
    const job_answer answer = longAnswer();
    const std::string expected = encodeJobAnswer(answer);
    for (int round = 0; round < rounds; ++round) {
        held_requests held;
        const auto frontEnd = startFrontEnd(settingsOfTests(), [&](const front_end_request &request) {
                                  const std::lock_guard lock(held.mutex);
                                  held.ids.push_back(request.id);
                                  return true;
                              }).value();
        const address bound = boundAddress(*frontEnd);
        std::vector<std::string> answers(requestsOfRound);
        std::vector<std::thread> callers;
        callers.reserve(answers.size());
        for (std::string &received : answers) {
            callers.emplace_back([&received, bound] {
                raw_caller caller(bound);
                caller.send(makeRequest("GET", "/v1/jobs/t/k?wait_ms=60000"));
                received = caller.readAnswer();
            });
        }
        CHECK(waitUntil([&] { return held.count() == requestsOfRound; }));
        CHECK(openRequests(*frontEnd) == requestsOfRound);

        refuseNewRequests(*frontEnd);
        raw_caller late(bound);
        late.send(makeRequest("GET", "/v1/jobs/t/k"));
        const std::string refusal = late.readAll();
        CHECK(statusOf(refusal) == 503);
        CHECK(bodyOf(refusal).find("was not run") != std::string::npos);
        CHECK(held.count() == requestsOfRound);

        for (const front_end_request_id id : held.ids) {
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

TEST_CASE("an answer to an unknown or completed request is ignored, and a stop ends requests without an answer")
{
    held_requests held;
    const auto frontEnd = startFrontEnd(settingsOfTests(), [&](const front_end_request &request) {
                              const std::lock_guard lock(held.mutex);
                              held.ids.push_back(request.id);
                              return true;
                          }).value();
    raw_caller first(boundAddress(*frontEnd));
    raw_caller second(boundAddress(*frontEnd));
    first.send(makeRequest("GET", "/v1/jobs/t/k"));
    CHECK(waitUntil([&] { return held.count() == 1; }));
    second.send(makeRequest("GET", "/v1/jobs/t/k"));
    CHECK(waitUntil([&] { return held.count() == 2; }));

    answerFrontEnd(*frontEnd, held.ids.front(), text_answer{});
    answerFrontEnd(*frontEnd, held.ids.front(), text_answer{});
    answerFrontEnd(*frontEnd, front_end_request_id(1000), text_answer{});
    CHECK(statusOf(first.readAnswer()) == 200);

    stopFrontEnd(*frontEnd);
    second.readAll();
    CHECK(openRequests(*frontEnd) == 0);
}

TEST_CASE("a full queue behind the front end refuses the request as not run")
{
    const auto frontEnd = startFrontEnd(settingsOfTests(), [](const front_end_request &) { return false; }).value();
    raw_caller caller(boundAddress(*frontEnd));
    caller.send(makeRequest("GET", "/v1/jobs/t/k"));
    const std::string answer = caller.readAnswer();
    CHECK(statusOf(answer) == 503);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    stopFrontEnd(*frontEnd);
}
