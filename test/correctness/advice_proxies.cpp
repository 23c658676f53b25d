// Through which daemons the leader sends its requests to the advisor. Guards against requests that crowd on the first
// daemons by name or on the leader, and against a daemon that attracts requests because its calls fail at once.
#include "../fixtures/cell_simulation.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

/// Number of calls to the advisor by daemon.
using call_counts = std::vector<std::size_t>;

/// Returns a cell with a leader in which tasks need advice, and counts the calls of each daemon to the advisor.
std::unique_ptr<simulated_cell> makeAdvisedCell(std::size_t daemons, call_counts &calls)
{
    simulated_cell_settings settings;
    settings.daemons = daemons;
    settings.workers = 12;
    settings.advised = true;
    auto cell = std::make_unique<simulated_cell>(settings);
    calls.assign(daemons, 0);
    for (std::size_t number = 0; number < daemons; ++number) {
        advice_port &port = cell->daemons[number]->context->advice;
        port.callAdvisor = [call = port.callAdvisor, &calls, number](const auto &request, auto limit, auto done) {
            ++calls[number];
            call(request, limit, std::move(done));
        };
    }
    runFor(*cell, 2000);
    REQUIRE(leaderOf(*cell));
    return cell;
}

void submitJobs(simulated_cell &cell, std::uint64_t count, std::int64_t interval)
{
    for (std::uint64_t number = 1; number <= count; ++number) {
        submitJob(cell, number % cell.daemons.size(), makeJobKey(number), makeOneStepJob(1, 1, "100"));
        runFor(cell, interval);
    }
}

bool areCompleted(const simulated_cell &cell, std::uint64_t count)
{
    for (std::uint64_t number = 1; number <= count; ++number) {
        if (storedPhase(cell, makeJobKey(number)) != job_phase::Completed) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("requests one after the other spread over the daemons other than the leader")
{
    constexpr std::size_t daemons = 8;
    constexpr std::uint64_t jobs = 56;
    call_counts calls;
    const auto cell = makeAdvisedCell(daemons, calls);
    submitJobs(*cell, jobs, 40);
    CHECK(runUntil(*cell, 4000, [&] { return areCompleted(*cell, jobs); }));
    for (std::size_t number = 0; number < daemons; ++number) {
        INFO("daemon " << number);
        if (number == *leaderOf(*cell)) {
            CHECK(calls[number] == 0);
        } else {
            CHECK(calls[number] >= jobs / daemons / 2);
            CHECK(calls[number] <= jobs / daemons * 2);
        }
    }
}

TEST_CASE("the leader sends requests itself while all other daemons have one in progress")
{
    constexpr std::uint64_t jobs = 12;
    call_counts calls;
    const auto cell = makeAdvisedCell(3, calls);
    submitJobs(*cell, jobs, 0);
    CHECK(runUntil(*cell, 4000, [&] { return areCompleted(*cell, jobs); }));
    CHECK(calls[*leaderOf(*cell)] > 0);
}

TEST_CASE("a daemon whose calls to the advisor fail at once does not get the next request each time")
{
    // A failed request leaves no backlog, so that this daemon seemed to be the best one for the repetition as well.
    constexpr std::size_t daemons = 4;
    constexpr std::uint64_t jobs = 40;
    call_counts calls;
    const auto cell = makeAdvisedCell(daemons, calls);
    const std::size_t failing = (*leaderOf(*cell) + 1) % daemons;
    std::size_t failed = 0;
    cell->daemons[failing]->context->advice.callAdvisor = [&failed](const auto &, auto, auto done) {
        ++failed;
        done(makeError(error_kind::Unreachable, "connection refused"));
    };
    submitJobs(*cell, jobs, 25);
    CHECK(runUntil(*cell, 2000, [&] { return areCompleted(*cell, jobs); }));
    // The load lasts 1 s; the daemon is tried again after a pause.
    CHECK(failed > 0);
    CHECK(failed <= 8);
    CHECK(cell->violations.empty());
}
