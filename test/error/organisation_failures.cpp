// Failures of a leader, a link, a worker or the store while organisations run work up to their limits. The fake workers
// record a violation if the runs of an organisation ever exceed its limit. Each case guards against a leader that no
// longer counts a run which may still be active.
#include "../fixtures/cell_simulation.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

/// Cell whose organisation "a" may use two cores. Job 1 uses both for the given time, and job 2 waits for them.
struct full_cell : simulated_cell {
    explicit full_cell(const std::string &payload)
        : simulated_cell(simulated_cell_settings{})
    {
        limitTo(2, 2);
        runFor(*this, 2000);
        submit(1, payload);
        runFor(*this, 300);
        REQUIRE(jobs[makeJobKey(1)].starts == 2);
        submit(2, "500");
        runFor(*this, 300);
    }

    void limitTo(std::int64_t cores, std::uint64_t version)
    {
        const resources limit{millicores(cores * 1000), mebibytes(0), accelerators(0)};
        applyConfiguration(*this, version, {makeQueue(*this)}, {{organisation_id("a"), {api_key("a")}, 100, limit}});
    }

    void submit(std::uint64_t number, const std::string &payload)
    {
        jobs[makeJobKey(number)].apiKey = api_key("a");
        const auto daemon = static_cast<std::size_t>(leaderOf(*this).value_or(0));
        submitJob(*this, daemon, makeJobKey(number), makeOneStepJob(2, 1, payload));
    }

    void cutBusyWorkers()
    {
        for (const auto &worker : workers) {
            worker->reachable = worker->running.empty();
        }
    }

    /// Runs until all tasks of job 2 have been started, and checks the guarantees.
    void checkSecondStarts(std::int64_t within)
    {
        CHECK(runUntil(*this, within, [&] { return jobs[makeJobKey(2)].starts >= 2; }));
        runFor(*this, 3000);
        CHECK(violations.empty());
    }
};

} // namespace

TEST_CASE("runs on unreachable workers count at the next leader, also those of a job that is final")
{
    // A cancelled job is final in the store while its runs may continue until their leases expire.
    const bool cancelled = GENERATE(false, true);
    full_cell cell("30000");
    cell.cutBusyWorkers();
    if (cancelled) {
        cancelJobAt(cell, 0, makeJobKey(1));
        REQUIRE(runUntil(cell, 500, [&] { return storedPhase(cell, makeJobKey(1)) == job_phase::Cancelled; }));
    }
    killDaemon(cell, *leaderOf(cell));
    runFor(cell, 4500);
    CHECK(cell.jobs[makeJobKey(2)].starts == 0);
    cell.checkSecondStarts(cancelled ? 12000 : 40000);
}

TEST_CASE("runs of a cancelled job that no stop reaches count at the next leader for as long as they are reported")
{
    // Polls extend the leases of such runs, so they continue after those that earlier leaders have granted.
    full_cell cell("60000");
    for (const auto &worker : cell.workers) {
        worker->ordersArrive = worker->running.empty();
    }
    cancelJobAt(cell, 0, makeJobKey(1));
    REQUIRE(runUntil(cell, 500, [&] { return storedPhase(cell, makeJobKey(1)) == job_phase::Cancelled; }));
    killDaemon(cell, *leaderOf(cell));
    runFor(cell, 20000);
    CHECK(cell.jobs[makeJobKey(2)].starts == 0);
    for (const auto &worker : cell.workers) {
        worker->ordersArrive = true;
    }
    // The leases of the last polls that reported the runs last 6.4 s.
    cell.checkSecondStarts(8000);
}

TEST_CASE("a start without a reply counts until its run has provably ended")
{
    full_cell cell("400");
    const bool executed = GENERATE(false, true);
    cell.lostOrderReplyRate = executed ? 1 : 0;
    cell.lateOrderRate = executed ? 0 : 1;
    cell.submit(3, "2500");
    runFor(cell, 6000);
    cell.lostOrderReplyRate = cell.lateOrderRate = 0;
    cell.checkSecondStarts(30000);
}

TEST_CASE("a worker that restarts releases its runs once")
{
    full_cell cell("3000");
    for (std::size_t number = 0; number < cell.workers.size(); ++number) {
        restartWorker(cell, number);
    }
    cell.submit(3, "500");
    cell.checkSecondStarts(20000);
    const auto leader = leaderOf(cell);
    REQUIRE(leader);
    for (const std::uint64_t number : {1, 2, 3}) {
        CHECK(runUntil(cell, 20000, [&] { return storedPhase(cell, makeJobKey(number)) == job_phase::Completed; }));
    }
    runFor(cell, 1000);
    const cell_state &state = cell.daemons[*leader]->daemon->leader->state;
    CHECK(state.organisations.at(organisation_id("a")).reserved == resources());
}

TEST_CASE("a lowered limit stops no run and holds for the next ones, also at a new leader")
{
    const bool killed = GENERATE(false, true);
    full_cell cell("5000");
    cell.limitTo(1, 3);
    runFor(cell, 500);
    if (killed) {
        killDaemon(cell, *leaderOf(cell));
    }
    CHECK(runUntil(cell, 12000, [&] { return storedPhase(cell, makeJobKey(1)) == job_phase::Completed; }));
    CHECK(cell.jobs[makeJobKey(1)].starts == 2);
    cell.checkSecondStarts(5000);
}

TEST_CASE("a daemon that lost the store keeps its version, and takes the newest once it is back")
{
    full_cell cell("60000");
    const std::size_t other = (*leaderOf(cell) + 1) % 3;
    cell.daemons[other]->storeUnreachable = true;
    applyConfiguration(cell, 3, {makeQueue(cell)}, {{organisation_id("a"), {api_key("new")}, 100, {}}});
    runFor(cell, 100);
    const auto rejects = [&](std::size_t daemon) {
        bool rejected = false;
        callDaemon(cell, daemon, makeJobKey(1), count_call{}, [&rejected](const caller_answer &answer) {
            rejected = std::holds_alternative<key_rejected>(answer);
        });
        runFor(cell, 50);
        return rejected;
    };
    CHECK_FALSE(rejects(other));
    CHECK(rejects(*leaderOf(cell)));
    cell.daemons[other]->storeUnreachable = false;
    applyConfiguration(cell, 4, {makeQueue(cell)}, {{organisation_id("a"), {api_key("new")}, 100, {}}});
    runFor(cell, 100);
    CHECK(rejects(other));
}
