// Submits each kind of work through each daemon, for each data centre. Guards against requests that are lost, answered
// wrongly or run twice between front ends, leaders and workers.
#include "harness/cell_test.h"

using namespace sesamespar;
using namespace sesamespar::harness;

TEST_CASE("each kind of work runs through each daemon")
{
    const auto running = startTestCell();
    std::vector<submission> submissions;
    for (std::size_t daemon = 0; daemon < running->daemons.size(); ++daemon) {
        for (const std::string &dataCentre : running->shape.dataCentres) {
            for (const std::string kind : {"batch", "once", "gang", "query"}) {
                std::string work = kind;
                work += '-';
                work += dataCentre;
                const std::string payload = "run_ms=50 result=from-" + std::to_string(daemon);
                submissions.push_back({daemon, makeRequest("team-" + dataCentre, work, kind, payload)});
            }
        }
    }
    requireAll(submitAllUntilFinal(*running, submissions, testTimeout), answer_status::Done);
    requireInvariants(*running);
}

TEST_CASE("services run with their declared number of tasks")
{
    const auto running = startTestCell({}, true);
    CHECK(waitUntil(testTimeout, [&] {
        const auto executions = fetchExecutionReport(*running);
        return executions && executions.value().running == 6;
    }));
    requireInvariants(*running);
}

TEST_CASE("a failed task makes its job fail, and the answer contains its result")
{
    const auto running = startTestCell();
    const submit_request request = makeRequest("team-zagori", "once-zagori", "fails", "run_ms=20 fail=1 result=broken");
    const job_answer answer = submitUntilFinal(*running, 0, request, testTimeout);
    CHECK(answer.status == answer_status::Failed);
    REQUIRE(answer.tasks.size() == 1);
    CHECK(answer.tasks.front().state == task_state::Failed);
    CHECK(answer.tasks.front().result == "broken");
    requireInvariants(*running);
}
