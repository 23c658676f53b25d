// Whole daemons go on serving after all open connections between them, to the store and to the workers stopped passing
// data without an error. Guards against a daemon that is out of touch with the others for good, although new
// connections would work (incident paguri-advice-overdue).
#include "harness/cell_test.h"

#include <future>

using namespace sesamespar;
using namespace sesamespar::harness;

namespace {

/// Submits the same request to one daemon until the answer is final.
job_answer submitOnlyTo(cell &running, std::size_t daemon, submit_request request)
{
    request.wait = milliseconds(5000);
    job_answer answer;
    waitUntil(testTimeout, [&] {
        answer = submit(running, daemon, request);
        return isFinalAnswer(answer.status);
    });
    return answer;
}

/// Runs a request of each team through each daemon, so that every daemon needs the leaders of all data centres.
std::vector<job_answer> useAllDaemons(cell &running, const std::string &prefix)
{
    std::vector<std::future<job_answer>> open;
    open.reserve(running.daemons.size() * running.shape.dataCentres.size());
    for (std::size_t daemon = 0; daemon < running.daemons.size(); ++daemon) {
        for (const std::string &dataCentre : running.shape.dataCentres) {
            const submit_request request =
                makeRequest("team-" + dataCentre, "query-" + dataCentre, prefix, "run_ms=20");
            open.push_back(std::async(std::launch::async,
                                      [&running, daemon, request] { return submitOnlyTo(running, daemon, request); }));
        }
    }
    std::vector<job_answer> answers;
    answers.reserve(open.size());
    for (std::future<job_answer> &answer : open) {
        answers.push_back(answer.get());
    }
    return answers;
}

} // namespace

TEST_CASE("every daemon serves again after all open connections went silent, in each direction and again")
{
    cell_shape shape;
    shape.proxied = true;
    const auto running = startTestCell(shape);
    requireAll(useAllDaemons(*running, "before"), answer_status::Done);
    for (const std::string direction : {"forward", "backward", "both", "both"}) {
        INFO(direction);
        REQUIRE(setLinks(*running, "*", "silence=" + direction));
        requireAll(useAllDaemons(*running, direction), answer_status::Done);
    }
    requireInvariants(*running);
}
