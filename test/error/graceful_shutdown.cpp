// A leader with open requests receives SIGTERM. Guards against a shutdown that drops open requests without an answer.
#include "harness/cell_test.h"

#include <csignal>
#include <future>

using namespace sesamespar;
using namespace sesamespar::harness;

TEST_CASE("a daemon answers every open request before it shuts down")
{
    const auto running = startTestCell();
    const std::size_t leaving = daemonIndex(*running, "metsovo-1");
    std::vector<submit_request> requests;
    constexpr std::size_t held = 24;
    requests.reserve(held);
    for (std::size_t count = 0; count < held; ++count) {
        const std::string dataCentre = running->shape.dataCentres.at(count % 3);
        requests.push_back(makeRequest("team-" + dataCentre, "once-" + dataCentre, "held", "run_ms=2000"));
        requests.back().wait = milliseconds(20000);
    }
    std::vector<std::future<job_answer>> pending;
    pending.reserve(requests.size());
    for (const submit_request &request : requests) {
        pending.push_back(std::async(std::launch::async,
                                     [&running, leaving, &request] { return submit(*running, leaving, request); }));
    }
    REQUIRE(waitUntil(testTimeout, [&] {
        const auto executions = fetchExecutionReport(*running);
        return executions && executions.value().running == requests.size();
    }));
    running->daemons.at(leaving).process.signal(SIGTERM);
    for (std::future<job_answer> &single : pending) {
        const job_answer answer = single.get();
        INFO(answer.id << ' ' << answer.reason);
        CHECK(answer.status == answer_status::Done);
    }
    CHECK(running->daemons.at(leaving).process.wait(testTimeout) == 0);
    const submit_request next = makeRequest("team-metsovo", "once-metsovo", "next", "run_ms=50");
    CHECK(submitUntilFinal(*running, 1, next, testTimeout).status == answer_status::Done);
    requireInvariants(*running);
}
