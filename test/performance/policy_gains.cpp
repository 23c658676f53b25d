// The policy of a cell against first in, first out, on the loads it was made for. Guards against a change of the
// placement that loses what the policy gains.
#include "cell_replay.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::measure;

namespace {

/// What came of the load over several seeds, all queues together and the last one, the urgent one, alone.
struct earned_worth {
    double all = 0;
    double urgent = 0;
};

earned_worth play(const replay_load &load, const cell_policy &policy)
{
    constexpr std::uint64_t seeds = 2;
    earned_worth earned;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::vector<replay_figures> figures = playLoad(load, policy, seed);
        earned.all += earnedShare(figures) / seeds;
        earned.urgent += figures.back().earned / figures.back().owed / seeds;
    }
    return earned;
}

cell_policy firstInFirstOut()
{
    cell_policy policy;
    policy.order = work_order::Arrival;
    policy.workers = worker_order::Name;
    policy.maxReservingGangs = 0;
    return policy;
}

} // namespace

TEST_CASE("in bursts of more work than room the policy earns more, and urgent jobs are hardly late")
{
    for (const replay_load &load : {paguriLoad(), pompamassettoLoad()}) {
        INFO(load.name);
        const earned_worth policy = play(load, cell_policy());
        const earned_worth simplest = play(load, firstInFirstOut());
        CHECK(policy.all > simplest.all);
        CHECK(policy.urgent > simplest.urgent);
        CHECK(policy.urgent > 0.95);
    }
}

TEST_CASE("with slow workers the order by outlook earns more than the order of arrival")
{
    cell_policy byArrival;
    byArrival.order = work_order::Arrival;
    for (replay_load load : {paguriLoad(), pompamassettoLoad()}) {
        load.faults = {{8000, 7000, 0.17, false, 6.5}};
        INFO(load.name);
        CHECK(play(load, cell_policy()).all > play(load, byArrival).all);
    }
}
