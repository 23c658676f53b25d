// The store is unavailable, or the answer to a write that took effect is lost. Guards against running work that depends
// on the store, and against wrong answers to configuration changes.
#include "harness/cell_test.h"

using namespace sesamespar;
using namespace sesamespar::harness;

namespace {

/// Waits until every daemon has the version; false if one does not reach it in time.
bool allReach(const cell &running, config_version version)
{
    return waitUntil(testTimeout, [&] {
        for (std::size_t daemon = 0; daemon < running.daemons.size(); ++daemon) {
            if (versionAt(running, daemon) != version) {
                return false;
            }
        }
        return true;
    });
}

} // namespace

TEST_CASE("work runs and configuration changes are refused while the store is unavailable")
{
    const auto running = startTestCell();
    const config_version before = versionAt(*running, 0);
    const std::string text = testConfiguration(running->shape, false) + "# changed\n";
    REQUIRE(control(running->platformAddress, "/test/faults?outage=silent"));
    std::vector<submission> submissions;
    for (std::size_t daemon = 0; daemon < running->daemons.size(); ++daemon) {
        for (const std::string &dataCentre : running->shape.dataCentres) {
            submissions.push_back(
                {daemon, makeRequest("team-" + dataCentre, "once-" + dataCentre, "outage", "run_ms=50")});
        }
    }
    requireAll(submitAllUntilFinal(*running, submissions, testTimeout), answer_status::Done);
    const apply_reply refused = apply(*running, 1, text);
    CHECK((refused.status == 503 || refused.status == 504));
    CHECK(versionAt(*running, 1) == before);

    REQUIRE(control(running->platformAddress, "/test/faults?outage=none"));
    REQUIRE(waitUntil(testTimeout, [&] { return apply(*running, 1, text).status == 200; }));
    CHECK(allReach(*running, versionAt(*running, 1)));
    requireInvariants(*running);
}

TEST_CASE("a configuration change is answered correctly if the store's answer is lost")
{
    const auto running = startTestCell();
    const config_version before = versionAt(*running, 0);
    REQUIRE(control(running->platformAddress, "/test/faults?lose_put_answers=1"));
    const apply_reply reply = apply(*running, 2, testConfiguration(running->shape, false) + "# changed\n");
    // The change took effect. The daemon either reads that from the store or reports an unknown outcome.
    CHECK((reply.status == 200 || reply.status == 504));
    CHECK(allReach(*running, config_version(before.value + 1)));
    requireInvariants(*running);
}
