// The progress of a cell with the load of 350 workers while the store answers 60 times as slowly as usual. Guards
// against a number of concurrent transactions that limits the rate at which tasks start and end.
#include "../fixtures/cell_simulation.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

/// Time that the slow store takes for a transaction, in milliseconds.
constexpr std::int64_t slowAnswer = 240;
/// Jobs a second on the largest site, and for how long its store is slow.
constexpr std::uint64_t jobsPerSecond = 150;
constexpr std::uint64_t slowSeconds = 3;
constexpr std::uint64_t jobs = jobsPerSecond * slowSeconds;
/// Time in which the last job ends: four transactions, the pauses that collect changes, the run of its tasks.
constexpr std::int64_t lastJobTime = 2500;

void slowDownStore(simulated_cell &cell)
{
    for (const auto &entry : cell.daemons) {
        store_port &port = entry->context->store;
        port.commit = [commit = port.commit, &cell](const auto &transaction, auto limit, auto done) {
            const auto key = std::pair(cell.now + slowAnswer, ++cell.sequence);
            cell.events.emplace(key, [=] { commit(transaction, limit, done); });
        };
    }
}

std::uint64_t countCompleted(const simulated_cell &cell)
{
    std::uint64_t completed = 0;
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        completed += storedPhase(cell, makeJobKey(number)) == job_phase::Completed ? 1 : 0;
    }
    return completed;
}

} // namespace

TEST_CASE("while the store is slow the tasks of 150 jobs a second start and end without a growing delay")
{
    simulated_cell_settings settings;
    settings.workers = 80;
    simulated_cell cell(settings);
    runFor(cell, 2000);
    slowDownStore(cell);
    for (std::uint64_t number = 1; number <= jobs; ++number) {
        submitJob(cell, number % cell.daemons.size(), makeJobKey(number), makeOneStepJob(3, 1, "600"));
        runFor(cell, number % jobsPerSecond % 3 == 0 ? 6 : 7);
    }
    runFor(cell, lastJobTime);
    CHECK(countCompleted(cell) == jobs);
    CHECK(cell.violations.empty());
}
