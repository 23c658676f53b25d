// Compares the default policy of a cell with first in, first out on the loads that the policy was designed for. Guards
// against placement changes that lose its advantage.
#include "cell_replay.h"
#include "term/policy_selection.h"

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

bool becomesUneven(const replay_load &load, std::uint64_t seed)
{
    return replayLoad(load, cell_policy(), seed).front().uneven;
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

TEST_CASE("only a cell whose workers differ permanently by a factor of two counts as uneven")
{
    // Guards against a switch of the policy by workers that are slow for a time, or by estimates off by 1.9.
    constexpr std::uint64_t seeds = 3;
    replay_load load = grownPaguriLoad();
    load.workers = 48;
    load.advisors = 7;
    load.lengthMs = 20000;
    for (replay_queue &queue : load.queues) {
        queue.jobsPerSecond *= 48.0 / 350;
        queue.estimateError = 0.9;
        queue.tailShare = 0.03;
        queue.tailFactor = 7;
        queue.taskSpread = 0.3;
    }
    replay_load slow = load;
    slow.faults = {{5000, 9000, 1.0 / 6, false, 6.5}};
    replay_load uneven = load;
    uneven.workerSpeeds = {0.6, 1, 1.6};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO(seed);
        CHECK_FALSE(becomesUneven(load, seed));
        CHECK_FALSE(becomesUneven(slow, seed));
        CHECK(becomesUneven(uneven, seed));
    }
}

TEST_CASE("on uneven workers the policy for overload earns more than the default, and does not lose without overload")
{
    // The large load is not overloaded; over 10 seeds the policies differ by less than 0.01 there.
    constexpr double tolerated = 0.03;
    const cell_policy overload = selectPolicy({false, true});
    const replay_load tailed = tailedUnevenLoad();
    CHECK(replayMean(tailed, overload).all > replayMean(tailed, cell_policy()).all);
    const replay_load large = largeUnevenLoad();
    CHECK(replayMean(large, overload).all > replayMean(large, cell_policy()).all - tolerated);
}
