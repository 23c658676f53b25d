// Refusals while the store is down. Guards against callers whose retries all fall into the outage, callers that return
// at the same moment, and submissions that are answered as unknown although nothing has left the process.
#include "../fixtures/cell_simulation.h"
#include "process/cell_requests.h"
#include "request/outage_backoff.h"

#include <catch2/catch.hpp>
#include <stdexcept>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

constexpr unsigned maxRetries = 4;

/// Retry-After as callers receive it.
std::int64_t wholeSeconds(milliseconds delay)
{
    return std::chrono::ceil<std::chrono::seconds>(delay).count();
}

/// A caller that retries after a part of the time that it was told.
struct outage_caller {
    std::int64_t percent = 100; ///< Of Retry-After.
    std::int64_t nextAt = 0;
    unsigned calls = 0;
    bool over = false;
};

/// Lets the caller act on its latest answer, and call if it is time to.
void step(simulated_cell &cell, std::size_t number, outage_caller &caller)
{
    const job_key key = makeJobKey(number);
    auto &answer = cell.jobs[key].answer;
    if (answer) {
        const auto *refused = std::get_if<call_refused>(&*answer);
        caller.over = refused == nullptr || caller.calls > maxRetries;
        caller.nextAt =
            refused == nullptr ? cell.now : cell.now + wholeSeconds(refused->retryAfter) * 10 * caller.percent;
        answer.reset();
    }
    if (!caller.over && cell.now >= caller.nextAt && caller.nextAt >= 0) {
        ++caller.calls;
        caller.nextAt = -1;
        const std::size_t daemon = number % cell.daemons.size();
        const std::size_t next = (daemon + 1) % cell.daemons.size();
        submitJob(cell, cell.daemons[daemon]->alive ? daemon : next, key, makeOneStepJob(1, 1, "100"));
    }
}

/// A cell of which one daemon, not the leader, has lost the store and has an offer to relay to.
struct cut_daemon {
    cut_daemon()
        : cell({})
    {
        runFor(cell, 2000);
        number = (*leaderOf(cell) + 1) % cell.daemons.size();
        cell.daemons[number]->storeUnreachable = true;
        runFor(cell, 4000);
        REQUIRE(self().intake->storeLost);
        REQUIRE(self().relay->relayPeer);
    }

    cell_daemon &self()
    {
        return *cell.daemons[number]->daemon;
    }

    /// Submits a job and returns the answer that it gets within the time.
    std::optional<caller_answer> submit(std::uint64_t key, std::int64_t time = 10)
    {
        submitJob(cell, number, makeJobKey(key), makeOneStepJob(1, 1, "100"));
        runFor(cell, time);
        return cell.jobs[makeJobKey(key)].answer;
    }

    simulated_cell cell;
    std::size_t number = 0;
};

bool isRefused(const std::optional<caller_answer> &answer)
{
    return answer && std::holds_alternative<call_refused>(*answer);
}

} // namespace

TEST_CASE("Retry-After leads beyond a short outage, grows with a long one, and differs between callers")
{
    for (std::int64_t age = 0; age <= 12000; age += 500) {
        CAPTURE(age);
        std::map<std::int64_t, std::size_t> callers;
        constexpr std::size_t keys = 200;
        for (std::size_t number = 0; number < keys; ++number) {
            const milliseconds delay = outageRetryAfter(milliseconds(age), makeJobKey(number));
            CHECK(age + delay.count() >= 4000);
            CHECK(delay >= milliseconds(2000));
            CHECK(delay <= milliseconds(8000));
            ++callers[wholeSeconds(delay)];
        }
        CHECK(callers.size() >= 2);
        for (const auto &[seconds, count] : callers) {
            CHECK(count <= keys * 2 / 3);
        }
    }
}

TEST_CASE("all callers that follow Retry-After with four retries get in after an outage")
{
    struct outage_case {
        const char *load;
        std::int64_t length;
        std::int64_t percent;
        bool leaderChanges;
    };
    constexpr outage_case cases[] = {{"the shortest outage", 4000, 100, false},
                                     {"an outage of medium length", 7000, 100, false},
                                     {"the longest outage", 9000, 100, false},
                                     {"callers that return early", 9000, 75, false},
                                     {"the leader is killed halfway", 9000, 100, true}};
    for (const outage_case &outage : cases) {
        CAPTURE(outage.load);
        simulated_cell cell({});
        runFor(cell, 2000);
        const std::size_t leader = *leaderOf(cell);
        const std::int64_t lostAt = cell.now;
        cell.storeDown = true;
        // The first job of each daemon is in a transaction already when it shows that the store is lost.
        constexpr std::int64_t known = 1300;
        for (std::size_t daemon = 0; daemon < cell.daemons.size(); ++daemon) {
            submitJob(cell, daemon, makeJobKey(100 + daemon), makeOneStepJob(1, 1, "100"));
        }
        std::map<std::size_t, outage_caller> callers;
        for (std::size_t number = 1; number <= 40; ++number) {
            callers[number].percent = outage.percent;
            callers[number].nextAt = lostAt + known + (outage.length - known) * static_cast<std::int64_t>(number) / 41;
        }
        while (cell.now < lostAt + outage.length + 9000) {
            cell.storeDown = cell.now < lostAt + outage.length;
            if (outage.leaderChanges && cell.now == lostAt + outage.length / 2) {
                killDaemon(cell, leader);
            }
            for (auto &[number, caller] : callers) {
                step(cell, number, caller);
            }
            runFor(cell, 20);
        }
        for (const auto &[number, caller] : callers) {
            CAPTURE(number, caller.calls);
            CHECK(cell.jobs[makeJobKey(number)].acknowledged);
        }
        CHECK(cell.violations.empty());
    }
}

TEST_CASE("a job that no transaction contains is refused as soon as the store is known to be lost")
{
    // Such a job was once sent in a new transaction while the probe was in progress, and answered as unknown.
    simulated_cell cell({});
    runFor(cell, 2000);
    cell.storeDown = true;
    submitJob(cell, 0, makeJobKey(1), makeOneStepJob(1, 1, "100"));
    runFor(cell, 650);
    submitJob(cell, 0, makeJobKey(2), makeOneStepJob(1, 1, "100"));
    runFor(cell, 480);
    CHECK(isRefused(cell.jobs[makeJobKey(2)].answer));
    // The first one was sent, so it may still be stored.
    CHECK_FALSE(cell.jobs[makeJobKey(1)].answer);
    runFor(cell, 200);
    REQUIRE(cell.jobs[makeJobKey(1)].answer);
    CHECK(std::holds_alternative<outcome_unknown>(*cell.jobs[makeJobKey(1)].answer));
}

TEST_CASE("a submission that did not leave the process is refused, never unknown")
{
    cut_daemon cut;
    SECTION("the daemon relays while the link passes data")
    {
        const auto answer = cut.submit(1, 40);
        REQUIRE(answer);
        CHECK(std::holds_alternative<job_accepted>(*answer));
    }
    SECTION("the link to the other daemon is full")
    {
        cut.cell.daemons[cut.number]->context->sendToPeer = [](const address &, const daemon_message &) {
            return false;
        };
        CHECK(isRefused(cut.submit(1)));
    }
    SECTION("the link to the other daemon passes nothing")
    {
        cut.self().unreachablePeers.insert(*cut.self().relay->relayPeer);
        CHECK(isRefused(cut.submit(1)));
    }
    SECTION("the handling of the request ends with an error")
    {
        cut.cell.daemons[cut.number]->context->sendToPeer = [](const address &, const daemon_message &) -> bool {
            throw std::runtime_error("send");
        };
        caller_request request{queueHost, queuePrefix + makeJobKey(1).value, {}, milliseconds(3000), {}};
        request.call = submit_call{makeOneStepJob(1, 1, "100"), {}};
        const clock_reading now = readClocks();
        cut.self().relay->offeredAt = now.uptime;
        const auto done = [](const caller_answer &) {
        };
        CHECK_THROWS(handleCallerRequest(cut.self(), request, done, now));
        CHECK(isRefused(answerAfterError(cut.self(), request)));
        // A job that the intake has queued may be stored.
        enqueueJob(*cut.self().intake, {makeJobKey(1), makeOneStepJob(1, 1, "100"), {}, {}, {}, {}}, {}, done, now);
        CHECK_FALSE(isRefused(answerAfterError(cut.self(), request)));
        cut.self().intake->waiting.clear();
    }
}
