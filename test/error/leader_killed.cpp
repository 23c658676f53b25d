// A leader with open requests and running tasks is killed. Guards against work that is lost or run again when another
// daemon takes over.
#include "harness/cell_test.h"

#include <csignal>
#include <future>

using namespace sesamespar;
using namespace sesamespar::harness;

TEST_CASE("every request is answered when the leader is killed")
{
    const auto running = startTestCell();
    std::vector<submission> submissions;
    for (std::size_t count = 0; count < 40; ++count) {
        const std::string work = count % 2 == 0 ? "once-metsovo" : "batch-metsovo";
        const std::string payload = "run_ms=" + std::to_string(100 + 50 * count);
        submissions.push_back({count % running->daemons.size(), makeRequest("team-metsovo", work, "job", payload)});
    }
    auto answers =
        std::async(std::launch::async, [&] { return submitAllUntilFinal(*running, submissions, testTimeout); });
    REQUIRE(waitUntil(testTimeout, [&] {
        const auto executions = fetchExecutionReport(*running);
        return executions && executions.value().running > 0;
    }));
    running->daemons.at(daemonIndex(*running, "metsovo-1")).process.signal(SIGKILL);
    requireAll(answers.get(), answer_status::Done);
    requireInvariants(*running);
}
