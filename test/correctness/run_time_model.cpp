// What the leader learns from finished runs about the durations of tasks. Each case guards against a kind of run or of
// work that would make the expected durations wrong.
#include "term/objective.h"
#include "term/run_lifecycle.h"
#include "term/worker_reports.h"

#include <catch2/catch.hpp>
#include <random>

using namespace sesamespar;

namespace {

clock_reading at(std::int64_t ms)
{
    const time_point point(milliseconds(1000000 + ms));
    return {point, utc_time(1700000000000 + ms), point};
}

/// A cell with one worker, whose jobs run one after the other.
struct learning_cell {
    cell_state state;
    std::int64_t nowMs = 0;
    std::uint64_t jobs = 0;

    learning_cell()
    {
        state.policy.durations = duration_source::Learned;
        sesamespar::addWorker(state, worker_id("w")).current = worker_incarnation(1);
    }

    cell_worker &worker()
    {
        return *state.workers.at(worker_id("w"));
    }

    cell_job_ptr add(std::uint32_t count, std::int64_t estimateMs, bool gang = false)
    {
        accepted_job accepted;
        accepted.key = job_key(std::to_string(++jobs));
        accepted.policy.queue = queue_id("q");
        accepted.policy.maxAttempts = 100;
        job_step step;
        step.count = count;
        step.estimate = milliseconds(estimateMs);
        step.gang = gang;
        accepted.job.steps.push_back(step);
        return addJob(state, std::move(accepted), {});
    }

    placed_run &place(cell_job &job, std::uint32_t position)
    {
        const run_number run = nextRun(job, position, 1);
        return placeRun(state, job, task_position(position), run, worker(), at(nowMs));
    }

    /// Runs one task from its begin to its end. It waits for its start for as long as it runs.
    void run(cell_job &job, std::uint32_t position, std::int64_t tookMs, run_end how = run_end::Done)
    {
        placed_run &placed = place(job, position);
        nowMs += tookMs;
        markBegun(state, placed, at(nowMs));
        nowMs += tookMs;
        endRun(state, placed, how, how == run_end::Stopped ? "c" : "", at(nowMs));
    }

    void runJob(std::uint32_t count, std::int64_t estimateMs, std::int64_t tookMs)
    {
        const cell_job_ptr job = add(count, estimateMs);
        for (std::uint32_t position = 0; position < count; ++position) {
            run(*job, position, tookMs);
        }
    }

    /// Expected duration of a task of the next job.
    double expectedMs(std::int64_t estimateMs)
    {
        const cell_job_ptr job = add(1, estimateMs);
        return static_cast<double>(expectedDuration(state, *job, 0).count());
    }
};

} // namespace

TEST_CASE("expected durations follow the work and are robust to tails")
{
    struct row {
        const char *name;
        std::int64_t estimateMs; ///< Of all jobs.
        int jobs;
        std::int64_t (*took)(int job); ///< Duration of each task of a job.
        double from; ///< Bounds of the expected duration afterwards.
        double to;
    };
    const auto rows = {
        row{"no run yet: the estimate", 700, 0, nullptr, 700, 700},
        row{"estimates that are too short by 1.9", 1000, 40, [](int) -> std::int64_t { return 1900; }, 1850, 1950},
        row{"three of 100 durations are 7 times as long",
            1000,
            400,
            [](int job) -> std::int64_t { return job % 33 == 32 ? 7000 : 1000; },
            900,
            1150},
        row{"the first of few samples is in the tail",
            1000,
            4,
            [](int job) -> std::int64_t { return job == 0 ? 7000 : 1000; },
            900,
            2000},
        row{"the work becomes three times as long",
            1000,
            260,
            [](int job) -> std::int64_t { return job < 200 ? 1000 : 3000; },
            2400,
            3100},
    };
    for (const row &entry : rows) {
        learning_cell cell;
        for (int job = 0; job < entry.jobs; ++job) {
            cell.runJob(1, entry.estimateMs, entry.took(job));
        }
        INFO(entry.name);
        const double expected = cell.expectedMs(entry.estimateMs);
        CHECK(expected >= entry.from);
        CHECK(expected <= entry.to);
    }
}

TEST_CASE("runs that did not do a whole task in this term are not learned from")
{
    struct row {
        const char *name;
        void (*run)(learning_cell &cell, cell_job &job);
    };
    const auto rows = {
        row{"failed",
            [](learning_cell &cell, cell_job &job) {
                cell.run(job, 0, 9000, run_end::Failed);
            }},
        row{"lapsed",
            [](learning_cell &cell, cell_job &job) {
                cell.run(job, 0, 9000, run_end::LeaseExpired);
            }},
        row{"stopped, then resumed from its checkpoint",
            [](learning_cell &cell, cell_job &job) {
                cell.run(job, 0, 9000, run_end::Stopped);
                cell.run(job, 0, 100);
            }},
        row{"begun in an earlier term",
            [](learning_cell &cell, cell_job &job) {
                placed_run &run = reserveRun(job, task_position(0), run_number(1), cell.worker(), at(cell.nowMs));
                markBegun(cell.state, run, at(cell.nowMs));
                endRun(cell.state, run, run_end::Done, {}, at(cell.nowMs + 10));
            }},
        row{"reported as running after the reply to its start was lost",
            [](learning_cell &cell, cell_job &job) {
                placed_run &run = cell.place(job, 0);
                run.startUnknown = true;
                worker_report report;
                report.incarnation = worker_incarnation(1);
                report.running.push_back({taskName(job, task_position(0)), run.run, {}, {}});
                applyReport(cell.state, cell.worker(), report, at(cell.nowMs).uptime, at(cell.nowMs));
                endRun(cell.state, run, run_end::Done, {}, at(cell.nowMs + 10));
            }},
    };
    for (const row &entry : rows) {
        learning_cell cell;
        INFO(entry.name);
        entry.run(cell, *cell.add(2, 1000));
        CHECK(cell.expectedMs(1000) == 1000);
    }
}

TEST_CASE("a gang is one sample, of the time until its first end")
{
    learning_cell cell;
    const cell_job_ptr job = cell.add(3, 1000, true);
    for (std::uint32_t position = 0; position < 3; ++position) {
        markBegun(cell.state, cell.place(*job, position), at(0));
    }
    for (std::uint32_t position = 0; position < 3; ++position) {
        endRun(cell.state, *job->runs[position], run_end::Done, {}, at(2000 + 500 * position));
    }
    CHECK(job->steps[0].durations.count == 1);
    CHECK(job->history->runTimes.durations.samples == 1);
    CHECK(cell.expectedMs(1000) == 2000);
}

TEST_CASE("one wide job does not replace what was learned from many")
{
    // Its tasks agree with each other, so they say as much about the queue as one task.
    learning_cell cell;
    for (int job = 0; job < 60; ++job) {
        cell.runJob(1, 1000, job % 2 == 0 ? 900 : 1100);
    }
    cell.runJob(100, 1000, 4000);
    CHECK(cell.expectedMs(1000) < 1200);
}

TEST_CASE("finished tasks of a step tell the duration of the others, also if one is in the tail")
{
    learning_cell cell;
    std::mt19937 random(1);
    for (int job = 0; job < 30; ++job) {
        cell.runJob(4, 1000, 500 + static_cast<std::int64_t>(random() % 2000));
    }
    const cell_job_ptr job = cell.add(10, 1000);
    cell.run(*job, 0, std::int64_t{7} * 3000);
    for (std::uint32_t position = 1; position < 4; ++position) {
        cell.run(*job, position, 3000);
    }
    const auto expected = static_cast<double>(expectedDuration(cell.state, *job, 0).count());
    CHECK(expected > 2500);
    CHECK(expected < 3800);
}

TEST_CASE("quantiles of a duration hold for the share of the tasks that they name")
{
    learning_cell cell;
    for (int job = 0; job < 300; ++job) {
        cell.runJob(1, 1000, job % 20 == 19 ? 7000 : 1000);
    }
    const run_time_model &model = cell.state.history.at(queue_id("q")).runTimes;
    CHECK(durationQuantile(model, milliseconds(1000), 0.5) < milliseconds(1300));
    CHECK(durationQuantile(model, milliseconds(1000), 0.99) > milliseconds(5000));
    CHECK(durationQuantile({}, milliseconds(1000), 0.99) == milliseconds(1000));
}
