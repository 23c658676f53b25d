// Sustained speeds of workers and the preference of steps for them. Each case guards against a load or a fault that
// would make equal workers look uneven, or that would place a job on workers on which it is late.
#include "term/sustained_speed.h"

#include "term/job_placement.h"
#include "term/policy_selection.h"
#include "term/run_lifecycle.h"
#include "term/worker_reports.h"
#include "term/worker_speed.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

clock_reading at(std::int64_t ms)
{
    const time_point point(milliseconds(1000000 + ms));
    return {point, utc_time(1700000000000 + ms), point};
}

struct job_shape {
    std::string queue = "q";
    std::uint32_t count = 1;
    std::int64_t estimateMs = 1000;
    double stretch = 2;
    bool gang = false;
};

/// A cell whose workers have one core each.
struct uneven_cell {
    cell_state state;
    std::uint64_t jobs = 0;
    std::int64_t nowMs = 0;

    explicit uneven_cell(std::size_t workers)
    {
        for (std::size_t number = 0; number < workers; ++number) {
            cell_worker &worker = addWorker(state, worker_id("w" + std::to_string(10 + number)));
            worker.service = service_id("s");
            worker.capacity = {millicores(1000), mebibytes(64), accelerators(0)};
            worker.listed = true;
            worker.seen = true;
            worker.incarnation = worker_incarnation(1);
            worker.current = worker.incarnation;
        }
    }

    cell_job &add(const job_shape &shape)
    {
        accepted_job accepted;
        accepted.key = job_key(std::to_string(++jobs));
        accepted.policy.queue = queue_id(shape.queue);
        accepted.policy.service = service_id("s");
        accepted.policy.maxAttempts = 3;
        accepted.policy.stretch = shape.stretch;
        accepted.acceptedAt = at(0).utc;
        job_step step;
        step.count = shape.count;
        step.need = {millicores(1000), mebibytes(1), accelerators(0)};
        step.estimate = milliseconds(shape.estimateMs);
        step.gang = shape.gang;
        accepted.job.steps.push_back(step);
        return *addJob(state, std::move(accepted), {});
    }

    /// Runs a job with one task, of which half is reported as done on the way, on a worker.
    void run(std::size_t worker, const job_shape &shape, std::int64_t tookMs)
    {
        cell_job &job = add(shape);
        placed_run &placed = placeRun(state, job, task_position(0), run_number(1), *state.slots[worker], at(nowMs));
        markBegun(state, placed, at(nowMs));
        placed.state = run_state::Running;
        for (const int percent : {0, 50}) {
            worker_report report;
            report.incarnation = worker_incarnation(1);
            report.running.push_back({taskName(job, task_position(0)), placed.run, {}, percent});
            const clock_reading now = at(nowMs + tookMs * percent / 100);
            report.workerClock = milliseconds(now.utc.value);
            applyReport(state, *state.slots[worker], report, now.uptime, now);
        }
        nowMs += tookMs;
        endRun(state, placed, run_end::Done, {}, at(nowMs));
        assessUnevenness(state);
    }

    /// Sets speeds as if they had been measured.
    void setSpeeds(const std::vector<double> &speeds)
    {
        for (std::size_t number = 0; number < speeds.size(); ++number) {
            state.slots[number]->logSpeed = std::log(speeds[number]);
            state.slots[number]->speedSamples = 100;
        }
    }
};

} // namespace

TEST_CASE("only permanent differences of a factor of two make a cell uneven")
{
    struct row {
        const char *name;
        /// Duration of a task of 1 s on a worker in a round, and the estimate of the caller.
        std::int64_t (*took)(std::size_t worker, int round);
        std::int64_t (*estimate)(std::size_t worker, int round);
        const char *(*queue)(std::size_t worker);
        bool uneven;
    };
    const auto sameQueue = [](std::size_t) {
        return "q";
    };
    const auto exact = [](std::size_t, int) -> std::int64_t {
        return 1000;
    };
    const auto equal = [](std::size_t, int) -> std::int64_t {
        return 1000;
    };
    const auto rows = {
        row{"equal workers", equal, exact, sameQueue, false},
        row{"speeds of 0.6, 1 and 1.6",
            [](std::size_t worker, int) -> std::int64_t {
                return std::vector{1667, 1000, 625}[worker % 3];
            },
            exact,
            sameQueue,
            true},
        row{"speeds of 0.8, 1 and 1.25",
            [](std::size_t worker, int) -> std::int64_t {
                return std::vector{1250, 1000, 800}[worker % 3];
            },
            exact,
            sameQueue,
            false},
        row{"estimates off by up to 1.9",
            equal,
            [](std::size_t worker, int round) -> std::int64_t {
                return (static_cast<int>(worker) + round) % 2 == 0 ? 1900 : 526;
            },
            sameQueue,
            false},
        row{"two queues on separate workers, whose estimates are off by 1.9 in opposite directions",
            equal,
            [](std::size_t worker, int) -> std::int64_t { return worker % 2 == 0 ? 1900 : 526; },
            [](std::size_t worker) { return worker % 2 == 0 ? "a" : "b"; },
            false},
        row{"every 33rd task takes 7 times as long",
            [](std::size_t worker, int round) -> std::int64_t {
                return (static_cast<int>(worker) + 7 * round) % 33 == 0 ? 7000 : 1000;
            },
            exact,
            sameQueue,
            false},
        row{"a quarter of the workers is 6.5 times slower for some rounds",
            [](std::size_t worker, int round) -> std::int64_t {
                return worker % 4 == 0 && round >= 8 && round < 16 ? 6500 : 1000;
            },
            exact,
            sameQueue,
            false},
    };
    for (const row &entry : rows) {
        uneven_cell cell(24);
        bool wasUneven = false;
        for (int round = 0; round < 30; ++round) {
            for (std::size_t worker = 0; worker < 24; ++worker) {
                const job_shape shape{entry.queue(worker), 1, entry.estimate(worker, round)};
                cell.run(worker, shape, entry.took(worker, round));
                wasUneven = wasUneven || cell.state.unevenWorkers;
            }
        }
        INFO(entry.name);
        CHECK(wasUneven == entry.uneven);
    }
}

TEST_CASE("a cell is uneven from a ratio of 2 on until it falls below 1.7, and only if enough workers are measured")
{
    struct row {
        double ratio;
        bool uneven;
    };
    uneven_cell cell(10);
    for (const row &entry : {row{1.9, false}, row{2.1, true}, row{1.8, true}, row{1.6, false}, row{1.9, false}}) {
        cell.setSpeeds({1, 1, 1, 1, 1, entry.ratio, entry.ratio, entry.ratio, entry.ratio, entry.ratio});
        assessUnevenness(cell.state);
        INFO(entry.ratio);
        CHECK(cell.state.unevenWorkers == entry.uneven);
    }
    uneven_cell small(4);
    small.setSpeeds({0.2, 1, 1, 1});
    assessUnevenness(small.state);
    CHECK_FALSE(small.state.unevenWorkers);
}

TEST_CASE("a restart of a worker discards its speed")
{
    uneven_cell cell(1);
    cell.setSpeeds({1.6});
    beginWorkerIncarnation(cell.state, *cell.state.slots[0], worker_incarnation(2), at(0));
    CHECK(sustainedSpeed(*cell.state.slots[0]) == 1);
    CHECK(cell.state.slots[0]->speedSamples == 0);
}

TEST_CASE("jobs with little slack get fast workers, others the slowest that are fast enough")
{
    struct row {
        job_shape shape;
        std::vector<const char *> workers; ///< In any order.
    };
    const std::vector<double> speeds{1.6, 0.6, 1, 0.6, 1.6, 1};
    const auto rows = {
        row{{"q", 2, 1000, 1.5}, {"w10", "w14"}},
        row{{"q", 2, 1000, 2.5}, {"w12", "w15"}},
        row{{"q", 2, 1000, 8}, {"w11", "w13"}},
        row{{"q", 2, 1000, 1.5, true}, {"w10", "w14"}},
        row{{"q", 2, 1000, 2.5, true}, {"w12", "w15"}},
    };
    for (const row &entry : rows) {
        uneven_cell cell(speeds.size());
        cell.setSpeeds(speeds);
        cell.state.policy.matchesSpeeds = true;
        cell_job &job = cell.add(entry.shape);
        placeWaiting(cell.state, {0, 0}, at(0));
        INFO(entry.shape.stretch);
        for (const char *worker : entry.workers) {
            CHECK(std::any_of(job.progress.tasks.begin(), job.progress.tasks.end(), [worker](const auto &task) {
                return task.worker == worker_id(worker);
            }));
        }
    }
}

TEST_CASE("a cell with uneven workers moves only runs without progress")
{
    // Guards against moves of tasks that take 7 times as long, which look like runs on a slow worker.
    for (const bool uneven : {false, true}) {
        for (const int percents : {0, 3}) {
            uneven_cell cell(2);
            cell.state.policy = selectPolicy({false, uneven});
            cell_job &job = cell.add({});
            placed_run &run = placeRun(cell.state, job, task_position(0), run_number(1), *cell.state.slots[0], at(0));
            run.state = run_state::Running;
            for (int report = 0; report <= 6; ++report) {
                assessSpeed(cell.state, *run.worker, {{&run, report * percents}}, at(std::int64_t{400} * report));
            }
            INFO(uneven << ' ' << percents);
            CHECK((run.state == run_state::Stopping) == (!uneven || percents == 0));
        }
    }
}
