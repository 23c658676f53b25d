// Liveness of the placement on a cell with more workers than one request to the advisor may name.
#include "cell_replay.h"
#include "connection/advice_port.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::measure;

namespace {

/// Time within which a job that fits starts: the advisor assesses all workers of the cell, in requests of the maximum
/// length one after the other, and then issues new tickets. Each of these requests may wait for one of the same length.
std::int64_t startBoundMs(const replay_load &load, const replay_queue &queue)
{
    const std::size_t requests = (load.workers + maxAdviceWorkers - 1) / maxAdviceWorkers + 1;
    const double longest = queue.adviceMs + static_cast<double>(maxAdviceWorkers) * queue.adviceMsForWorker;
    return static_cast<std::int64_t>(2 * static_cast<double>(requests) * longest);
}

} // namespace

TEST_CASE("on a cell that is less than half in use every job that fits starts within the advisor's time")
{
    // Regression: every job asked about the same 100 workers, and a gang that did not fit on them beside small jobs
    // never asked about others, so that accepted jobs waited for ever while two thirds of the cell were idle.
    for (replay_load load : {grownPaguriLoad(), grownPompamassettoLoad()}) {
        // The calm load of the quiet days, on which the fault was seen.
        load.bursts.clear();
        const std::vector<replay_figures> all = replayLoad(load, cell_policy(), 1);
        for (std::size_t index = 0; index < all.size(); ++index) {
            INFO(load.name << ", " << all[index].queue);
            CHECK(all[index].longestIdleWaitMs <= startBoundMs(load, load.queues[index]));
        }
    }
}

TEST_CASE("a backlog that an overload leaves starts in time once less than half of the cell is in use")
{
    // Regression: machines that were kept for short requests after the last of these were missing for the tickets of
    // the gangs that had waited longest, so that these were idle in a cell that was mostly free.
    constexpr std::int64_t boundMs = 3000; // After that long the users count such a job as lost.
    for (replay_load load : {grownPaguriLoad(), grownPompamassettoLoad()}) {
        load.lengthMs = 70000;
        load.bursts = {{"", 0, load.lengthMs, 1.1}};
        for (const std::uint64_t seed : {3, 4}) {
            for (const replay_figures &figures : replayLoad(load, cell_policy(), seed)) {
                INFO(load.name << ", seed " << seed << ", " << figures.queue);
                CHECK(figures.longestFinalIdleWaitMs <= boundMs);
            }
        }
    }
}
