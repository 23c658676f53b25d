// Organisations that share a cell: configuration, API keys, limits, shares and surplus. Each case guards against a
// request that is served without a valid key, a limit that is exceeded, or work that waits longer than its organisation
// entitles it to.
#include "../../platform/operator_configuration.h"
#include "../fixtures/cell_simulation.h"
#include "term/cell_recovery.h"
#include "term/job_placement.h"
#include "term/organisation_usage.h"
#include "term/policy_selection.h"
#include "term/run_lifecycle.h"
#include "term/waiting_steps.h"

#include <array>
#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

constexpr std::int64_t utcNow = 1700000000000;

clock_reading at(std::int64_t ms)
{
    const time_point point(milliseconds(1000000 + ms));
    return {point, utc_time(utcNow + ms), point};
}

resources cores(std::int64_t count)
{
    return {millicores(count * 1000), mebibytes(count * 16), accelerators(0)};
}

resources coresOnly(std::int64_t count)
{
    return {millicores(count * 1000), mebibytes(0), accelerators(0)};
}

/// State of a leader with one worker of 16 cores and the organisations "a" and "b".
struct shared_state {
    explicit shared_state(const resources &limit = {}, double weight = 100)
    {
        cell_worker &worker = addWorker(state, worker_id("w"));
        worker.capacity = cores(16);
        worker.listed = worker.seen = true;
        apply(limit, weight);
    }

    void apply(const resources &limit, double weight = 100)
    {
        cell_configuration configuration;
        configuration.organisations = {{organisation_id("a"), {}, weight, limit},
                                       {organisation_id("b"), {}, weight, {}}};
        applyOrganisations(state, configuration);
    }

    cell_job &add(const std::string &key, const resources &need, std::uint32_t count = 1, bool gang = false)
    {
        accepted_job accepted{job_key(key), {}, {}, utc_time(acceptedAt), organisation_id(organisation)};
        accepted.policy.stretch = 2;
        job_step step;
        step.need = need;
        step.count = count;
        step.gang = gang;
        step.estimate = milliseconds(1000);
        accepted.job.steps.push_back(step);
        return *addJob(state, std::move(accepted), {});
    }

    std::size_t place(std::int64_t ms = 0)
    {
        return placeWaiting(state, {0, 0}, at(ms)).placed.size();
    }

    void end(cell_job &job, std::uint32_t position)
    {
        endRun(state, *job.runs[position], run_end::Done, {}, at(500));
    }

    std::string organisation = "a"; ///< Of the jobs that are added.
    std::int64_t acceptedAt = utcNow;
    cell_state state;
};

/// Cell with a private and a public queue, and one organisation with the key "secret".
struct shared_cell : simulated_cell {
    shared_cell()
        : simulated_cell(simulated_cell_settings{})
    {
        apply(2, {api_key("secret")}, coresOnly(8));
        runFor(*this, 2000);
    }

    void apply(std::uint64_t version, const std::vector<api_key> &keys, const resources &limit)
    {
        queue_declaration open = makeQueue(*this);
        open.pathPrefix = "/open/";
        open.isPublic = true;
        applyConfiguration(*this, version, {makeQueue(*this), open}, {{organisation_id("a"), keys, 100, limit}});
        runFor(*this, 50);
    }

    /// Name of the answer to a call about job 1: "401", "404", "refused" or "served".
    std::string answer(const decltype(caller_request::call) &call,
                       const std::string &key,
                       const std::string &prefix = queuePrefix,
                       std::size_t daemon = 0)
    {
        const auto text = std::make_shared<std::string>("none");
        jobs[makeJobKey(1)].prefix = prefix;
        jobs[makeJobKey(1)].apiKey = api_key(key);
        callDaemon(*this, daemon, makeJobKey(1), call, [text](const caller_answer &given) {
            *text = std::holds_alternative<key_rejected>(given) ? "401"
                : std::holds_alternative<no_such_queue>(given)  ? "404"
                : std::holds_alternative<call_refused>(given)   ? "refused"
                                                                : "served";
        });
        runFor(*this, 100);
        return *text;
    }
};

} // namespace

TEST_CASE("a configuration with invalid organisations is rejected with the field and without the keys")
{
    const std::string one = R"({"name":"a","apiKeys":["secret"])";
    const auto [tenants, field] = GENERATE_COPY(table<std::string, std::string>(
        {{"{}", "tenants"},
         {"null", "tenants"},
         {"[5]", "tenants[0].name"},
         {R"([{"apiKeys":["secret"]}])", "tenants[0].name"},
         {"[" + one + "}," + R"({"name":"a"}])", "tenants[1].name"},
         {R"([{"name":"a","apiKeys":"secret"}])", "tenants[0].apiKeys"},
         {R"([{"name":"a","apiKeys":["secret",""]}])", "tenants[0].apiKeys"},
         {R"([{"name":"a","apiKeys":["secret",7]}])", "tenants[0].apiKeys"},
         {"[" + one + "}," + R"({"name":"b","apiKeys":["secret"]}])", "tenants[1].apiKeys"},
         {"[" + one + R"(,"weight":-1}])", "tenants[0].weight"},
         {"[" + one + R"(,"weight":"secret"}])", "tenants[0].weight"},
         {"[" + one + R"(,"maxCount":5}])", "tenants[0].maxCount"},
         {"[" + one + R"(,"maxCount":{"memMb":-1}}])", "tenants[0].maxCount"},
         {"[" + one + R"(,"maxCount":{"gpu":"1"}}])", "tenants[0].maxCount"}}));
    const auto configuration = platform::decodeConfiguration(R"({"version":2,"tenants":)" + tenants + "}");
    REQUIRE_FALSE(configuration);
    CHECK(configuration.error().message.find(field) != std::string::npos);
    CHECK(configuration.error().message.find("secret") == std::string::npos);
}

TEST_CASE("a configuration with unusual but valid organisations is applied")
{
    // A version that is rejected without need leaves withdrawn keys in force.
    const auto [tenants, limit] = GENERATE(table<std::string, std::int64_t>(
        {{R"([{"name":"a"}])", 0},
         {R"([{"name":"a","apiKeys":["k","k"],"priority":"x","maxCount":{"cpu":2000,"gpu":0}}])", 2000},
         {R"([{"name":"a","maxCount":{"cpu":2e3}}])", 2000},
         {R"([{"name":"a","maxCount":{"cpu":0.5}}])", 1},
         {R"([{"name":"a","maxCount":{"cpu":1e300}}])", 1000000000000}}));
    const auto configuration = platform::decodeConfiguration(R"({"version":2,"tenants":)" + tenants + "}");
    REQUIRE(configuration);
    CHECK(configuration.value()->organisations.front().limit.processors == millicores(limit));
}

TEST_CASE("each kind of call without a valid key gets 401, except on public queues")
{
    shared_cell cell;
    const std::vector<decltype(caller_request::call)> calls = {
        submit_call{makeOneStepJob(1, 1, "100"), {}}, status_call{}, cancel_call{}, count_call{}};
    for (const auto &call : calls) {
        INFO("call " << call.index());
        CHECK(cell.answer(call, "") == "401");
        CHECK(cell.answer(call, "other") == "401");
        CHECK(cell.answer(call, "", "/none/") == "404");
        CHECK(cell.answer(call, "secret", "/none/") == "404");
    }
    CHECK(cell.items.count("jobs/" + makeJobKey(1).value) == 0);
    for (const auto &call : calls) {
        CHECK(cell.answer(call, "secret") == "served");
        CHECK(cell.answer(call, "other", "/open/") == "served");
    }
    applyConfiguration(cell, 3, {makeQueue(cell)});
    runFor(cell, 50);
    CHECK(cell.answer(status_call{}, "") == "served");
}

TEST_CASE("a withdrawn key is not served again, and an accepted job continues")
{
    shared_cell cell;
    CHECK(cell.answer(submit_call{makeOneStepJob(1, 1, "3000"), {}}, "secret") == "served");
    const cell_configuration_ptr earlier = cell.configuration;
    cell.apply(3, {api_key("new")}, {});
    CHECK(cell.answer(status_call{}, "secret") == "401");
    CHECK(cell.answer(status_call{}, "new") == "served");
    // A new daemon refuses all calls until it has read the newest version; an older one that arrives later is ignored.
    killDaemon(cell, 0);
    const std::size_t restarted = startDaemon(cell);
    CHECK(cell.answer(status_call{}, "secret", queuePrefix, restarted) == "refused");
    CHECK(cell.answer(status_call{}, "secret", queuePrefix, restarted) == "401");
    cell.apply(2, {api_key("secret")}, {});
    CHECK(cell.answer(status_call{}, "secret", queuePrefix, restarted) == "401");
    CHECK(cell.answer(status_call{}, "secret", queuePrefix, 1) == "401");
    CHECK(runUntil(cell, 12000, [&] { return storedPhase(cell, makeJobKey(1)) == job_phase::Completed; }));
}

TEST_CASE("a gang that alone exceeds the limit is refused, unless it was accepted before")
{
    shared_cell cell;
    const submit_call gang{makeOneStepJob(8, 1, "60000", true), {}};
    cell.apply(3, {api_key("secret")}, coresOnly(7));
    CHECK(cell.answer(gang, "secret") == "refused");
    cell.apply(4, {api_key("secret")}, {});
    CHECK(cell.answer(gang, "secret") == "served");
    // A caller that repeats its request must not be told that the job will not run.
    cell.apply(5, {api_key("secret")}, coresOnly(7));
    CHECK(cell.answer(gang, "secret") == "served");
    CHECK(cell.answer(submit_call{makeOneStepJob(9, 1, "100"), {}}, "secret") == "served");
}

TEST_CASE("each component of a limit holds, and a wide step runs in waves")
{
    const auto [limit, need, first] = GENERATE(table<resources, resources, std::size_t>(
        {{{}, cores(1), 10},
         {cores(3), cores(1), 3},
         {cores(5), cores(2), 2},
         {{millicores(0), mebibytes(64), accelerators(0)}, cores(1), 4},
         {{millicores(0), mebibytes(0), accelerators(2)}, {millicores(1), mebibytes(1), accelerators(1)}, 2}}));
    shared_state shared(limit);
    shared.state.workers.begin()->second->capacity.accelerator = accelerators(16);
    cell_job &wide = shared.add("wide", need, 10);
    cell_job &other = shared.add("other", need, 1);
    CHECK(shared.place() == first + (first == 10 ? 1 : 0));
    shared.end(first == 10 ? wide : (wide.runs[0] != nullptr ? wide : other), 0);
    CHECK(shared.place(600) == (first == 10 ? 0 : 1));
    CHECK(shared.state.organisations.at(organisation_id("a")).reserved
          == shared.state.workers.begin()->second->reserved);
}

TEST_CASE("a gang above a lowered limit waits and holds nothing else back")
{
    // The gang kept more than the whole limit, so that no other step of its organisation ever started.
    shared_state shared(cores(4));
    cell_job &gang = shared.add("gang", cores(1), 5, true);
    cell_job &small = shared.add("small", cores(1), 3);
    CHECK(shared.place() == 3);
    CHECK(gang.steps[0].placed == 0);
    CHECK(small.steps[0].placed == 3);
}

TEST_CASE("a gang or a large task that waits for the limit is not starved by smaller steps")
{
    // Steps with less remaining work are ahead and took each part of the limit that became free.
    const bool isGang = GENERATE(true, false);
    shared_state shared(cores(4));
    shared.state.policy.ties = tie_order::LeastWork;
    cell_job &first = shared.add("first", cores(1), 4);
    shared.place();
    cell_job &large = isGang ? shared.add("large", cores(1), 4, true) : shared.add("large", cores(4));
    shared.place(10);
    for (std::uint32_t round = 0; round < 4; ++round) {
        const std::string key = "small" + std::to_string(round);
        shared.add(key, cores(1));
        shared.end(first, round);
        shared.place(1100 + round);
        CHECK(large.steps[0].placed == (round < 3 ? 0 : large.steps[0].count));
    }
}

TEST_CASE("a gang that has got the limit keeps it while it waits for capacity")
{
    // Smaller steps took the limit again in the next pass, before there was capacity for the gang.
    shared_state shared(cores(4));
    shared.state.policy.ties = tie_order::LeastWork;
    cell_job &first = shared.add("first", cores(1), 2);
    shared.organisation = "b";
    cell_job &other = shared.add("other", cores(2), 7);
    shared.place();
    shared.organisation = "a";
    cell_job &gang = shared.add("gang", cores(1), 4, true);
    shared.place(10);
    shared.end(first, 0);
    shared.end(first, 1);
    shared.place(1100);
    const cell_job &small = shared.add("small", cores(1));
    CHECK(shared.place(1120) == 0);
    shared.end(other, 0);
    shared.place(1130);
    CHECK(gang.steps[0].placed == 4);
    CHECK(small.steps[0].placed == 0);
}

TEST_CASE("a surplus gang that waits for the limit holds no job within the weight back")
{
    shared_state shared(cores(4), 1);
    cell_job &first = shared.add("first", cores(1), 4);
    shared.place();
    for (int number = 0; number < 4; ++number) {
        // They use up the weight, and exceed the limit alone.
        shared.add("idle" + std::to_string(number), cores(16));
    }
    REQUIRE(shared.add("surplus", cores(1), 4, true).surplus);
    shared.place(10);
    shared.acceptedAt += 5000;
    const cell_job &within = shared.add("within", cores(1));
    shared.end(first, 0);
    shared.place(5100);
    CHECK(within.steps[0].placed == 1);
}

TEST_CASE("surplus waits behind all other jobs, and one job a second is within any weight")
{
    const auto [weight, jobs, within] =
        GENERATE(table<double, int, int>({{0, 12, 12}, {0.5, 7, 5}, {1, 7, 5}, {2, 12, 10}, {2.5, 15, 13}}));
    shared_state shared({}, weight);
    int counted = 0;
    for (int number = 0; number < jobs; ++number) {
        counted += shared.add("a" + std::to_string(number), cores(16)).surplus ? 0 : 1;
    }
    CHECK(counted == within);
    shared.organisation = "b";
    shared.acceptedAt = utcNow - 60000;
    const cell_job &overdue = shared.add("z", cores(16));
    const std::vector<waiting_step> order = collectWaiting(shared.state, utc_time(utcNow));
    CHECK(order[static_cast<std::size_t>(within)].job == &overdue);
}

TEST_CASE("what is within the weight over five seconds is no surplus, and a steady excess is surplus in part")
{
    // Over single seconds, jobs of a small organisation that arrived by chance in the same second waited behind all
    // others. Counting surplus jobs as well would make all jobs of an organisation above its weight surplus.
    const auto [perSecond, surplus] = GENERATE(table<int, int>({{1, 0}, {2, 0}, {3, 10}, {8, 60}}));
    shared_state shared({}, 2);
    int counted = 0;
    for (int second = 0; second < 10; ++second) {
        for (int number = 0; number < perSecond; ++number) {
            const std::string key = std::to_string(second) + "-" + std::to_string(number);
            counted += shared.add(key, cores(1)).surplus ? 1 : 0;
        }
        shared.acceptedAt += 1000;
    }
    CHECK(counted == surplus);
}

TEST_CASE("a new leader and a new weight find the same surplus")
{
    // Jobs were counted in the order in which a leader learned of them, before it knew the weights.
    shared_state shared({}, 0);
    shared.acceptedAt = utcNow + 1;
    const cell_job &later = shared.add("a", cores(1));
    shared.acceptedAt = utcNow;
    std::array<const cell_job *, 5> earlier{};
    for (std::size_t number = 0; number < earlier.size(); ++number) {
        earlier[number] = &shared.add("b" + std::to_string(number), cores(1));
    }
    rankSubmissions(shared.state);
    shared.apply({}, 1);
    for (const cell_job *job : earlier) {
        CHECK_FALSE(job->surplus);
    }
    CHECK(later.surplus);
    // One job with a time in the future must not displace the counts of all other seconds.
    shared.acceptedAt = utcNow + 1000000000;
    shared.add("c", cores(1));
    shared.acceptedAt = utcNow;
    CHECK(shared.add("d", cores(1)).surplus);
}

TEST_CASE("an organisation above its share comes after one below it, and withdrawn organisations have no share")
{
    const bool withdrawn = GENERATE(false, true);
    shared_state shared;
    cell_job &running = shared.add("running", cores(4), 4);
    shared.place();
    shared.add("a", cores(4));
    shared.organisation = "b";
    const cell_job &below = shared.add("b", cores(4), 2);
    if (withdrawn) {
        cell_configuration configuration;
        configuration.organisations = {{organisation_id("b"), {}, 100, {}}};
        applyOrganisations(shared.state, configuration);
    }
    shared.end(running, 0);
    shared.place(600);
    CHECK(below.steps[0].placed == 1);
}

TEST_CASE("without organisations in the configuration the order and the policy are as before")
{
    shared_state shared(cores(1), 1);
    const cell_configuration none;
    applyOrganisations(shared.state, none);
    CHECK(shared.state.organisations.empty());
    CHECK(selectPolicy(policyInputs(shared.state)).ties == tie_order::LatestStart);
    // These jobs were accepted while there were organisations.
    for (const char *key : {"1", "2", "3"}) {
        shared.organisation = *key == '2' ? "b" : "a";
        shared.add(key, cores(5));
    }
    CHECK(shared.place() == 3);
    const cell_job &first = shared.add("4", cores(16));
    shared.organisation.clear();
    shared.add("5", cores(16));
    updateShares(shared.state, cores(16), at(0).uptime);
    CHECK(collectWaiting(shared.state, utc_time(utcNow)).front().job == &first);
}
