// Calls to workers through executors, under failures of the executors and of the leader. Guards against a task that
// runs twice or is given up because the daemon that called its worker was paused, cut off, killed or replaced.
#include "../fixtures/cell_simulation.h"
#include "connection/cell_keys.h"
#include "process/cell_requests.h"
#include "term/worker_dispatch.h"

#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

/// Number of calls to workers by daemon.
using call_counts = std::vector<std::size_t>;

constexpr std::size_t daemonCount = 6;

/// Returns a cell with a leader in which executors call the workers, and counts the calls of each daemon.
std::unique_ptr<simulated_cell> makeDelegatingCell(call_counts &calls, std::size_t workers = 12)
{
    simulated_cell_settings settings;
    settings.daemons = daemonCount;
    settings.workers = workers;
    settings.directWorkers = 0;
    auto cell = std::make_unique<simulated_cell>(settings);
    calls.assign(daemonCount, 0);
    for (std::size_t number = 0; number < daemonCount; ++number) {
        worker_port &port = cell->daemons[number]->context->workers;
        port.poll = [call = port.poll, &calls, number](const auto &target, const auto &poll, auto limit, auto done) {
            ++calls[number];
            call(target, poll, limit, std::move(done));
        };
        port.start = [call = port.start, &calls, number](const auto &target, const auto &order, auto limit, auto done) {
            ++calls[number];
            call(target, order, limit, std::move(done));
        };
    }
    runFor(*cell, 2000);
    REQUIRE(leaderOf(*cell));
    return cell;
}

void submitJobs(simulated_cell &cell, std::uint64_t first, std::uint64_t count, const std::string &payload)
{
    for (std::uint64_t number = first; number < first + count; ++number) {
        submitJob(cell, *leaderOf(cell), makeJobKey(number), makeOneStepJob(2, 1, payload));
    }
}

bool areCompleted(simulated_cell &cell, std::uint64_t first, std::uint64_t count)
{
    for (std::uint64_t number = first; number < first + count; ++number) {
        if (storedPhase(cell, makeJobKey(number)) != job_phase::Completed) {
            return false;
        }
    }
    return true;
}

std::uint32_t startsOf(simulated_cell &cell, std::uint64_t first, std::uint64_t count)
{
    std::uint32_t starts = 0;
    for (std::uint64_t number = first; number < first + count; ++number) {
        starts += cell.jobs[makeJobKey(number)].starts;
    }
    return starts;
}

/// The executor that calls the worker with the given number.
std::size_t executorOf(const simulated_cell &cell, std::size_t worker)
{
    const simulated_daemon &leader = *cell.daemons[*leaderOf(cell)];
    const auto *chosen = chooseExecutor(leader.daemon->leader->dispatch,
                                        cell.workers[worker]->id,
                                        data_centre_id("dc" + std::to_string(cell.workers[worker]->dataCentre)),
                                        time_point::min());
    REQUIRE(chosen != nullptr);
    return std::stoul(chosen->second.at.value);
}

worker_call_batch makeBatch(std::uint64_t fence, const std::optional<executor_permission> &permission)
{
    worker_call_batch batch;
    batch.answerTo.value = "leader";
    batch.fence.value = fence;
    batch.permission = permission;
    worker_poll poll;
    poll.fence = batch.fence;
    batch.calls.push_back({call_number(1), {worker_id("w"), address("w:1")}, milliseconds(100), poll});
    return batch;
}

clock_reading readingAt(std::int64_t ms)
{
    return {time_point(milliseconds(ms)), utc_time(ms), time_point(milliseconds(ms))};
}

/// An executor with a fake worker port that counts the calls, and the answers that it sends.
struct executor_fixture {
    cell_context context;
    std::shared_ptr<worker_executor> executor;
    std::size_t polls = 0;
    std::vector<worker_outcome_batch> answers;

    executor_fixture()
    {
        context.settings.name.value = "executor";
        context.incarnation.value = 7;
        context.workers.poll = [this](const auto &, const auto &, auto, const auto &) {
            ++polls;
        };
        context.sendToPeer = [this](const address &, const daemon_message &message) {
            answers.push_back(std::get<worker_outcome_batch>(message));
            return true;
        };
        executor = std::make_shared<worker_executor>(context);
    }
};

} // namespace

TEST_CASE("the daemons other than the leader share the calls to the workers")
{
    call_counts calls;
    const auto cell = makeDelegatingCell(calls, 48);
    submitJobs(*cell, 1, 60, "300");
    CHECK(runUntil(*cell, 10000, [&] { return areCompleted(*cell, 1, 60); }));
    const std::size_t leader = *leaderOf(*cell);
    std::size_t total = 0;
    for (std::size_t number = 0; number < daemonCount; ++number) {
        total += calls[number];
        CHECK((number == leader || calls[number] > 0));
    }
    CHECK(calls[leader] * 20 <= total);
    CHECK(startsOf(*cell, 1, 60) == 120);
    CHECK(cell->violations.empty());
}

TEST_CASE("runs continue when an executor is killed, paused or cut off from the other daemons")
{
    call_counts calls;
    const auto cell = makeDelegatingCell(calls);
    submitJobs(*cell, 1, 12, "9000");
    runFor(*cell, 300);
    REQUIRE(startsOf(*cell, 1, 12) == 24);
    const std::size_t lost = executorOf(*cell, 0);
    SECTION("killed")
    {
        killDaemon(*cell, lost);
    }
    SECTION("paused for longer than a lease")
    {
        freezeDaemon(*cell, lost);
        runFor(*cell, 7000);
        thawDaemon(*cell, lost);
    }
    SECTION("cut off")
    {
        cell->daemons[lost]->peersUnreachable = true;
    }
    SECTION("cut off from the workers")
    {
        cell->daemons[lost]->workersUnreachable = true;
    }
    CHECK(runUntil(*cell, 15000, [&] { return areCompleted(*cell, 1, 12); }));
    CHECK(startsOf(*cell, 1, 12) == 24);
    CHECK(cell->violations.empty());
}

TEST_CASE("work is placed within 2 s after an executor is lost")
{
    call_counts calls;
    const auto cell = makeDelegatingCell(calls);
    submitJobs(*cell, 1, 6, "200");
    CHECK(runUntil(*cell, 3000, [&] { return areCompleted(*cell, 1, 6); }));
    const std::size_t lost = executorOf(*cell, 0);
    freezeDaemon(*cell, lost);
    submitJobs(*cell, 7, 60, "200");
    CHECK(runUntil(*cell, 2000 + 1500, [&] { return startsOf(*cell, 7, 60) >= 120; }));
    CHECK(runUntil(*cell, 10000, [&] { return areCompleted(*cell, 7, 60); }));
    thawDaemon(*cell, lost);
    runFor(*cell, 3000);
    CHECK(cell->violations.empty());
}

TEST_CASE("a leader that was paused makes no calls through executors that know a later term")
{
    call_counts calls;
    const auto cell = makeDelegatingCell(calls);
    submitJobs(*cell, 1, 10, "4000");
    runFor(*cell, 300);
    const std::size_t first = *leaderOf(*cell);
    freezeDaemon(*cell, first);
    CHECK(runUntil(*cell, 6000, [&] { return leaderOf(*cell) && *leaderOf(*cell) != first; }));
    submitJobs(*cell, 11, 10, "500");
    runFor(*cell, 1000);
    thawDaemon(*cell, first);
    runFor(*cell, 500);
    CHECK(cell->daemons[first]->daemon->leader == nullptr);
    CHECK(runUntil(*cell, 15000, [&] { return areCompleted(*cell, 1, 20); }));
    CHECK(cell->violations.empty());
}

TEST_CASE("an executor refuses calls without a valid permission")
{
    executor_fixture fixture;
    const auto send = [&fixture](const worker_call_batch &batch, std::int64_t at) {
        fixture.answers.clear();
        handleCallBatch(fixture.executor, batch, readingAt(at));
    };
    send(makeBatch(5, std::nullopt), 1000);
    CHECK(fixture.polls == 0);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].refused == std::vector<call_number>{call_number(1)});
    const executor_permission permission = fixture.answers[0].permission;

    send(makeBatch(5, permission), 1900);
    CHECK(fixture.polls == 1);
    CHECK(fixture.answers.empty());

    // The executor was paused, or the batch was delayed, past the end of the permission.
    send(makeBatch(5, permission), 2100);
    CHECK(fixture.polls == 1);
    CHECK(fixture.answers.size() == 1);

    // A permission of an earlier process of the executor.
    send(makeBatch(5, executor_permission{incarnation_id(6), milliseconds(2100)}), 2100);
    CHECK(fixture.polls == 1);
}

TEST_CASE("an executor refuses calls of an earlier term and names the later one")
{
    executor_fixture fixture;
    handleCallBatch(fixture.executor, makeBatch(9, std::nullopt), readingAt(1000));
    const executor_permission permission = fixture.answers[0].permission;
    fixture.answers.clear();
    handleCallBatch(fixture.executor, makeBatch(8, permission), readingAt(1100));
    CHECK(fixture.polls == 0);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].highestFence == fencing_token(9));
    handleCallBatch(fixture.executor, makeBatch(9, permission), readingAt(1200));
    CHECK(fixture.polls == 1);
}

TEST_CASE("an executor that joins or leaves moves only its own share of the workers")
{
    constexpr std::size_t workers = 1000;
    constexpr std::size_t executors = 20;
    worker_dispatch dispatch;
    const auto add = [&dispatch](std::size_t number) {
        const daemon_id name("d" + std::to_string(number));
        call_executor &executor = dispatch.executors[name];
        executor.at.value = name.value;
        executor.hash = std::hash<std::string>()(name.value);
        executor.permission = executor_permission{};
    };
    const auto choices = [&dispatch] {
        std::vector<daemon_id> chosen;
        for (std::size_t worker = 0; worker < workers; ++worker) {
            chosen.push_back(chooseExecutor(dispatch, worker_id(std::to_string(worker)), {}, time_point())->first);
        }
        return chosen;
    };
    for (std::size_t number = 0; number < executors; ++number) {
        add(number);
    }
    const auto before = choices();
    std::map<daemon_id, std::size_t> shares;
    for (const daemon_id &name : before) {
        ++shares[name];
    }
    CHECK(shares.size() == executors);
    add(executors);
    const auto after = choices();
    std::size_t moved = 0;
    for (std::size_t worker = 0; worker < workers; ++worker) {
        if (before[worker] != after[worker]) {
            ++moved;
            CHECK(after[worker] == daemon_id("d" + std::to_string(executors)));
        }
    }
    CHECK(moved > 0);
    CHECK(moved < 3 * workers / executors);
}

TEST_CASE("payloads that are stored apart from their jobs reach the workers, whoever is lost")
{
    simulated_cell_settings settings;
    settings.daemons = daemonCount;
    settings.workers = 12;
    settings.directWorkers = 0;
    settings.inlinePayloadBytes = 0;
    simulated_cell cell(settings);
    runFor(cell, 3000);
    REQUIRE(leaderOf(cell));
    const std::size_t first = *leaderOf(cell);
    const std::size_t accepting = (first + 1) % daemonCount;
    const auto submitAll = [&cell](std::size_t daemon, std::uint64_t from, const std::string &payload) {
        for (std::uint64_t number = from; number < from + 10; ++number) {
            submitJob(cell, daemon, makeJobKey(number), makeOneStepJob(2, 1, payload));
        }
    };
    submitAll(accepting, 1, "400");
    CHECK(runUntil(cell, 3000, [&] { return areCompleted(cell, 1, 10); }));
    submitAll(accepting, 11, "600");
    runFor(cell, 10);
    SECTION("nobody")
    {
    }
    SECTION("the daemon that stored the jobs")
    {
        killDaemon(cell, accepting);
    }
    SECTION("the leader")
    {
        killDaemon(cell, first);
    }
    SECTION("all executors but one, so that the leader calls some workers itself")
    {
        for (std::size_t number = 0; number < daemonCount; ++number) {
            if (number != first && number != accepting) {
                killDaemon(cell, number);
            }
        }
    }
    CHECK(runUntil(cell, 20000, [&] { return areCompleted(cell, 11, 10); }));
    CHECK(cell.violations.empty());
    // Payloads are removed with their jobs.
    for (const auto &[key, item] : cell.items) {
        CHECK_FALSE(key.starts_with(cell_keys::payloadPrefix));
    }
}

TEST_CASE("an executor does not start a run whose permission expires while the payload is loaded")
{
    executor_fixture fixture;
    std::size_t starts = 0;
    fixture.context.workers.start = [&starts](const auto &, const auto &, auto, const auto &) {
        ++starts;
    };
    payload_callback loaded;
    fixture.context.loadPayload = [&loaded](const auto &, const auto &, payload_callback done, const auto &) {
        loaded = std::move(done);
    };
    handleCallBatch(fixture.executor, makeBatch(5, std::nullopt), readingAt(1000));
    worker_call_batch batch = makeBatch(5, fixture.answers[0].permission);
    start_order order;
    order.fence = batch.fence;
    order.payloadSource = address("holder");
    batch.calls[0].order = order;
    handleCallBatch(fixture.executor, batch, readingAt(1100));
    REQUIRE(loaded);
    loaded(std::string("payload"), readingAt(4500));
    CHECK(starts == 0);
    handleCallBatch(fixture.executor, batch, readingAt(1200));
    loaded(std::string("payload"), readingAt(1300));
    CHECK(starts == 1);
}

TEST_CASE("the payload of a job that has become final is not taken for an empty one")
{
    // A start that was delayed until its job was final read no payload from the store and was sent with an empty one
    // (seed 1058 of fuzz/cell_model).
    executor_fixture fixture;
    fixture.context.store.read = [](const std::string &, milliseconds, const store_callback<store_item> &done) {
        done(store_item{});
    };
    const auto cache = std::make_shared<payload_cache>(fixture.context);
    std::optional<bool> found;
    loadPayload(
        cache,
        makeJobKey(1),
        {},
        [&found](const result<std::string> &payload, const clock_reading &) { found = payload.has_value(); },
        readingAt(0));
    for (control_task &task : std::exchange(fixture.context.box.tasks, {})) {
        task(readingAt(1));
    }
    CHECK(found == false);
}

TEST_CASE("a leader that learns of a later term from one of several outcomes ends its term")
{
    // The outcomes after the one that ended the term were handled without a leader (seed 1152 of fuzz/cell_model).
    call_counts calls;
    const auto cell = makeDelegatingCell(calls);
    const std::size_t leader = *leaderOf(*cell);
    const cell_leader &term = *cell->daemons[leader]->daemon->leader;
    worker_outcome_batch batch;
    batch.term = term.fence;
    for (const auto &[number, call] : term.dispatch.open) {
        worker_report report;
        report.refusal = order_refusal::Fenced;
        batch.outcomes.emplace_back();
        batch.outcomes.back().number = number;
        batch.outcomes.back().result = report;
    }
    REQUIRE(batch.outcomes.size() > 1);
    post(cell->daemons[leader]->context->box, [&cell, leader, batch](const clock_reading &now) {
        handleDaemonMessage(*cell->daemons[leader]->daemon, batch, now);
    });
    runFor(*cell, 3000);
    submitJobs(*cell, 1, 4, "200");
    CHECK(runUntil(*cell, 5000, [&] { return areCompleted(*cell, 1, 4); }));
    CHECK(cell->violations.empty());
}
