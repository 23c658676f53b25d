// Order and places of waiting work. Each case replays a load pattern that once cost the callers of a cell.
#include "connection/cell_codec.h"
#include "term/cell_admission.h"
#include "term/job_placement.h"
#include "term/run_lifecycle.h"
#include "term/worker_reports.h"
#include "term/worker_speed.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

constexpr std::int64_t utcNow = 1700000000000;

clock_reading at(std::int64_t ms)
{
    const time_point point(milliseconds(1000000 + ms));
    return {point, utc_time(utcNow + ms), point};
}

void addWorker(cell_state &state, const std::string &name, std::int64_t cores)
{
    auto worker = std::make_unique<cell_worker>();
    worker->id = worker_id(name);
    worker->service = service_id("s");
    worker->capacity = {millicores(cores * 1000), mebibytes(32768), accelerators(0)};
    worker->listed = true;
    worker->seen = true;
    worker->birth = worker_birth(1);
    state.workers[worker->id] = std::move(worker);
}

struct job_shape {
    std::string key;
    int priority = 1;
    std::uint32_t count = 1;
    std::int64_t cores = 1;
    std::int64_t estimateMs = 1000;
    bool gang = false;
    std::int64_t ageMs = 0; ///< Time since it was accepted.
    double stretch = 2;
    std::optional<advice_timing> advice;
};

cell_job &addShape(cell_state &state, const job_shape &shape)
{
    accepted_job accepted;
    accepted.key = job_key(shape.key);
    accepted.policy.queue = queue_id("q" + std::to_string(shape.priority));
    accepted.policy.service = service_id("s");
    accepted.policy.priority = shape.priority;
    accepted.policy.maxAttempts = 3;
    accepted.policy.stretch = shape.stretch;
    accepted.policy.advice = shape.advice;
    accepted.acceptedAt = utc_time(utcNow - shape.ageMs);
    job_step step;
    step.count = shape.count;
    step.need = {millicores(shape.cores * 1000), mebibytes(16), accelerators(0)};
    step.estimate = milliseconds(shape.estimateMs);
    step.gang = shape.gang;
    accepted.job.steps.push_back(step);
    return *addJob(state, std::move(accepted), {});
}

constexpr advice_capacity noAdvice{0, 0};

advice_timing termsOf(double decideMs)
{
    advice_timing terms;
    terms.decide = std::chrono::duration<double, std::milli>(decideMs);
    terms.valid = milliseconds(1500);
    return terms;
}

} // namespace

TEST_CASE("late urgent jobs go before jobs of other queues that can still be in time")
{
    // A burst of small urgent jobs missed its objective, went behind all others, and failed.
    cell_state state;
    addWorker(state, "w", 4);
    const cell_job &late = addShape(state, {"late", 0, 1, 4, 1000, false, 3000});
    const cell_job &other = addShape(state, {"other", 1, 1, 4, 5000, false, 0});
    placeWaiting(state, noAdvice, at(0));
    CHECK(late.steps[0].placed == 1);
    CHECK(other.steps[0].placed == 0);
}

TEST_CASE("late jobs of other queues go behind those that can be in time, and overdue ones last")
{
    cell_state state;
    addWorker(state, "w", 4);
    const cell_job &overdue = addShape(state, {"overdue", 0, 1, 4, 1000, false, 60000});
    const cell_job &late = addShape(state, {"late", 1, 1, 4, 1000, false, 3000});
    const cell_job &inTime = addShape(state, {"inTime", 2, 1, 4, 1000, false, 0});
    placeWaiting(state, noAdvice, at(0));
    CHECK(inTime.steps[0].placed == 1);
    CHECK(late.steps[0].placed == 0);
    CHECK(overdue.steps[0].placed == 0);
}

TEST_CASE("no worker gets more than it holds")
{
    cell_state state;
    addWorker(state, "a", 4);
    addWorker(state, "b", 3);
    addShape(state, {"wide", 1, 20, 2, 1000});
    CHECK(placeWaiting(state, noAdvice, at(0)).placed.size() == 3);
    for (const auto &[id, worker] : state.workers) {
        CHECK(fits(worker->reserved, worker->capacity));
    }
}

TEST_CASE("a gang is placed whole or not at all, and room is gathered for it")
{
    cell_state state;
    addWorker(state, "a", 4);
    addWorker(state, "b", 4);
    addShape(state, {"first", 0, 1, 4, 1000});
    placeWaiting(state, noAdvice, at(0));
    const cell_job &gang = addShape(state, {"gang", 1, 2, 4, 1000, true});
    const cell_job &small = addShape(state, {"small", 2, 4, 1, 1000});
    placeWaiting(state, noAdvice, at(0));
    CHECK(gang.steps[0].placed == 0);
    CHECK(small.steps[0].placed == 0);
    endRun(state, *state.jobs.at(job_key("first"))->runs[0], run_end::Done, {}, at(10));
    placeWaiting(state, noAdvice, at(10));
    CHECK(gang.steps[0].placed == 2);
    CHECK(gang.progress.tasks[0].run == gang.progress.tasks[1].run);
}

TEST_CASE("a gang that can never fit keeps no room from others")
{
    cell_state state;
    addWorker(state, "a", 4);
    addShape(state, {"gang", 1, 2, 4, 1000, true});
    const cell_job &small = addShape(state, {"small", 2, 4, 1, 1000});
    placeWaiting(state, noAdvice, at(0));
    CHECK(small.steps[0].placed == 4);
}

TEST_CASE("urgent steps ask the advisor first, and long questions leave machines free for short ones")
{
    // Questions of wide gangs once filled all of the advisor's queues, and quick jobs waited 2.5 s behind them.
    cell_state state;
    addWorker(state, "a", 16);
    for (int number = 0; number < 6; ++number) {
        addShape(state, {"gang" + std::to_string(number), 1, 2, 4, 5000, true, 0, 2, termsOf(550)});
    }
    addShape(state, {"quick", 0, 1, 1, 1000, false, 0, 2, termsOf(10)});
    const placement_outcome outcome = placeWaiting(state, {4, 2}, at(0));
    REQUIRE(outcome.questions.size() == 3);
    CHECK(outcome.questions.front().step.job == job_key("quick"));
    CHECK(placeWaiting(state, {0, 0}, at(0)).questions.empty());
}

TEST_CASE("a ticket is asked for again when it is too old, for the workers with room")
{
    cell_state state;
    addWorker(state, "a", 4);
    addWorker(state, "b", 4);
    cell_job &job = addShape(state, {"job", 0, 1, 2, 1000, false, 0, 2, termsOf(10)});
    const placement_outcome first = placeWaiting(state, {1, 1}, at(0));
    REQUIRE(first.questions.size() == 1);
    CHECK(first.questions.front().workers.size() == 2);
    takeAdvice(state, first.questions.front(), {{{worker_id("b"), advice_ticket("t")}}}, at(0).uptime);
    const placement_outcome old = placeWaiting(state, {1, 1}, at(1400));
    CHECK(old.placed.empty());
    REQUIRE(old.questions.size() == 1);
    CHECK(old.questions.front().workers == std::vector<worker_id>{worker_id("b")});
    takeAdvice(state, old.questions.front(), {{{worker_id("b"), advice_ticket("u")}}}, at(1400).uptime);
    CHECK(placeWaiting(state, {1, 1}, at(1420)).placed.size() == 1);
    CHECK(job.progress.tasks[0].worker == worker_id("b"));
}

TEST_CASE("a worker that fails the jobs of several callers gets one run at a time")
{
    cell_state state;
    addWorker(state, "bad", 16);
    for (int number = 0; number < 4; ++number) {
        cell_job &job = addShape(state, {"job" + std::to_string(number), 0, 1, 1, 1000});
        placeWaiting(state, noAdvice, at(number));
        REQUIRE(job.runs[0] != nullptr);
        endRun(state, *job.runs[0], run_end::Failed, {}, at(number));
        cancelJob(state, job, at(number));
    }
    addShape(state, {"next", 0, 3, 1, 1000});
    CHECK(takesRuns(*state.workers.at(worker_id("bad")), at(10).uptime));
    state.workers.at(worker_id("bad"))->record.failuresInRow = 4;
    placeWaiting(state, noAdvice, at(10));
    CHECK_FALSE(takesRuns(*state.workers.at(worker_id("bad")), at(20).uptime));
}

TEST_CASE("a failed gang counts once however many members report it")
{
    cell_state state;
    addWorker(state, "a", 16);
    cell_job &gang = addShape(state, {"gang", 1, 3, 1, 1000, true});
    for (int run = 1; run <= 3; ++run) {
        placeWaiting(state, noAdvice, at(run));
        REQUIRE(gang.steps[0].placed == 3);
        CHECK(gang.progress.phase == job_phase::Running);
        endRun(state, *gang.runs[0], run_end::Failed, {}, at(run));
        if (run < 3) {
            endRun(state, *gang.runs[1], run_end::Failed, {}, at(run));
            endRun(state, *gang.runs[2], run_end::Broken, {}, at(run));
        }
    }
    CHECK(gang.progress.phase == job_phase::Failed);
}

TEST_CASE("the members of a gang resume from the same checkpoint")
{
    cell_state state;
    addWorker(state, "a", 16);
    cell_job &gang = addShape(state, {"gang", 1, 2, 1, 1000, true});
    placeWaiting(state, noAdvice, at(0));
    endRun(state, *gang.runs[0], run_end::Stopped, "c1", at(10));
    endRun(state, *gang.runs[1], run_end::Broken, "", at(10));
    CHECK(gang.progress.tasks[0].checkpoint == "c1");
    CHECK(gang.progress.tasks[1].checkpoint == "c1");
}

TEST_CASE("what the store keeps of a job reads back")
{
    cell_state state;
    addWorker(state, "a", 16);
    cell_job &job = addShape(state, {"0123456789abcdef", 1, 3, 1, 1000, true, 0, 2.5, termsOf(550)});
    placeWaiting(state, noAdvice, at(0));
    const auto accepted = decodeAcceptedJob(job.accepted.key, encodeAcceptedJob(job.accepted));
    REQUIRE(accepted);
    CHECK(accepted.value().policy.stretch == Approx(2.5));
    CHECK(accepted.value().policy.advice->decide.count() == Approx(550));
    CHECK(accepted.value().job.steps[0].gang);
    job.progress.phase = job_phase::Running;
    job.progress.tasks[1] = {task_phase::Placed, run_number(4), worker_id("a"), worker_birth(9), 2, "cp"};
    const auto progress = decodeProgress(encodeProgress(job.progress));
    REQUIRE(progress);
    REQUIRE(progress.value().tasks.size() == 2);
    CHECK(progress.value().tasks[1].run == run_number(4));
    CHECK(progress.value().tasks[1].failures == 2);
    CHECK(progress.value().tasks[1].checkpoint == "cp");
    CHECK_FALSE(decodeProgress("{}"));
    CHECK_FALSE(decodeProgress(R"({"state":"running","tasks":[[1,9,1,"w",1,0,""]]})"));
    CHECK_FALSE(decodeAcceptedJob(job.accepted.key, R"({"steps":[]})"));
}

TEST_CASE("a task that failed on a worker is placed on another one")
{
    // A worker that failed all that it started once used up all attempts of a job, since it had the best place.
    cell_state state;
    addWorker(state, "a", 2);
    addWorker(state, "b", 16);
    cell_job &job = addShape(state, {"job", 0, 1, 1, 1000});
    placeWaiting(state, noAdvice, at(0));
    REQUIRE(job.progress.tasks[0].worker == worker_id("a"));
    endRun(state, *job.runs[0], run_end::Failed, {}, at(10));
    placeWaiting(state, noAdvice, at(10));
    CHECK(job.progress.tasks[0].worker == worker_id("b"));
}

TEST_CASE("a run on a worker that stands still is moved, one on a worker like all others is not")
{
    // Tasks on hung workers once waited until the worker went on, far beyond the objective of quick jobs.
    cell_state state;
    addWorker(state, "a", 1);
    addWorker(state, "b", 1);
    cell_job &first = addShape(state, {"first", 0, 1, 1, 2000});
    cell_job &second = addShape(state, {"second", 0, 1, 1, 2000});
    placeWaiting(state, noAdvice, at(0));
    REQUIRE(first.runs[0] != nullptr);
    REQUIRE(second.runs[0] != nullptr);
    first.runs[0]->state = run_state::Running;
    second.runs[0]->state = run_state::Running;
    for (int report = 0; report <= 3; ++report) {
        judgeSpeed(state, *first.runs[0]->worker, {{first.runs[0], 10}}, at(std::int64_t{500} * report));
        judgeSpeed(
            state, *second.runs[0]->worker, {{second.runs[0], 10 + report * 20}}, at(std::int64_t{500} * report));
    }
    CHECK(first.runs[0]->state == run_state::Stopping);
    CHECK(second.runs[0]->state == run_state::Running);
}

TEST_CASE("estimates that are too short by the same factor everywhere move nothing")
{
    cell_state state;
    std::vector<cell_job *> jobs;
    for (int number = 0; number < 8; ++number) {
        addWorker(state, "w" + std::to_string(number), 1);
        jobs.push_back(&addShape(state, {"job" + std::to_string(number), 0, 1, 1, 1000}));
    }
    placeWaiting(state, noAdvice, at(0));
    state.meanSpeed = 0.4;
    for (int report = 0; report <= 6; ++report) {
        for (cell_job *job : jobs) {
            job->runs[0]->state = run_state::Running;
            judgeSpeed(state, *job->runs[0]->worker, {{job->runs[0], report * 13}}, at(std::int64_t{400} * report));
        }
    }
    for (const cell_job *job : jobs) {
        CHECK(job->runs[0]->state == run_state::Running);
    }
}
