// Many running and waiting jobs are cancelled concurrently. Guards against cancelled jobs that keep running or start
// later, and against capacity that is not released.
#include "harness/cell_test.h"

#include <future>

using namespace sesamespar;
using namespace sesamespar::harness;

TEST_CASE("concurrent cancellations end all jobs and release the capacity of the workers")
{
    const auto running = startTestCell();
    // More than the 136 tasks that the 17 workers of the data centre can run at the same time.
    std::vector<submit_request> requests;
    for (std::size_t count = 0; count < 200; ++count) {
        requests.push_back(makeRequest("team-metsovo", "once-metsovo", "wave", "run_ms=60000"));
        const std::size_t daemon = count % running->daemons.size();
        REQUIRE(waitUntil(testTimeout,
                          [&] { return submit(*running, daemon, requests.back()).status == answer_status::Accepted; }));
    }
    REQUIRE(waitUntil(testTimeout, [&] {
        const auto executions = fetchExecutionReport(*running);
        return executions && executions.value().running > 100;
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
    CHECK(waitUntil(testTimeout, [&] {
        const auto executions = fetchExecutionReport(*running);
        return executions && executions.value().running == 0;
    }));
    for (const submit_request &request : requests) {
        CHECK(submitUntilFinal(*running, 0, request, testTimeout).status == answer_status::Cancelled);
    }
    const submit_request next = makeRequest("team-metsovo", "once-metsovo", "next", "run_ms=50");
    CHECK(submitUntilFinal(*running, 0, next, testTimeout).status == answer_status::Done);
    requireInvariants(*running);
}
