// A worker with running tasks becomes unreachable or restarts. Guards against repeatable tasks that are not run again
// or that run twice concurrently, and against a second start of non-repeatable tasks.
#include "harness/cell_test.h"

#include <future>

using namespace sesamespar;
using namespace sesamespar::harness;

namespace {

/// Jobs with a run time of 4 s, half of them repeatable.
std::vector<submission> makeSubmissions()
{
    std::vector<submission> submissions;
    for (std::size_t count = 0; count < 24; ++count) {
        const std::string work = count % 2 == 0 ? "once-metsovo" : "batch-metsovo";
        submissions.push_back({count % 3, makeRequest("team-metsovo", work, "job", "run_ms=4000")});
    }
    return submissions;
}

/// Waits until a worker runs at least two tasks of the jobs, and returns the worker.
worker_id findBusyWorker(const cell &running)
{
    worker_id busy;
    REQUIRE(waitUntil(testTimeout, [&] {
        const auto executions = fetchExecutionReport(running);
        std::map<worker_id, int> counts;
        if (executions) {
            for (const auto &[id, starts] : executions.value().starts) {
                for (const recorded_start &start : starts) {
                    counts[start.worker] += id.key.value.starts_with("job") && start.ended.value == 0 ? 1 : 0;
                }
            }
        }
        for (const auto &[worker, count] : counts) {
            if (count >= 2) {
                busy = worker;
            }
        }
        return !busy.value.empty();
    }));
    return busy;
}

/// Checks that repeatable jobs are done and that the others are done or lost.
void checkAnswers(const std::vector<submission> &submissions, const std::vector<job_answer> &answers)
{
    for (std::size_t index = 0; index < answers.size(); ++index) {
        const job_answer &answer = answers.at(index);
        INFO(answer.id << ' ' << answer.reason);
        const bool repeatable = submissions.at(index).request.job.work.value.starts_with("batch");
        CHECK((answer.status == answer_status::Done || (!repeatable && answer.status == answer_status::Lost)));
    }
}

} // namespace

TEST_CASE("tasks of an unreachable worker end according to their declaration")
{
    const auto running = startTestCell();
    const std::vector<submission> submissions = makeSubmissions();
    auto answers =
        std::async(std::launch::async, [&] { return submitAllUntilFinal(*running, submissions, testTimeout); });
    const worker_id lost = findBusyWorker(*running);
    REQUIRE(control(running->workersControl, "/test/worker?mode=vanished&name=" + lost.value));
    checkAnswers(submissions, answers.get());
    REQUIRE(control(running->workersControl, "/test/worker?mode=normal&name=" + lost.value));
    // The reachable worker reports the outcomes of the tasks that finished in the meantime.
    for (const submission &single : submissions) {
        CHECK(waitUntil(testTimeout, [&] {
            return status(*running, single.daemon, single.request.job.id, milliseconds(0)).status
                == answer_status::Done;
        }));
    }
    requireInvariants(*running);
}

TEST_CASE("tasks of a restarted worker end according to their declaration")
{
    const auto running = startTestCell();
    const std::vector<submission> submissions = makeSubmissions();
    auto answers =
        std::async(std::launch::async, [&] { return submitAllUntilFinal(*running, submissions, testTimeout); });
    const worker_id restarted = findBusyWorker(*running);
    REQUIRE(control(running->workersControl, "/test/restart?name=" + restarted.value));
    checkAnswers(submissions, answers.get());
    requireInvariants(*running);
}
