// Refusals under overload, from the leader's state to the decision at a front end. Guards against jobs that are refused
// although they could be completed in time, and against hopeless ones that fill the cell.
#include "../fixtures/cell_simulation.h"
#include "connection/cell_codec.h"
#include "request/admission_decision.h"
#include "term/cell_admission.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

constexpr std::int64_t utcNow = 1700000000000;
constexpr std::int64_t poolCores = 160;

/// Equal jobs of one task, or of one gang with tasks of 16 cores.
struct job_group {
    int priority = 1;
    std::int64_t cores = 4;
    std::int64_t estimateMs = 1000;
    double stretch = 2;
    int count = 1;
    std::int64_t ageMs = 500;
    bool surplus = false;
    bool labelled = false;
};

accepted_job makeJob(const job_group &group, std::uint64_t number)
{
    accepted_job job;
    job.key = makeJobKey(number);
    job.policy.queue = queue_id("q" + std::to_string(group.priority));
    job.policy.service = service_id("s");
    job.policy.priority = group.priority;
    job.policy.stretch = group.stretch;
    job.acceptedAt = utc_time(utcNow - group.ageMs);
    constexpr std::int64_t widest = 16;
    const std::int64_t cores = std::min(group.cores, widest);
    const auto tasks = static_cast<std::uint32_t>(group.cores / cores);
    job.job = makeOneStepJob(tasks, cores, std::to_string(group.estimateMs), tasks > 1);
    job.job.steps[0].requiredLabel = group.labelled ? "special" : "";
    return job;
}

/// Load that a leader publishes with that backlog, after a transfer.
cell_load publish(const std::vector<job_group> &backlog, const cell_policy &policy, bool full)
{
    cell_state state;
    state.policy = policy;
    constexpr std::int64_t workers = 10;
    for (std::int64_t number = 0; number < workers; ++number) {
        cell_worker &worker = addWorker(state, worker_id("w" + std::to_string(number)));
        worker.service = service_id("s");
        worker.capacity = {millicores(poolCores / workers * 1000), mebibytes(32768), accelerators(0)};
        worker.reserved = full ? worker.capacity : resources{};
        worker.listed = true;
        worker.seen = true;
        worker.incarnation = worker_incarnation(1);
        worker.current = worker.incarnation;
    }
    std::uint64_t number = 0;
    for (const job_group &group : backlog) {
        for (int added = 0; added < group.count; ++added) {
            addJob(state, makeJob(group, ++number), {})->surplus = group.surplus;
        }
    }
    cell_load load = countLoad(state);
    const std::string counted = encodeLoad(load);
    addBacklog(load, state, {time_point(milliseconds(1000000)), utc_time(utcNow), time_point(milliseconds(1000000))});
    if (policy.ties != tie_order::LeastWork) {
        CHECK(encodeLoad(load) == counted);
    }
    const auto received = decodeLoad(encodeLoad(load));
    REQUIRE(received);
    CHECK(encodeLoad(received.value()) == encodeLoad(load));
    return received.value();
}

} // namespace

TEST_CASE("a job is refused only if the work ahead of it makes it hopeless")
{
    // Takes 25 s; the limit of one more job is 12 s with the margin, or 19 s if it comes when told.
    const std::vector<job_group> burst{{.count = 1000}};
    const std::vector<job_group> gangs{{.cores = 64, .estimateMs = 3000, .count = 120}};
    const job_group some{.count = 250};
    struct admission_case {
        const char *load;
        std::vector<job_group> backlog;
        job_group submitted;
        bool refused;
        std::int64_t loadAgeMs = 500;
        bool overloadPolicy = true;
        bool full = true;
    };
    const admission_case cases[] = {
        {"a burst of one queue, one more job of it", burst, {}, true},
        {"a burst of one queue, a smaller job", burst, {.cores = 1}, false},
        {"a burst of one queue, a more urgent job", burst, {.priority = 0}, false},
        {"a burst of one queue, a job with much slack", burst, {.stretch = 8}, false},
        {"a burst of one queue, a job for other workers", burst, {.labelled = true}, false},
        {"a burst beyond the limit, but not by the margin", {some}, {}, false},
        {"a burst whose jobs are late", {{.count = 1000, .ageMs = 2500}}, {}, false},
        {"a burst partly late, in which one more job becomes late", {some, {.count = 900, .ageMs = 2500}}, {}, true},
        {"a burst mostly overdue", {some, {.count = 900, .ageMs = 9000}}, {}, false},
        {"a burst that mostly waits for other workers", {some, {.count = 900, .labelled = true}}, {}, false},
        {"a hot organisation beside others", {some, {.count = 900, .surplus = true}}, {}, false},
        {"a full cell of large gangs, one more", gangs, {.cores = 64, .estimateMs = 3000}, true},
        {"a full cell of large gangs, a small job", gangs, {}, false},
        {"a full cell of large gangs, much slack", gangs, {.cores = 64, .estimateMs = 3000, .stretch = 20}, false},
        {"an old load", burst, {}, false, 3001},
        {"no overload policy", burst, {}, false, 500, false},
        {"free processors", burst, {}, false, 500, true, false},
    };
    for (const admission_case &entry : cases) {
        CAPTURE(entry.load);
        cell_policy policy;
        policy.ties = entry.overloadPolicy ? tie_order::LeastWork : policy.ties;
        const cell_load load = publish(entry.backlog, policy, entry.full);
        std::set<std::int64_t> delays;
        for (std::uint64_t number = 0; number < 20; ++number) {
            const auto decision =
                decideAdmission(load, milliseconds(entry.loadAgeMs), makeJob(entry.submitted, number));
            CHECK(decision.refused == entry.refused);
            CHECK(decision.retryAfter <= milliseconds(10000));
            CHECK((decision.retryAfter >= milliseconds(1000)) == entry.refused);
        }
    }
}

TEST_CASE("callers that return when told are taken at least as often as those that come first")
{
    constexpr std::int64_t workOfJob = 4000;
    constexpr std::int64_t second = 1000;
    struct tally {
        double asked = 0;
        double taken = 0;
    };
    // Twice the capacity for some time, then 80% of it. Refused callers return up to four times. First requests are
    // counted while others return: before, no job is refused yet.
    for (const std::int64_t burst : {12, 30, 60}) {
        tally first;
        tally returning;
        std::int64_t backlog = 0;
        std::uint64_t number = 0;
        std::multimap<std::int64_t, std::pair<std::uint64_t, int>> callers;
        std::set<std::int64_t> returns;
        for (std::int64_t now = 0; now < burst + 20; ++now) {
            cell_load load;
            load.queues[queue_id("q1")].durationPercent = 100;
            load.pools[service_id("s")] = {millicores(poolCores * 1000), {{1, sizeClassOf(workOfJob), backlog, 0}}};
            const std::int64_t arrivals = poolCores * second / workOfJob * (now < burst ? 20 : 8) / 10;
            for (std::int64_t caller = 0; caller < arrivals; ++caller) {
                callers.emplace(now, std::pair(++number, 0));
            }
            while (!callers.empty() && callers.begin()->first <= now) {
                const auto [key, retries] = callers.begin()->second;
                callers.erase(callers.begin());
                accepted_job job = makeJob({}, key);
                job.acceptedAt = utc_time(utcNow + now * second);
                const auto decision = decideAdmission(load, milliseconds(0), job);
                tally &group = retries > 0 ? returning : first;
                if (!returns.empty() && now >= *returns.begin()) {
                    ++group.asked;
                    group.taken += decision.refused ? 0 : 1;
                }
                if (!decision.refused) {
                    backlog += workOfJob;
                } else if (retries < 4) {
                    const auto delay = std::chrono::ceil<std::chrono::seconds>(decision.retryAfter);
                    callers.emplace(now + delay.count(), std::pair(key, retries + 1));
                    returns.insert(now + delay.count());
                }
            }
            backlog = std::max<std::int64_t>(backlog - poolCores * second, 0);
        }
        CAPTURE(burst, first.asked, first.taken, returning.asked, returning.taken);
        REQUIRE(returning.asked > 0);
        CHECK(returns.size() > 2);
        CHECK(returning.taken / returning.asked >= first.taken / first.asked);
    }
}

TEST_CASE("a front end refuses by a load of three seconds at most, and no job that is stored already")
{
    simulated_cell cell({});
    runFor(cell, 2500);
    const std::size_t late = startDaemon(cell);
    cell_daemon &started = *cell.daemons[late]->daemon;
    REQUIRE(runUntil(cell, 500, [&] { return started.keysListed; }));
    // The load that the store had before the daemon began may be old.
    CHECK_FALSE(started.loadAt);
    runFor(cell, 1500);
    REQUIRE(started.loadAt);
    const time_point received = *started.loadAt;
    const std::int64_t receivedAt = cell.now;
    const auto submitAt = [&](std::int64_t loadAge, std::uint64_t number) {
        started.load.pools[service_id("service")] = {millicores(1000), {{0, 0, 1000000, 0}}};
        started.loadAt = received + milliseconds(cell.now - receivedAt - loadAge);
        submitJob(cell, late, makeJobKey(number), makeOneStepJob(1, 1, "200"));
        runFor(cell, 40);
        return cell.jobs[makeJobKey(number)].answer;
    };
    const auto refused = submitAt(0, 1);
    REQUIRE(refused);
    REQUIRE(std::holds_alternative<call_refused>(*refused));
    CHECK(std::get<call_refused>(*refused).cause == refusal_cause::Load);
    constexpr std::int64_t old = 5000;
    for (const std::int64_t age : {old, std::int64_t(0)}) {
        const auto accepted = submitAt(age, 2);
        REQUIRE(accepted);
        CHECK(std::holds_alternative<job_accepted>(*accepted));
    }
    CHECK(runUntil(cell, 2000, [&] { return storedPhase(cell, makeJobKey(2)) == job_phase::Completed; }));
    CHECK(cell.violations.empty());
}

TEST_CASE("a malformed backlog is rejected as a whole")
{
    for (const char *text : {R"({"":[]})",
                             R"({"":{"s":[]}})",
                             R"({"":{"s":[1,2]}})",
                             R"({"":{"s":[1,2,-1,4,5]}})",
                             R"({"":{"s":[1,2,3,"4",5]}})",
                             R"({"q":[1,true,0,-5]})",
                             R"({"q":[1,true,0,5,6]})"}) {
        CAPTURE(text);
        CHECK_FALSE(decodeLoad(text));
    }
}
