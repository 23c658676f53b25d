// Compares the default policy of a cell with first in, first out on the loads that the policy was designed for. Guards
// against placement changes that lose its advantage.
#include "cell_replay.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::measure;

namespace {

/// Share of the value that was earned, as a mean over several seeds: of all queues, and of the last one, which is
/// urgent.
struct earned_value {
    double all = 0;
    double urgent = 0;
};

earned_value replayMean(const replay_load &load, const cell_policy &policy)
{
    constexpr std::uint64_t seeds = 2;
    earned_value earned;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::vector<replay_figures> figures = replayLoad(load, policy, seed);
        earned.all += earnedShare(figures) / seeds;
        earned.urgent += figures.back().earned / figures.back().attainable / seeds;
    }
    return earned;
}

cell_policy firstInFirstOut()
{
    cell_policy policy;
    policy.order = work_order::Arrival;
    policy.workers = worker_order::Name;
    policy.gatheringShare = 0;
    policy.minGatheringGangs = 0;
    return policy;
}

} // namespace

TEST_CASE("in bursts beyond the capacity the policy earns more than first in, first out, and few urgent jobs are late")
{
    for (const replay_load &load : {paguriLoad(), pompamassettoLoad()}) {
        INFO(load.name);
        const earned_value policy = replayMean(load, cell_policy());
        const earned_value simplest = replayMean(load, firstInFirstOut());
        CHECK(policy.all > simplest.all);
        CHECK(policy.urgent > simplest.urgent);
        CHECK(policy.urgent > 0.95);
    }
}

TEST_CASE("with slow workers the order by deadline forecast earns more than the order of arrival")
{
    cell_policy byArrival;
    byArrival.order = work_order::Arrival;
    for (replay_load load : {paguriLoad(), pompamassettoLoad()}) {
        load.faults = {{8000, 7000, 0.17, false, 6.5}};
        INFO(load.name);
        CHECK(replayMean(load, cell_policy()).all > replayMean(load, byArrival).all);
    }
}
