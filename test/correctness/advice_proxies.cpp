// Through which daemons the leader sends its requests to the advisor. Guards against requests that crowd on the first
// daemons by name or on the leader, against a daemon that attracts requests because its calls fail at once, and against
// timeouts that add up over the daemons while a step waits (incident paguri-advice-overdue).
#include "../fixtures/cell_simulation.h"
#include "../fixtures/cell_simulation_parts.h"

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

/// Longest time that a step may wait for its advice: a job with nothing running for 3 s counts as lost.
constexpr std::int64_t adviceLimit = 3000;

/// Makes all daemons but the leader lose the messages from and to the others.
void silenceOthers(simulated_cell &cell)
{
    const std::size_t leader = *leaderOf(cell);
    for (std::size_t number = 0; number < cell.daemons.size(); ++number) {
        cell.daemons[number]->peersUnreachable = number != leader;
    }
}

/// Replaces the advisor of all daemons but one by a call that fails at once.
void failOwnAdvisor(simulated_cell &cell, std::size_t daemon)
{
    cell.daemons[daemon]->context->advice.callAdvisor = [](const auto &, auto, auto done) {
        done(makeError(error_kind::Unreachable, "connection refused"));
    };
}

/// Tells the leader that the links to the other daemons pass nothing, or pass data again.
void setOthersReachable(simulated_cell &cell, bool reachable)
{
    const std::size_t leader = *leaderOf(cell);
    for (std::size_t number = 0; number < cell.daemons.size(); ++number) {
        if (number != leader) {
            const address peer = cell.daemons[number]->context->settings.peerAddress;
            scheduleAtDaemon(cell, leader, 0, [daemon = cell.daemons[leader]->daemon.get(), peer, reachable] {
                post(daemon->context.box, [daemon, peer, reachable](const clock_reading &now) {
                    setPeerReachable(*daemon, peer, reachable, now);
                });
            });
        }
    }
}

/// Submits a job to the leader and returns whether one of its tasks is started in time.
bool startsInTime(simulated_cell &cell)
{
    const job_key key = makeJobKey(1);
    submitJob(cell, *leaderOf(cell), key, makeOneStepJob(1, 1, "100"));
    return runUntil(cell, adviceLimit, [&] { return cell.jobs.at(key).starts > 0; });
}

} // namespace

TEST_CASE("a step gets its advice in time although no other daemon responds")
{
    const std::size_t daemons = GENERATE(2, 7, 97);
    INFO(daemons << " daemons");
    call_counts calls;
    const auto cell = makeAdvisedCell(daemons, calls);
    silenceOthers(*cell);
    CHECK(startsInTime(*cell));
    CHECK(cell->violations.empty());
}

TEST_CASE("a step gets its advice in time although one daemon only responds and the leader cannot reach the advisor")
{
    const std::size_t daemons = GENERATE(3, 7, 13);
    INFO(daemons << " daemons");
    call_counts calls;
    const auto cell = makeAdvisedCell(daemons, calls);
    const std::size_t leader = *leaderOf(*cell);
    silenceOthers(*cell);
    // The leader asks the daemons in turn, so that each position of the responding one is tried over all its values.
    const std::size_t offset = 1 + GENERATE(0, 1, 5, 11) % (daemons - 1);
    cell->daemons[(leader + offset) % daemons]->peersUnreachable = false;
    failOwnAdvisor(*cell, leader);
    CHECK(startsInTime(*cell));
    CHECK(cell->violations.empty());
}

TEST_CASE("a response that arrives after its request was repeated is used")
{
    call_counts calls;
    const auto cell = makeAdvisedCell(7, calls);
    const std::size_t leader = *leaderOf(*cell);
    failOwnAdvisor(*cell, leader);
    for (const auto &daemon : cell->daemons) {
        daemon->peerDelay = 500;
    }
    CHECK(startsInTime(*cell));
    CHECK(cell->violations.empty());
}

TEST_CASE("requests that wait for daemons that become unreachable are repeated at once")
{
    call_counts calls;
    const auto cell = makeAdvisedCell(7, calls);
    const std::size_t leader = *leaderOf(*cell);
    silenceOthers(*cell);
    const job_key key = makeJobKey(1);
    submitJob(*cell, leader, key, makeOneStepJob(1, 1, "100"));
    runFor(*cell, 200);
    REQUIRE(cell->jobs.at(key).starts == 0);
    setOthersReachable(*cell, false);
    // Less than the time after which a response is overdue.
    CHECK(runUntil(*cell, 250, [&] { return cell->jobs.at(key).starts > 0; }));
    CHECK(calls[leader] == 1);
    setOthersReachable(*cell, true);
    for (const auto &daemon : cell->daemons) {
        daemon->peersUnreachable = false;
    }
    submitJob(*cell, leader, makeJobKey(2), makeOneStepJob(1, 1, "100"));
    CHECK(runUntil(*cell, 250, [&] { return cell->jobs.at(makeJobKey(2)).starts > 0; }));
    CHECK(calls[leader] == 1);
}

TEST_CASE("a daemon that responds again gets requests again at once")
{
    call_counts calls;
    const auto cell = makeAdvisedCell(2, calls);
    const std::size_t leader = *leaderOf(*cell);
    const std::size_t other = 1 - leader;
    cell->daemons[other]->peerDelay = 800;
    submitJob(*cell, leader, makeJobKey(1), makeOneStepJob(1, 1, "100"));
    CHECK(runUntil(*cell, 2000, [&] { return storedPhase(*cell, makeJobKey(1)) == job_phase::Completed; }));
    runFor(*cell, 1000);
    cell->daemons[other]->peerDelay = 0;
    const std::size_t before = calls[other];
    submitJob(*cell, leader, makeJobKey(2), makeOneStepJob(1, 1, "100"));
    CHECK(runUntil(*cell, 1000, [&] { return storedPhase(*cell, makeJobKey(2)) == job_phase::Completed; }));
    CHECK(calls[other] == before + 1);
}

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
