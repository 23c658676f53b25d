// The store is down, or its answers are lost after their effect. Guards against work that needs the store to
// run, and against configuration changes that are told wrongly.
#include "harness/cell_test.h"

using namespace sesamespar;
using namespace sesamespar::harness;

namespace {

/// Every daemon has that version in the end.
bool allReach(const cell &running, config_version version)
{
    return waitUntil(generous, [&] {
        for (std::size_t daemon = 0; daemon < running.daemons.size(); ++daemon) {
            if (versionAt(running, daemon) != version) {
                return false;
            }
        }
        return true;
    });
}

} // namespace

TEST_CASE("work runs and configuration changes are not taken while the store is down")
{
    const auto running = startTestCell();
    const config_version before = versionAt(*running, 0);
    const std::string text = testConfiguration(running->shape, false) + "# changed\n";
    REQUIRE(control(running->platformAddress, "/test/faults?outage=silent"));
    std::vector<submission> submissions;
    for (std::size_t daemon = 0; daemon < running->daemons.size(); ++daemon) {
        for (const std::string &place : running->shape.dataCentres) {
            submissions.push_back({daemon, makeRequest("team-" + place, "once-" + place, "outage", "run_ms=50")});
        }
    }
    requireAll(submitAllUntilFinal(*running, submissions, generous), answer_status::Done);
    const apply_reply refused = apply(*running, 1, text);
    CHECK((refused.status == 503 || refused.status == 504));
    CHECK(versionAt(*running, 1) == before);

    REQUIRE(control(running->platformAddress, "/test/faults?outage=none"));
    REQUIRE(waitUntil(generous, [&] { return apply(*running, 1, text).status == 200; }));
    CHECK(allReach(*running, versionAt(*running, 1)));
    requireInvariants(*running);
}

TEST_CASE("a configuration change whose answer from the store is lost is told truly")
{
    const auto running = startTestCell();
    const config_version before = versionAt(*running, 0);
    REQUIRE(control(running->platformAddress, "/test/faults?lose_put_answers=1"));
    const apply_reply reply = apply(*running, 2, testConfiguration(running->shape, false) + "# changed\n");
    // The change took effect: the daemon finds that out or says that it does not know.
    CHECK((reply.status == 200 || reply.status == 504));
    CHECK(allReach(*running, config_version(before.value + 1)));
    requireInvariants(*running);
}
