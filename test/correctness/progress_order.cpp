// The order in which changes of jobs are recorded in the store.
#include "connection/cell_keys.h"
#include "term/progress_writer.h"
#include "term/run_lifecycle.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

constexpr std::int64_t utcNow = 1700000000000;

clock_reading at(std::int64_t ms)
{
    const time_point point(milliseconds(1000000 + ms));
    return {point, utc_time(utcNow + ms), point};
}

/// A leader whose transactions are recorded and not answered.
struct recording_leader {
    cell_context context;
    std::shared_ptr<cell_leader> leader;
    std::vector<store_transaction> transactions;

    recording_leader()
    {
        context.store.commit = [this](const store_transaction &transaction, auto, auto) {
            transactions.push_back(transaction);
        };
        leader = std::make_shared<cell_leader>(context);
        cell_worker &worker = addWorker(leader->state, worker_id("w"));
        worker.capacity = {millicores(1000000), mebibytes(1000000), accelerators(0)};
    }
};

/// Places the only task of a new job that the store has.
placed_run &placeJob(recording_leader &fixture, const std::string &key)
{
    accepted_job accepted;
    accepted.key = job_key(key);
    accepted.job.steps.emplace_back().count = 1;
    cell_state &state = fixture.leader->state;
    cell_job &job = *addJob(state, std::move(accepted), {});
    job.jobRevision = store_revision(1);
    return placeRun(state, job, task_position(0), run_number(1), *state.workers.at(worker_id("w")), at(0));
}

void placeJobs(recording_leader &fixture, int count)
{
    for (int number = 0; number < count; ++number) {
        placeJob(fixture, "placed" + std::to_string(number));
    }
}

void endJobs(recording_leader &fixture, int count)
{
    for (int number = 0; number < count; ++number) {
        placed_run &run = placeJob(fixture, "ended" + std::to_string(number));
        run.state = run_state::Running;
        run.job->awaitsRecord = false;
        endRun(fixture.leader->state, run, run_end::Done, {}, at(0));
    }
}

/// Number of jobs in the first transaction whose key begins with the text.
std::ptrdiff_t countInFirst(recording_leader &fixture, const std::string &text)
{
    writeChanges(fixture.leader, at(0));
    fireDue(fixture.context.timers, at(100));
    REQUIRE(!fixture.transactions.empty());
    const auto &writes = fixture.transactions.front().writes;
    return std::count_if(writes.begin(), writes.end(), [&text](const auto &write) {
        return write.key.starts_with(cell_keys::progressPrefix + text);
    });
}

} // namespace

TEST_CASE("placements are recorded before hundreds of ends")
{
    // Regression: starts waited seconds for their record behind the ends of other jobs, and their tickets expired.
    recording_leader fixture;
    endJobs(fixture, 300);
    placeJobs(fixture, 20);
    CHECK(countInFirst(fixture, "placed") >= 10);
}

TEST_CASE("placements leave room for ends in each transaction")
{
    // Guards against jobs that callers never see as completed while placements fill all transactions.
    recording_leader fixture;
    placeJobs(fixture, 300);
    endJobs(fixture, 20);
    CHECK(countInFirst(fixture, "ended") >= 1);
}
