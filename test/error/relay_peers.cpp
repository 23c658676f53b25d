// Which daemons the daemons that have lost the store relay their callers' jobs to. Guards against one daemon that has
// to store the jobs of all of them.
#include "../fixtures/cell_simulation.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

TEST_CASE("daemons that have lost the store relay to different daemons")
{
    constexpr std::size_t daemons = 16;
    constexpr std::size_t lost = 6;
    simulated_cell_settings settings;
    settings.daemons = daemons;
    simulated_cell cell(settings);
    runFor(cell, 2000);
    REQUIRE(leaderOf(cell));
    const std::size_t leader = *leaderOf(cell);
    for (std::size_t index = 1; index <= lost; ++index) {
        cell.daemons[(leader + index) % daemons]->storeUnreachable = true;
    }
    runFor(cell, 3000);
    std::set<address> peers;
    for (std::size_t index = 1; index <= lost; ++index) {
        const job_relay &relay = *cell.daemons[(leader + index) % daemons]->daemon->relay;
        REQUIRE(relay.relayPeer);
        peers.insert(*relay.relayPeer);
    }
    CHECK(peers.size() >= lost / 2);
    CHECK(cell.violations.empty());
}
