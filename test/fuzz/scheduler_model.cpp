// Runs random sequences of all scheduler operations against an oracle that only sums up the placed tasks. Guards
// against overcommitted VMs, tasks that are placed twice, split gangs, exceeded quotas and caps, and work that never
// runs although it fits on an empty fleet.
#include "../fixtures/scheduler_fixture.h"

#include <rapidcheck/catch.h>
#include <rapidcheck/state.h>

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

constexpr int maxWorkers = 6;
constexpr int maxJobs = 24;
const std::array<std::string, 3> teamNames{"a", "b", "c"};

// Expected state of the scheduler. RapidCheck copies it, so it contains plain values.
struct oracle {
    configuration_ptr settings;
    std::map<worker_id, worker_offer> workers;
    std::map<job_id, job_offer> jobs;
    std::map<job_id, std::set<task_index>> waiting;
    std::map<task_key, worker_id> placed;
    std::int64_t now = 0;
};

// Model state of RapidCheck. The commands check their results themselves, so it contains no scheduler state.
struct command_count {
    int steps = 0;
};

struct system_under_test {
    scheduler_ptr state;
    oracle expected;
};

resources usableCapacity(const oracle &expected, const worker_offer &worker)
{
    return {millicores(worker.capacity.processors.value * expected.settings->limits.processorPercent / 100),
            mebibytes(worker.capacity.memory.value * expected.settings->limits.memoryPercent / 100),
            worker.capacity.accelerator};
}

resources reservedOn(const oracle &expected, const worker_id &worker)
{
    resources sum;
    for (const auto &[task, name] : expected.placed) {
        if (name == worker) {
            sum = sum + expected.jobs.at(task.job).need;
        }
    }
    return sum;
}

std::size_t tasksOn(const oracle &expected, const worker_id &worker)
{
    return static_cast<std::size_t>(std::count_if(
        expected.placed.begin(), expected.placed.end(), [&](const auto &each) { return each.second == worker; }));
}

resources reservedBy(const oracle &expected, const team_id &team)
{
    resources sum;
    for (const auto &[task, name] : expected.placed) {
        if (task.job.team == team) {
            sum = sum + expected.jobs.at(task.job).need;
        }
    }
    return sum;
}

std::int64_t processorsOf(const oracle &expected, work_kind kind)
{
    std::int64_t sum = 0;
    for (const auto &[task, name] : expected.placed) {
        const job_offer &job = expected.jobs.at(task.job);
        sum += job.kind == kind ? job.need.processors.value : 0;
    }
    return sum;
}

std::int64_t placeableProcessors(const oracle &expected)
{
    std::int64_t sum = 0;
    for (const auto &[name, worker] : expected.workers) {
        sum += worker.placeable ? usableCapacity(expected, worker).processors.value : 0;
    }
    return sum;
}

void checkPlacement(oracle &expected, const placement &each)
{
    const auto job = expected.jobs.find(each.task.job);
    RC_ASSERT(job != expected.jobs.end());
    RC_ASSERT(expected.placed.count(each.task) == 0U);
    RC_ASSERT(expected.waiting[each.task.job].erase(each.task.index) == 1U);
    const auto worker = expected.workers.find(each.worker);
    RC_ASSERT(worker != expected.workers.end());
    RC_ASSERT(worker->second.placeable);
    expected.placed[each.task] = each.worker;
    RC_ASSERT(fits(reservedOn(expected, each.worker), usableCapacity(expected, worker->second)));
    RC_ASSERT(tasksOn(expected, each.worker) <= expected.settings->limits.slotsPerWorker);
    const team_settings *team = findTeam(*expected.settings, each.task.job.team);
    RC_ASSERT(team == nullptr || !team->quota || fits(reservedBy(expected, each.task.job.team), *team->quota));
    const int cap = policyOf(*expected.settings, job->second.kind).capPercent;
    RC_ASSERT(cap >= 100 || processorsOf(expected, job->second.kind) <= placeableProcessors(expected) * cap / 100);
}

// Runs one scheduling pass and checks all of its decisions.
schedule_result pass(system_under_test &sut, std::size_t limit)
{
    oracle &expected = sut.expected;
    expected.now += 100;
    const auto before = expected.waiting;
    schedule_result result = schedule(*sut.state, at(expected.now), limit);
    std::set<job_id> gangs;
    for (const placement &each : result.placements) {
        checkPlacement(expected, each);
        if (expected.jobs.at(each.task.job).kind == work_kind::Gang) {
            gangs.insert(each.task.job);
        }
    }
    for (const job_id &gang : gangs) {
        RC_ASSERT(expected.waiting.at(gang).empty());
    }
    for (const preemption &each : result.preemptions) {
        RC_ASSERT(expected.placed.count(each.task) == 1U);
        RC_ASSERT(expected.placed.at(each.task) == each.worker);
        const job_offer &job = expected.jobs.at(each.task.job);
        RC_ASSERT(job.repeatable);
        RC_ASSERT(policyOf(*expected.settings, job.kind).preemptible);
        RC_ASSERT(job.preemptions < policyOf(*expected.settings, job.kind).preemptionLimit);
    }
    return result;
}

void checkSums(const system_under_test &sut)
{
    const auto summary = summarize(*sut.state);
    std::size_t waiting = 0;
    for (const auto &[job, tasks] : sut.expected.waiting) {
        waiting += tasks.size();
    }
    RC_ASSERT(summary.workers == sut.expected.workers.size());
    RC_ASSERT(summary.waitingTasks == waiting);
    RC_ASSERT(summary.placedTasks == sut.expected.placed.size());
    resources reservedSum;
    for (const auto &[name, worker] : sut.expected.workers) {
        reservedSum = reservedSum + reservedOn(sut.expected, name);
    }
    RC_ASSERT(fits(reservedSum, summary.reserved)); // Reservations may exceed the declared need, but not fall below it.
}

void release(system_under_test &sut, const task_key &task)
{
    releaseTask(*sut.state, task);
    sut.expected.placed.erase(task);
}

using command_base = rc::state::Command<command_count, system_under_test>;

struct command : command_base {
    void apply(command_count &state) const override
    {
        ++state.steps;
    }

    void run(const command_count &, system_under_test &sut) const override
    {
        act(sut);
        checkSums(sut);
    }

    virtual void act(system_under_test &sut) const = 0;
};

task_key anyPlaced(const oracle &expected, int choice)
{
    auto entry = expected.placed.begin();
    std::advance(entry, choice % static_cast<int>(expected.placed.size()));
    return entry->first;
}

struct submit_job : command {
    job_offer job = makeJob(*rc::gen::elementOf(teamNames),
                            std::to_string(*rc::gen::inRange(0, maxJobs)),
                            *rc::gen::elementOf(allWorkKinds),
                            {millicores(*rc::gen::inRange<std::int64_t>(1, 33) * 500),
                             mebibytes(*rc::gen::inRange<std::int64_t>(1, 33) * 1024),
                             accelerators(*rc::gen::weightedElement<int>({{6, 0}, {1, 1}, {1, 2}}))},
                            *rc::gen::inRange<std::uint32_t>(1, 7));
    bool repeatable = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});

    void act(system_under_test &sut) const override
    {
        job_offer offer = job;
        offer.repeatable = repeatable;
        if (sut.expected.jobs.count(offer.id) > 0 || !admit(*sut.state, offer).admitted) {
            return;
        }
        sut.expected.jobs[offer.id] = offer;
        for (const task_index index : allTasks(offer)) {
            sut.expected.waiting[offer.id].insert(index);
        }
        submit(*sut.state, offer, at(sut.expected.now));
    }

    void show(std::ostream &stream) const override
    {
        stream << "submit " << job.id << ' ' << workKindName(job.kind) << ' ' << job.need << " tasks=" << job.tasks;
    }
};

struct run_pass : command {
    std::size_t limit = *rc::gen::weightedElement<std::size_t>({{1, 0}, {1, 1}, {1, 3}, {4, 1000}});

    void act(system_under_test &sut) const override
    {
        for (const preemption &each : pass(sut, limit).preemptions) {
            job_offer &job = sut.expected.jobs.at(each.task.job);
            release(sut, each.task);
            ++job.preemptions;
            sut.expected.waiting[job.id].insert(each.task.index);
            enqueue(*sut.state, job, {each.task.index}, at(sut.expected.now));
        }
    }

    void show(std::ostream &stream) const override
    {
        stream << "pass limit=" << limit;
    }
};

struct finish_task : command {
    int choice = *rc::gen::inRange(0, 1000);
    bool succeeded = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
    bool again = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});

    void act(system_under_test &sut) const override
    {
        if (sut.expected.placed.empty()) {
            return;
        }
        const task_key task = anyPlaced(sut.expected, choice);
        const job_offer job = sut.expected.jobs.at(task.job);
        const worker_id worker = sut.expected.placed.at(task);
        reportOutcome(*sut.state, job.work, worker, succeeded, at(sut.expected.now));
        release(sut, task);
        release(sut, task); // A repeated report changes nothing.
        if (again) {
            sut.expected.waiting[job.id].insert(task.index);
            enqueue(*sut.state, job, {task.index}, at(sut.expected.now));
        }
    }

    void show(std::ostream &stream) const override
    {
        stream << "finish " << choice << " succeeded=" << succeeded << " again=" << again;
    }
};

struct cancel_job : command {
    int choice = *rc::gen::inRange(0, 1000);

    void act(system_under_test &sut) const override
    {
        if (sut.expected.waiting.empty()) {
            return;
        }
        auto entry = sut.expected.waiting.begin();
        std::advance(entry, choice % static_cast<int>(sut.expected.waiting.size()));
        dequeue(*sut.state, entry->first);
        entry->second.clear();
        RC_ASSERT(explainWait(*sut.state, entry->first).empty());
    }

    void show(std::ostream &stream) const override
    {
        stream << "cancel " << choice;
    }
};

struct put_worker : command {
    int number = *rc::gen::inRange(0, maxWorkers);
    resources capacity = amount(*rc::gen::element(4, 16, 64), *rc::gen::element(8, 32, 128), *rc::gen::inRange(0, 3));
    bool placeable = *rc::gen::weightedElement<bool>({{5, true}, {1, false}});

    void act(system_under_test &sut) const override
    {
        worker_offer offer = makeWorker(number * 5, capacity);
        offer.placeable = placeable;
        sut.expected.workers[offer.name] = offer;
        putWorker(*sut.state, offer);
    }

    void show(std::ostream &stream) const override
    {
        stream << "put worker " << number << ' ' << capacity << " placeable=" << placeable;
    }
};

struct remove_worker : command {
    int number = *rc::gen::inRange(0, maxWorkers);

    void act(system_under_test &sut) const override
    {
        const worker_id name = makeWorker(number * 5, {}).name;
        std::vector<task_key> lost;
        for (const auto &[task, worker] : sut.expected.placed) {
            if (worker == name) {
                lost.push_back(task);
            }
        }
        for (const task_key &task : lost) {
            release(sut, task);
            const job_offer &job = sut.expected.jobs.at(task.job);
            if (job.repeatable) {
                sut.expected.waiting[job.id].insert(task.index);
                enqueue(*sut.state, job, {task.index}, at(sut.expected.now));
            }
        }
        sut.expected.workers.erase(name);
        removeWorker(*sut.state, name);
    }

    void show(std::ostream &stream) const override
    {
        stream << "lose worker " << number;
    }
};

struct adopt_task : command {
    int number = *rc::gen::inRange(0, maxWorkers);
    int key = *rc::gen::inRange(0, maxJobs);
    std::uint32_t index = *rc::gen::inRange<std::uint32_t>(0, 6);

    // The task may be adopted without a check of free capacity, because a former leader placed it there.
    void act(system_under_test &sut) const override
    {
        const worker_id name = makeWorker(number * 5, {}).name;
        const auto worker = sut.expected.workers.find(name);
        const job_id id{team_id("a"), idempotency_key(std::to_string(key))};
        const auto job = sut.expected.jobs.find(id);
        const task_key task{id, task_index(index)};
        if (worker == sut.expected.workers.end() || job == sut.expected.jobs.end() || index >= job->second.tasks
            || sut.expected.placed.count(task) > 0) {
            return;
        }
        sut.expected.waiting[id].erase(task.index);
        sut.expected.placed[task] = name;
        adoptTask(*sut.state, job->second, task.index, name);
    }

    void show(std::ostream &stream) const override
    {
        stream << "adopt a/" << key << '/' << index << " on " << number;
    }
};

struct report_usage : command {
    int choice = *rc::gen::inRange(0, 1000);
    int percent = *rc::gen::element(10, 90, 110, 150, 400);

    void act(system_under_test &sut) const override
    {
        if (sut.expected.placed.empty()) {
            return;
        }
        const task_key task = anyPlaced(sut.expected, choice);
        const resources need = sut.expected.jobs.at(task.job).need;
        const resources used{
            millicores(need.processors.value * percent / 100), mebibytes(need.memory.value * percent / 100), {}};
        for (const overuse_action &each : reportUsage(*sut.state, {{task, used}})) {
            RC_ASSERT(sut.expected.placed.at(each.task) == each.worker);
            const bool repeatable = sut.expected.jobs.at(each.task.job).repeatable;
            RC_ASSERT(each.action != overuse_action::kind::Checkpoint || repeatable);
            if (each.action != overuse_action::kind::Throttle) {
                release(sut, each.task);
            }
        }
    }

    void show(std::ostream &stream) const override
    {
        stream << "usage " << choice << " percent=" << percent;
    }
};

boost::intrusive_ptr<configuration>
makeSettings(int cap, int guarantee, std::int64_t quota, int percent, std::uint32_t slots)
{
    auto settings = makeConfiguration();
    addTeam(*settings, "a", 1, amount(quota, quota * 2, 4));
    addTeam(*settings, "b", 3);
    addTeam(*settings, "c", 1);
    policy(*settings, work_kind::Batch).capPercent = cap;
    policy(*settings, work_kind::Query).guaranteedPercent = guarantee;
    policy(*settings, work_kind::Batch).guaranteedPercent = guarantee;
    policy(*settings, work_kind::Batch).queueLimit = 40;
    settings->limits.processorPercent = percent;
    settings->limits.memoryPercent = percent;
    settings->limits.slotsPerWorker = slots;
    return settings;
}

struct change_configuration : command {
    int cap = *rc::gen::element(30, 60, 100);
    int guarantee = *rc::gen::element(0, 20, 40);
    int quota = *rc::gen::element(8, 40, 400);
    int percent = *rc::gen::element(50, 90, 100);
    std::uint32_t slots = *rc::gen::element<std::uint32_t>(2, 8);

    void act(system_under_test &sut) const override
    {
        sut.expected.settings = makeSettings(cap, guarantee, quota, percent, slots);
        applyConfiguration(*sut.state, sut.expected.settings);
    }

    void show(std::ostream &stream) const override
    {
        stream << "configuration cap=" << cap << " guarantee=" << guarantee << " quota=" << quota
               << " percent=" << percent << " slots=" << slots;
    }
};

// Removes all limits and restores the fleet; then every waiting task must be placed within 3000 passes.
void checkEverythingRuns(system_under_test &sut)
{
    sut.expected.settings = makeSettings(100, 20, 100000, 100, 8);
    applyConfiguration(*sut.state, sut.expected.settings);
    for (int number = 0; number < maxWorkers; ++number) {
        const auto offer = makeWorker(number * 5, amount(64, 128, 2));
        sut.expected.workers[offer.name] = offer;
        putWorker(*sut.state, offer);
    }
    const auto left = [&] {
        return std::any_of(sut.expected.waiting.begin(), sut.expected.waiting.end(), [](const auto &each) {
            return !each.second.empty();
        });
    };
    for (int round = 0; round < 3000 && left(); ++round) {
        sut.expected.now += 900;
        std::vector<task_key> ended;
        for (const auto &[task, worker] : sut.expected.placed) {
            if ((round + static_cast<int>(task.index.value)) % 5 == 0) {
                ended.push_back(task);
            }
        }
        for (const task_key &task : ended) {
            reportOutcome(*sut.state,
                          sut.expected.jobs.at(task.job).work,
                          sut.expected.placed.at(task),
                          true,
                          at(sut.expected.now));
            release(sut, task);
        }
        pass(sut, 1000);
    }
    RC_ASSERT(!left());
}

} // namespace

TEST_CASE("no sequence of operations exceeds a limit or starves a task")
{
    rc::prop("scheduler follows the oracle", [] {
        system_under_test sut;
        sut.expected.settings = makeSettings(100, 20, 40, 100, 8);
        sut.state = makeScheduler(sut.expected.settings);
        for (int number = 0; number < maxWorkers; ++number) {
            const auto offer = makeWorker(number * 5, amount(16, 32, number % 3));
            sut.expected.workers[offer.name] = offer;
            putWorker(*sut.state, offer);
        }
        const auto commands = rc::state::gen::execOneOfWithArgs<submit_job,
                                                                submit_job,
                                                                submit_job,
                                                                run_pass,
                                                                run_pass,
                                                                finish_task,
                                                                finish_task,
                                                                cancel_job,
                                                                put_worker,
                                                                remove_worker,
                                                                adopt_task,
                                                                report_usage,
                                                                change_configuration>();
        rc::state::check(command_count(), sut, commands);
        checkEverythingRuns(sut);
    });
}
