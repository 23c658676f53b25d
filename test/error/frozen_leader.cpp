// A leader is suspended, another daemon takes over, and the former leader resumes. Guards against a former leader that
// starts or stops tasks after its leases have expired.
#include "harness/cell_test.h"

#include <csignal>

using namespace sesamespar;
using namespace sesamespar::harness;

namespace {

std::vector<submission> makeSubmissions(std::size_t daemon, const std::string &prefix)
{
    std::vector<submission> submissions;
    for (int count = 0; count < 12; ++count) {
        const std::string work = count % 2 == 0 ? "once-metsovo" : "batch-metsovo";
        submissions.push_back({daemon, makeRequest("team-metsovo", work, prefix, "run_ms=200")});
    }
    return submissions;
}

} // namespace

TEST_CASE("a suspended leader changes nothing after it resumes")
{
    const auto running = startTestCell();
    const std::size_t first = daemonIndex(*running, "metsovo-1");
    const std::size_t second = daemonIndex(*running, "metsovo-2");
    // Submitted before the suspension, so that the former leader has tasks in its state when it resumes.
    std::vector<submit_request> before;
    for (int count = 0; count < 12; ++count) {
        before.push_back(makeRequest("team-metsovo", "once-metsovo", "before", "run_ms=3000"));
        submit(*running, first, before.back());
    }
    running->daemons.at(first).process.signal(SIGSTOP);
    requireAll(submitAllUntilFinal(*running, makeSubmissions(second, "during"), testTimeout), answer_status::Done);
    running->daemons.at(first).process.signal(SIGCONT);
    requireAll(submitAllUntilFinal(*running, makeSubmissions(first, "after"), testTimeout), answer_status::Done);
    for (const submit_request &request : before) {
        CHECK(submitUntilFinal(*running, second, request, testTimeout).status == answer_status::Done);
    }
    requireInvariants(*running);
}
