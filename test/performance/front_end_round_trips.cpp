// Measures round trips through the guard, the HTTP library and the codecs with 64 requests in progress, and prints the
// rate without checking it. Guards against a caller that receives the answer to another request under that load.
#include "connection/codec.h"
#include "connection/front_end.h"
#include "connection/traffic_threads.h"
#include "raw_http.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <vector>

using namespace sesamespar;

namespace {

constexpr int callerCount = 64;
constexpr int requestsPerCaller = 500;

/// Answer to a status request, with the job id of the request.
job_answer answerFor(const front_end_request &request)
{
    job_answer answer;
    answer.status = answer_status::Done;
    answer.id = std::get<status_request>(std::get<job_call>(request.call)).id;
    return answer;
}

/// Makes all requests of one caller and returns how many answers have the job id of their request.
int countOwnAnswers(const address &bound, int number)
{
    raw_caller caller(bound);
    int ownAnswers = 0;
    for (int index = 0; index < requestsPerCaller; ++index) {
        const std::string key = std::to_string(number) + '-' + std::to_string(index);
        caller.send(makeRequest("GET", "/v1/jobs/t/" + key));
        const auto answer = decodeJobAnswer(bodyOf(caller.readAnswer()));
        ownAnswers += answer.has_value() && answer.value().id.key.value == key ? 1 : 0;
    }
    return ownAnswers;
}

} // namespace

TEST_CASE("each of 64 callers receives the answers to its own requests")
{
    CHECK(initializeTrafficThreads(4));
    CHECK_FALSE(initializeTrafficThreads(4));
    std::atomic<front_end *> running = nullptr;
    const auto frontEnd = startFrontEnd(testSettings(), [&](const front_end_request &request) {
                              answerFrontEnd(*running.load(), request.id, answerFor(request));
                              return true;
                          }).value();
    running = frontEnd.get();
    const address bound = boundAddress(*frontEnd);
    std::atomic<int> ownAnswers = 0;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    const auto start = std::chrono::steady_clock::now();
    for (int number = 0; number < callerCount; ++number) {
        callers.emplace_back([&ownAnswers, bound, number] { ownAnswers += countOwnAnswers(bound, number); });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    CHECK(ownAnswers == callerCount * requestsPerCaller);
    WARN("round trips with " << callerCount << " in flight: "
                             << static_cast<int>(callerCount * requestsPerCaller / elapsed.count()) << "/s");
    CHECK(waitUntil([&] { return openRequests(*frontEnd) == 0; }));
    stopFrontEnd(*frontEnd);
}
