// Round trips through the guard, the HTTP library and the codecs with 64 requests in flight, and that each
// caller gets its own answer under that load. Prints the rate; sets no bound on it.
#include "connection/codec.h"
#include "connection/front_end.h"
#include "connection/traffic_threads.h"
#include "raw_http.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <vector>

using namespace sesamespar;

namespace {

constexpr int callersInFlight = 64;
constexpr int requestsOfCaller = 500;

/// Answers each status request with the id that it asked for.
job_answer answerFor(const front_end_request &request)
{
    job_answer answer;
    answer.status = answer_status::Done;
    answer.id = std::get<status_request>(std::get<job_call>(request.call)).id;
    return answer;
}

/// Makes all requests of one caller and returns how many answers were its own.
int runCaller(const address &bound, int number)
{
    raw_caller caller(bound);
    int own = 0;
    for (int index = 0; index < requestsOfCaller; ++index) {
        const std::string key = std::to_string(number) + '-' + std::to_string(index);
        caller.send(makeRequest("GET", "/v1/jobs/t/" + key));
        const auto answer = decodeJobAnswer(bodyOf(caller.readAnswer()));
        own += answer.has_value() && answer.value().id.key.value == key ? 1 : 0;
    }
    return own;
}

} // namespace

TEST_CASE("64 callers get their own answers")
{
    CHECK(initializeTrafficThreads(4));
    CHECK_FALSE(initializeTrafficThreads(4));
    std::atomic<front_end *> running = nullptr;
    const auto frontEnd = startFrontEnd(settingsOfTests(), [&](const front_end_request &request) {
                              answerFrontEnd(*running.load(), request.id, answerFor(request));
                              return true;
                          }).value();
    running = frontEnd.get();
    const address bound = boundAddress(*frontEnd);
    std::atomic<int> own = 0;
    std::vector<std::thread> callers;
    callers.reserve(callersInFlight);
    const auto start = std::chrono::steady_clock::now();
    for (int number = 0; number < callersInFlight; ++number) {
        callers.emplace_back([&own, bound, number] { own += runCaller(bound, number); });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    CHECK(own == callersInFlight * requestsOfCaller);
    WARN("round trips with " << callersInFlight << " in flight: "
                             << static_cast<int>(callersInFlight * requestsOfCaller / taken.count()) << "/s");
    CHECK(waitUntil([&] { return openRequests(*frontEnd) == 0; }));
    stopFrontEnd(*frontEnd);
}
