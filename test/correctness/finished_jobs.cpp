// The progress of finished jobs is removed after its retention. Guards against a store that fills up, and whose reading
// delays each takeover more, because fewer jobs are removed than finish.
#include "../fixtures/cell_simulation.h"
#include "connection/cell_keys.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

constexpr std::uint64_t jobs = 240;

std::size_t countProgress(const simulated_cell &cell)
{
    std::size_t count = 0;
    for (const auto &[key, item] : cell.items) {
        count += key.starts_with(cell_keys::progressPrefix) ? 1 : 0;
    }
    return count;
}

/// Starts the cell with a retention of finished jobs of one second.
void startWithShortRetention(simulated_cell &cell)
{
    for (const auto &entry : cell.daemons) {
        entry->context->settings.limits.keepFinished = std::chrono::seconds(1);
    }
    runFor(cell, 2000);
}

/// Runs many short jobs in a cell that keeps finished jobs for one second.
void finishJobs(simulated_cell &cell)
{
    startWithShortRetention(cell);
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        submitJob(cell, number % cell.daemons.size(), makeJobKey(number), makeOneStepJob(1, 1, "50"));
        runFor(cell, 10);
    }
    REQUIRE(runUntil(cell, 4000, [&] { return countProgress(cell) == jobs; }));
    runFor(cell, 200);
}

/// Time after which every finished job was past its retention at a listing of the jobs: twice the retention, and the
/// period of the listings.
constexpr std::int64_t sweepTime = 14000;

} // namespace

TEST_CASE("finished jobs are removed as fast as they finish")
{
    simulated_cell cell({});
    finishJobs(cell);
    CHECK(runUntil(cell, sweepTime, [&] { return countProgress(cell) == 0; }));
    CHECK(cell.violations.empty());
}

TEST_CASE("finished jobs whose removal got no reply are removed later")
{
    simulated_cell cell({});
    finishJobs(cell);
    cell.lostStoreReplyRate = 1;
    runFor(cell, sweepTime);
    cell.lostStoreReplyRate = 0;
    CHECK(runUntil(cell, 2 * sweepTime, [&] { return countProgress(cell) == 0; }));
}

TEST_CASE("the record of a withdrawn job is removed, and its key can be used again")
{
    // Otherwise cancels of unknown jobs would fill the store.
    simulated_cell cell({});
    startWithShortRetention(cell);
    const std::size_t leader = *leaderOf(cell);
    const std::size_t other = (leader + 1) % cell.daemons.size();
    bool answered = false;
    callDaemon(cell, other, makeJobKey(1), cancel_call{}, [&](const caller_answer &) { answered = true; });
    REQUIRE(runUntil(cell, 1000, [&] { return answered; }));
    REQUIRE(countProgress(cell) == 1);
    SECTION("by the leader of that time")
    {
    }
    SECTION("by the next leader")
    {
        killDaemon(cell, leader);
    }
    CHECK(runUntil(cell, 2 * sweepTime, [&] {
        return std::none_of(cell.items.begin(), cell.items.end(), [](const auto &entry) {
            return entry.first.starts_with(cell_keys::progressPrefix) || entry.first.starts_with(cell_keys::jobPrefix);
        });
    }));
    submitJob(cell, other, makeJobKey(1), makeOneStepJob(1, 1, "50"));
    CHECK(runUntil(cell, 4000, [&] { return storedPhase(cell, makeJobKey(1)) == job_phase::Completed; }));
    CHECK(cell.violations.empty());
}
