// A daemon that leads and holds requests gets SIGTERM. Guards against requests in flight that are cut off.
#include "harness/cell_test.h"

#include <csignal>
#include <future>

using namespace sesamespar;
using namespace sesamespar::harness;

TEST_CASE("a daemon that shuts down answers every request that it holds")
{
    const auto running = startTestCell();
    const std::size_t leaving = daemonIndex(*running, "metsovo-1");
    std::vector<submit_request> requests;
    constexpr std::size_t held = 24;
    requests.reserve(held);
    for (std::size_t count = 0; count < held; ++count) {
        const std::string place = running->shape.dataCentres.at(count % 3);
        requests.push_back(makeRequest("team-" + place, "once-" + place, "held", "run_ms=2000"));
        requests.back().wait = milliseconds(20000);
    }
    std::vector<std::future<job_answer>> pending;
    pending.reserve(requests.size());
    for (const submit_request &request : requests) {
        pending.push_back(std::async(std::launch::async,
                                     [&running, leaving, &request] { return submit(*running, leaving, request); }));
    }
    REQUIRE(waitUntil(generous, [&] {
        const auto seen = fetchExecutionReport(*running);
        return seen && seen.value().running == requests.size();
    }));
    running->daemons.at(leaving).process.signal(SIGTERM);
    for (std::future<job_answer> &single : pending) {
        const job_answer answer = single.get();
        INFO(answer.id << ' ' << answer.reason);
        CHECK(answer.status == answer_status::Done);
    }
    CHECK(running->daemons.at(leaving).process.wait(generous) == 0);
    const submit_request next = makeRequest("team-metsovo", "once-metsovo", "next", "run_ms=50");
    CHECK(submitUntilFinal(*running, 1, next, generous).status == answer_status::Done);
    requireInvariants(*running);
}
