// Many jobs, running and waiting ones, are cancelled at once. Guards against cancelled jobs that run on or are
// started later, and against capacity that is not given back.
#include "harness/cell_test.h"

#include <future>

using namespace sesamespar;
using namespace sesamespar::harness;

TEST_CASE("a wave of cancellations ends all jobs and frees the workers")
{
    const auto running = startTestCell();
    // More than the 136 tasks that the 17 workers of the data centre can run at the same time.
    std::vector<submit_request> requests;
    for (std::size_t count = 0; count < 200; ++count) {
        requests.push_back(makeRequest("team-metsovo", "once-metsovo", "wave", "run_ms=60000"));
        const std::size_t daemon = count % running->daemons.size();
        REQUIRE(waitUntil(generous,
                          [&] { return submit(*running, daemon, requests.back()).status == answer_status::Accepted; }));
    }
    REQUIRE(waitUntil(generous, [&] {
        const auto seen = fetchExecutionReport(*running);
        return seen && seen.value().running > 100;
    }));
    std::vector<std::future<void>> pending;
    for (std::size_t part = 0; part < running->daemons.size(); ++part) {
        pending.push_back(std::async(std::launch::async, [&running, &requests, part] {
            for (std::size_t index = part; index < requests.size(); index += running->daemons.size()) {
                cancel(*running, part, requests.at(index).job.id);
            }
        }));
    }
    for (std::future<void> &single : pending) {
        single.get();
    }
    CHECK(waitUntil(generous, [&] {
        const auto seen = fetchExecutionReport(*running);
        return seen && seen.value().running == 0;
    }));
    for (const submit_request &request : requests) {
        CHECK(submitUntilFinal(*running, 0, request, generous).status == answer_status::Cancelled);
    }
    const submit_request next = makeRequest("team-metsovo", "once-metsovo", "next", "run_ms=50");
    CHECK(submitUntilFinal(*running, 0, next, generous).status == answer_status::Done);
    requireInvariants(*running);
}
