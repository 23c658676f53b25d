// Operators change the configuration concurrently through different daemons. Guards against two conflicting changes
// that are both applied, a wrong answer to a change, and a version that decreases.
#include "harness/cell_test.h"

#include <future>

using namespace sesamespar;
using namespace sesamespar::harness;

namespace {

/// Limit of the design on the time until an accepted configuration is in force at every daemon.
constexpr milliseconds everywhereLimit{4000};

std::string textOf(const cell &running, int round, std::size_t daemon)
{
    return testConfiguration(running.shape, false) + "# round " + std::to_string(round) + " by "
        + std::to_string(daemon) + "\n";
}

/// Changes the same version through all daemons concurrently, and returns the replies.
std::vector<apply_reply> race(cell &running, int round, config_version expected)
{
    std::vector<std::future<apply_reply>> pending;
    for (std::size_t daemon = 0; daemon < running.daemons.size(); ++daemon) {
        pending.push_back(std::async(std::launch::async, [&running, round, daemon, expected] {
            return apply(running, daemon, textOf(running, round, daemon), expected);
        }));
    }
    std::vector<apply_reply> replies;
    replies.reserve(pending.size());
    for (std::future<apply_reply> &single : pending) {
        replies.push_back(single.get());
    }
    return replies;
}

} // namespace

TEST_CASE("exactly one of several concurrent changes is applied, and it reaches every daemon in time")
{
    const auto running = startTestCell();
    for (int round = 0; round < 5; ++round) {
        const config_version before = versionAt(*running, 0);
        std::size_t applied = 0;
        for (const apply_reply &reply : race(*running, round, before)) {
            INFO(reply.body);
            CHECK((reply.status == 200 || reply.status == 409));
            applied += reply.status == 200 ? 1 : 0;
        }
        CHECK(applied == 1);
        const config_version after(before.value + 1);
        CHECK(waitUntil(everywhereLimit, [&] {
            for (std::size_t daemon = 0; daemon < running->daemons.size(); ++daemon) {
                if (versionAt(*running, daemon) < after) {
                    return false;
                }
            }
            return true;
        }));
        CHECK(versionAt(*running, 0) == after);
    }
    requireInvariants(*running);
}

TEST_CASE("applying the same text again creates no new version")
{
    const auto running = startTestCell();
    const config_version before = versionAt(*running, 0);
    const apply_reply again = apply(*running, 3, testConfiguration(running->shape, false));
    CHECK(again.status == 200);
    CHECK(again.version == before);
}
