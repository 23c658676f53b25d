// The same request is sent to several daemons, also after its leader was killed. Guards against non-repeatable work
// that runs twice, and against an answer to a request with other content under the same key.
#include "harness/cell_test.h"

using namespace sesamespar;
using namespace sesamespar::harness;

TEST_CASE("a request that is sent to several daemons at once runs once")
{
    const auto running = startTestCell();
    std::vector<submission> submissions;
    for (int count = 0; count < 10; ++count) {
        const submit_request request = makeRequest("team-ioannina", "once-ioannina", "twice", "run_ms=200");
        submissions.push_back({0, request});
        submissions.push_back({4, request});
    }
    const std::vector<job_answer> answers = submitAllUntilFinal(*running, submissions, testTimeout);
    requireAll(answers, answer_status::Done);
    for (std::size_t index = 0; index < answers.size(); index += 2) {
        CHECK(answers.at(index).tasks == answers.at(index + 1).tasks);
        CHECK(startsOf(*running, answers.at(index).id) == 1);
    }
    requireInvariants(*running);
}

TEST_CASE("a request that is repeated after its leader was killed gets the first outcome")
{
    const auto running = startTestCell();
    const submit_request request = makeRequest("team-metsovo", "once-metsovo", "again", "run_ms=50 result=first");
    const job_answer first = submitUntilFinal(*running, 3, request, testTimeout);
    REQUIRE(first.status == answer_status::Done);
    killDaemon(*running, daemonIndex(*running, "metsovo-1"));
    const job_answer second = submitUntilFinal(*running, 4, request, testTimeout);
    CHECK(second.status == answer_status::Done);
    CHECK(second.tasks == first.tasks);
    CHECK(startsOf(*running, request.job.id) == 1);
    requireInvariants(*running);
}

TEST_CASE("the same key with other content is a conflict and does not run")
{
    const auto running = startTestCell();
    const submit_request request = makeRequest("team-zagori", "once-zagori", "key", "run_ms=50 result=first");
    REQUIRE(submitUntilFinal(*running, 0, request, testTimeout).status == answer_status::Done);
    submit_request changed = request;
    SECTION("another payload")
    {
        changed.job.payload = "run_ms=50 result=second";
    }
    SECTION("another expiry")
    {
        ++changed.job.expires.value;
    }
    SECTION("another number of tasks")
    {
        changed.job.tasks = 2;
    }
    CHECK(submitUntilFinal(*running, 5, changed, testTimeout).status == answer_status::Conflict);
    CHECK(startsOf(*running, request.job.id) == 1);
    requireInvariants(*running);
}
