// Which daemon leads a cell whose VMs have unequal shares of a core. Guards against a leader on a VM whose processor
// cannot make the calls of a large fleet, and against a cell of small VMs that elects late.
#include "../fixtures/cell_simulation.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

const millicores largeShare{500}; ///< Of the large VMs of the grown sites.
const millicores todaysShare{250}; ///< Of all VMs of the sites of 48 workers.
const millicores smallShare{120}; ///< Of the small VMs of the grown sites.

/// Time from the start of a cell or the end of a drain until there is a leader: the pause of the last turn, and the
/// calls to the store.
constexpr std::int64_t electionTime = 500;
/// Time to live of the leader's lease, until the end of which the death of a leader is not detected.
constexpr std::int64_t leaseTime = 1000;

/// Starts a daemon on a VM with the share of a core.
void startDaemonWith(simulated_cell &cell, millicores share)
{
    const std::size_t number = startDaemon(cell);
    cell.daemons[number]->context->settings.processorShare = share;
}

millicores shareOfLeader(const simulated_cell &cell)
{
    const auto leader = leaderOf(cell);
    return leader ? cell.daemons[*leader]->context->settings.processorShare : millicores(0);
}

simulated_cell_settings makeSettings(std::uint64_t seed)
{
    simulated_cell_settings settings;
    settings.seed = seed;
    settings.daemons = 0;
    return settings;
}

/// Starts 36 daemons in a random order within 300 ms. The share of every sixth is large.
void startUnequalDaemons(simulated_cell &cell)
{
    constexpr std::size_t daemons = 36;
    constexpr std::size_t large = 6;
    std::vector<millicores> shares(daemons, smallShare);
    std::fill_n(shares.begin(), large, largeShare);
    std::shuffle(shares.begin(), shares.end(), cell.random);
    for (const millicores share : shares) {
        startDaemonWith(cell, share);
        runFor(cell, 8);
    }
}

void killDaemonsWith(simulated_cell &cell, millicores share)
{
    for (std::size_t number = 0; number < cell.daemons.size(); ++number) {
        if (cell.daemons[number]->context->settings.processorShare == share) {
            killDaemon(cell, number);
        }
    }
}

} // namespace

TEST_CASE("a daemon with a large share of a core leads, in whatever order the daemons start")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        simulated_cell cell(makeSettings(seed));
        startUnequalDaemons(cell);
        REQUIRE(runUntil(cell, electionTime, [&] { return leaderOf(cell).has_value(); }));
        CHECK(shareOfLeader(cell) == largeShare);
        killDaemon(cell, *leaderOf(cell));
        REQUIRE(runUntil(cell, leaseTime + electionTime, [&] { return leaderOf(cell).has_value(); }));
        CHECK(shareOfLeader(cell) == largeShare);
    }
}

TEST_CASE("a small daemon leads without long delay when no large one lives")
{
    simulated_cell cell(makeSettings(3));
    startUnequalDaemons(cell);
    runFor(cell, 2000);
    killDaemonsWith(cell, largeShare);
    REQUIRE(runUntil(cell, leaseTime + 3 * electionTime, [&] { return leaderOf(cell).has_value(); }));
    CHECK(shareOfLeader(cell) == smallShare);
    runFor(cell, 2000);
    CHECK(cell.violations.empty());
}

TEST_CASE("daemons with equal shares elect as fast as daemons whose share is unknown")
{
    for (const millicores share : {millicores(), todaysShare}) {
        simulated_cell cell(makeSettings(1));
        for (std::size_t number = 0; number < 7; ++number) {
            startDaemonWith(cell, share);
        }
        CHECK(runUntil(cell, electionTime, [&] { return leaderOf(cell).has_value(); }));
    }
}
