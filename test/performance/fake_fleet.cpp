#include "fake_fleet.h"

#include <deque>
#include <memory>
#include <queue>
#include <set>

namespace sesamespar::measure {

using namespace fixture;

namespace {

constexpr double measureStart = 60;
constexpr double measureEnd = 240;
constexpr double simulationEnd = 300;
constexpr std::uint32_t slots = 8;

struct drawn_job {
    job_offer offer;
    work_class workClass = work_class::Query;
    double runSeconds = 0;
};

std::size_t indexOf(work_class workClass)
{
    return static_cast<std::size_t>(workClass);
}

double uniform(std::mt19937 &random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

template<typename Value>
Value pick(std::mt19937 &random, const std::vector<Value> &values)
{
    return values.at(std::uniform_int_distribution<std::size_t>(0, values.size() - 1)(random));
}

// Processors and GiB of batch tasks; some are bound by memory, some by processors.
const std::vector<std::pair<int, int>> batchShapes{{1, 6}, {2, 2}, {2, 8}, {4, 4}, {4, 12}, {6, 4}, {8, 8}, {3, 10}};

drawn_job draw(work_class workClass, const deployment &target, std::mt19937 &random, int number)
{
    drawn_job drawn;
    drawn.workClass = workClass;
    std::string team = "availability" + std::to_string(number % 3);
    work_kind kind = work_kind::Query;
    resources need{millicores(pick<int>(random, {500, 1000})), mebibytes(pick<int>(random, {512, 1024})), {}};
    std::uint32_t tasks = 1;
    drawn.runSeconds = uniform(random, 0.2, 1.8);
    if (workClass == work_class::Booking) {
        team = "booking" + std::to_string(number % 2);
        need = {millicores(1000), mebibytes(2048), {}};
        drawn.runSeconds = uniform(random, 1, 3);
    } else if (workClass == work_class::Batch) {
        team = "analysis" + std::to_string(number % 4);
        kind = work_kind::Batch;
        const auto [cores, gibibytes] = pick(random, batchShapes);
        need = amount(cores * target.scale, gibibytes * target.scale);
        drawn.runSeconds = uniform(random, 10, 50);
    } else if (workClass == work_class::Gang) {
        team = "models" + std::to_string(number % 2);
        kind = work_kind::Gang;
        need = amount(4 * target.scale, 4 * target.scale);
        tasks = pick<std::uint32_t>(random, {4, 6});
        drawn.runSeconds = uniform(random, 10, 30);
    } else if (workClass == work_class::Service) {
        team = "platform";
        kind = work_kind::Service;
        need = amount(target.scale, 2 * target.scale);
        tasks = 4;
        drawn.runSeconds = 1e9;
    }
    drawn.offer = makeJob(team, nameOf(workClass) + std::to_string(number), kind, need, tasks);
    drawn.offer.work =
        work_id(team + "-" + std::to_string(need.processors.value) + "-" + std::to_string(need.memory.value));
    drawn.offer.repeatable = workClass != work_class::Booking;
    drawn.offer.runTime = milliseconds(static_cast<std::int64_t>(drawn.runSeconds * 1000));
    return drawn;
}

// Mean processor seconds of a job, estimated from 2000 draws with a separate seed.
double meanWork(work_class workClass, const deployment &target)
{
    std::mt19937 random(1);
    double sum = 0;
    constexpr int samples = 2000;
    for (int number = 0; number < samples; ++number) {
        const drawn_job job = draw(workClass, target, random, number);
        sum += static_cast<double>(job.offer.need.processors.value) / 1000 * job.offer.tasks * job.runSeconds;
    }
    return sum / samples;
}

double processorsOf(const deployment &target)
{
    return static_cast<double>(target.capacity.processors.value) / 1000 * target.workers;
}

// All jobs of a run in the order of arrival. Each class has its own random sequence, so that a flood of one class does
// not change the arrivals of the others.
std::vector<std::pair<double, drawn_job>>
drawArrivals(const deployment &target, const flood &floodSettings, std::uint32_t seed)
{
    std::vector<std::pair<double, drawn_job>> arrivals;
    for (std::size_t index = 0; index < workClasses; ++index) {
        const auto workClass = static_cast<work_class>(index);
        std::mt19937 random(seed + static_cast<std::uint32_t>(index));
        int number = 0;
        if (workClass == work_class::Service) {
            const double each = 4.0 * static_cast<double>(target.scale);
            const int jobs = static_cast<int>(target.load.at(index) * processorsOf(target) / each);
            for (; number < jobs; ++number) {
                arrivals.emplace_back(0, draw(workClass, target, random, number));
            }
            continue;
        }
        const double rate = target.load.at(index) * processorsOf(target) / meanWork(workClass, target);
        const bool flooding = floodSettings.active && floodSettings.kind == workClass;
        for (double time = 0; time < simulationEnd;) {
            const bool tenfold = flooding && time >= measureStart && time < measureEnd;
            time += std::exponential_distribution<double>(tenfold ? rate * 10 : rate)(random);
            arrivals.emplace_back(time, draw(workClass, target, random, ++number));
        }
    }
    std::stable_sort(
        arrivals.begin(), arrivals.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    return arrivals;
}

struct running_task {
    worker_id worker;
    double ends = 0;
};

struct live_job {
    drawn_job drawn;
    std::map<task_index, double> readySince;
    std::map<task_index, double> remaining; ///< Remaining seconds of preempted tasks.
    std::map<task_index, running_task> running;
};

struct worker_use {
    resources reserved;
    std::uint32_t tasks = 0;
};

struct fleet_run {
    const deployment *target = nullptr;
    const policy_under_test *policy = nullptr;
    std::map<job_id, live_job> jobs;
    std::map<worker_id, worker_use> workers;
    std::priority_queue<std::pair<double, task_key>, std::vector<std::pair<double, task_key>>, std::greater<>> ends;
    run_result result;
    std::size_t samples = 0;
};

bool isMeasured(double time)
{
    return time >= measureStart && time < measureEnd;
}

void occupy(fleet_run &run, const worker_id &worker, const resources &need, int sign)
{
    worker_use &use = run.workers[worker];
    use.reserved = use.reserved + need * sign;
    use.tasks += static_cast<std::uint32_t>(sign);
}

void start(fleet_run &run, const placement &each, double now)
{
    live_job &job = run.jobs.at(each.task.job);
    const std::size_t index = indexOf(job.drawn.workClass);
    const double ready = job.readySince.at(each.task.index);
    job.readySince.erase(each.task.index);
    if (isMeasured(ready)) {
        run.result.waits.at(index).push_back(now - ready);
    }
    const auto left = job.remaining.find(each.task.index);
    // A restart after a preemption is not counted as a start.
    run.result.starts.at(index) += isMeasured(now) && left == job.remaining.end() ? 1 : 0;
    const double seconds = left == job.remaining.end() ? job.drawn.runSeconds : left->second;
    job.running[each.task.index] = {each.worker, now + seconds};
    run.ends.emplace(now + seconds, each.task);
    occupy(run, each.worker, job.drawn.offer.need, 1);
}

void preempt(fleet_run &run, const preemption &each, double now)
{
    live_job &job = run.jobs.at(each.task.job);
    const running_task task = job.running.at(each.task.index);
    job.running.erase(each.task.index);
    job.remaining[each.task.index] = task.ends - now;
    occupy(run, task.worker, job.drawn.offer.need, -1);
    run.policy->release(each.task);
    ++job.drawn.offer.preemptions;
    ++run.result.preemptions;
    job.readySince[each.task.index] = now;
    run.policy->enqueue(job.drawn.offer, {each.task.index}, at(static_cast<std::int64_t>(now * 1000)));
}

void scheduleUntilStable(fleet_run &run, double now)
{
    for (int round = 0; round < 4; ++round) {
        const schedule_result result = run.policy->schedule(at(static_cast<std::int64_t>(now * 1000)));
        for (const placement &each : result.placements) {
            start(run, each, now);
        }
        for (const preemption &each : result.preemptions) {
            preempt(run, each, now);
        }
        if (result.preemptions.empty()) {
            return;
        }
    }
}

void arrive(fleet_run &run, const drawn_job &drawn, double now)
{
    if (!run.policy->admit(drawn.offer)) {
        run.result.refused.at(indexOf(drawn.workClass)) += isMeasured(now) ? drawn.offer.tasks : 0;
        return;
    }
    live_job &job = run.jobs[drawn.offer.id];
    job.drawn = drawn;
    for (const task_index index : allTasks(drawn.offer)) {
        job.readySince[index] = now;
    }
    run.policy->enqueue(drawn.offer, allTasks(drawn.offer), at(static_cast<std::int64_t>(now * 1000)));
}

// Handles the next end event. The event is ignored if the task was preempted after the event was scheduled.
void finishOne(fleet_run &run)
{
    const auto [time, task] = run.ends.top();
    run.ends.pop();
    const auto entry = run.jobs.find(task.job);
    if (entry == run.jobs.end()) {
        return;
    }
    live_job &job = entry->second;
    const auto running = job.running.find(task.index);
    if (running == job.running.end() || running->second.ends > time) {
        return;
    }
    occupy(run, running->second.worker, job.drawn.offer.need, -1);
    job.running.erase(running);
    run.policy->release(task);
    if (job.running.empty() && job.readySince.empty()) {
        run.jobs.erase(entry);
    }
}

void sampleUse(fleet_run &run)
{
    std::int64_t reserved = 0;
    std::int64_t used = 0;
    std::int64_t stranded = 0;
    const resources &capacity = run.target->capacity;
    for (const auto &[name, use] : run.workers) {
        reserved += use.reserved.processors.value;
        used += use.tasks > 0 ? capacity.processors.value : 0;
        const bool full = use.tasks >= slots || capacity.memory.value - use.reserved.memory.value < 1024;
        stranded += full ? capacity.processors.value - use.reserved.processors.value : 0;
    }
    const double all = processorsOf(*run.target) * 1000;
    run.result.reserved += static_cast<double>(reserved) / all;
    run.result.reservedOfUsed += used > 0 ? static_cast<double>(reserved) / static_cast<double>(used) : 0;
    run.result.stranded += static_cast<double>(stranded) / all;
    ++run.samples;
}

void summarizeRun(fleet_run &run)
{
    const double samples = static_cast<double>(std::max<std::size_t>(1, run.samples));
    run.result.reserved /= samples;
    run.result.reservedOfUsed /= samples;
    run.result.stranded /= samples;
    for (const auto &[id, job] : run.jobs) {
        for (const auto &[index, ready] : job.readySince) {
            if (isMeasured(ready)) {
                const std::size_t workClass = indexOf(job.drawn.workClass);
                ++run.result.leftWaiting.at(workClass);
                run.result.waits.at(workClass).push_back(simulationEnd - ready); // Lower bound of the wait.
            }
        }
    }
}

// State of the baseline: one queue and the free capacity of each worker.
struct baseline_state {
    std::map<worker_id, worker_use> workers;
    std::deque<std::pair<job_offer, std::vector<task_index>>> queue;
    std::map<task_key, std::pair<worker_id, resources>> placed;
    std::array<std::size_t, allWorkKinds.size()> waiting{};
};

bool placeWhole(baseline_state &state,
                const resources &capacity,
                const job_offer &job,
                const std::vector<task_index> &tasks,
                schedule_result &result)
{
    const std::size_t before = result.placements.size();
    for (const task_index index : tasks) {
        const auto worker = std::find_if(state.workers.begin(), state.workers.end(), [&](const auto &each) {
            return each.second.tasks < slots && fits(each.second.reserved + job.need, capacity);
        });
        if (worker == state.workers.end()) {
            for (; result.placements.size() > before; result.placements.pop_back()) {
                worker_use &use = state.workers.at(result.placements.back().worker);
                use.reserved = use.reserved - job.need;
                --use.tasks;
            }
            return false;
        }
        worker->second.reserved = worker->second.reserved + job.need;
        ++worker->second.tasks;
        result.placements.push_back({{job.id, index}, worker->first});
    }
    return true;
}

schedule_result baselinePass(baseline_state &state, const resources &capacity, bool skip)
{
    schedule_result result;
    std::size_t tried = 0;
    for (auto entry = state.queue.begin(); entry != state.queue.end() && tried < 100;) {
        const std::size_t before = result.placements.size();
        if (!placeWhole(state, capacity, entry->first, entry->second, result)) {
            if (!skip) {
                break;
            }
            ++tried;
            ++entry;
            continue;
        }
        for (std::size_t index = before; index < result.placements.size(); ++index) {
            const placement &each = result.placements.at(index);
            state.placed[each.task] = {each.worker, entry->first.need};
        }
        state.waiting.at(kindIndex(entry->first.kind)) -= entry->second.size();
        entry = state.queue.erase(entry);
    }
    return result;
}

} // namespace

std::string nameOf(work_class workClass)
{
    static const std::array<std::string, workClasses> names{"query", "booking", "batch", "gang", "service"};
    return names.at(indexOf(workClass));
}

deployment paguri(int workers)
{
    return {
        "Paguri, " + std::to_string(workers) + " workers", workers, amount(16, 32), {0.08, 0.06, 0.34, 0.10, 0.12}, 1};
}

deployment pompamassetto(int workers)
{
    return {"Pompamassetto, " + std::to_string(workers) + " workers",
            workers,
            amount(64, 128),
            {0.02, 0.015, 0.40, 0.12, 0.12},
            4};
}

policy_under_test makeDefault(const deployment &target)
{
    auto settings = makeConfiguration();
    // Queries and bookings use a third of the slots of the smaller fleet, but few of its processors.
    policy(*settings, work_kind::Query).guaranteedPercent = 35;
    policy(*settings, work_kind::Service).guaranteedPercent = 15;
    policy(*settings, work_kind::Gang).guaranteedPercent = 15;
    policy(*settings, work_kind::Batch).guaranteedPercent = 35;
    settings->limits.slotsPerWorker = slots;
    for (const char *team : {"availability0",
                             "availability1",
                             "availability2",
                             "booking0",
                             "booking1",
                             "analysis0",
                             "analysis1",
                             "analysis2",
                             "analysis3",
                             "models0",
                             "models1",
                             "platform"}) {
        addTeam(*settings, team);
    }
    std::shared_ptr<scheduler> state(makeScheduler(settings).release(), scheduler_deleter());
    addWorkers(*state, target.workers, target.capacity);
    return {"default",
            [state](const job_offer &job) { return admit(*state, job).admitted; },
            [state](const job_offer &job, const std::vector<task_index> &tasks, time_point now) {
                enqueue(*state, job, tasks, now);
            },
            [state](time_point now) { return schedule(*state, now, 1000); },
            [state](const task_key &task) {
                releaseTask(*state, task);
            }};
}

policy_under_test makeBaseline(const deployment &target, bool skip)
{
    const auto state = std::make_shared<baseline_state>();
    for (int number = 0; number < target.workers; ++number) {
        state->workers[makeWorker(number, target.capacity).name] = {};
    }
    const resources capacity = target.capacity;
    return {skip ? "fifo-skip" : "fifo",
            [state](const job_offer &job) {
                return state->waiting.at(kindIndex(job.kind)) + job.tasks <= kind_policy().queueLimit;
            },
            [state](const job_offer &job, const std::vector<task_index> &tasks, time_point) {
                state->waiting.at(kindIndex(job.kind)) += tasks.size();
                state->queue.emplace_back(job, tasks);
            },
            [state, capacity, skip](time_point) { return baselinePass(*state, capacity, skip); },
            [state](const task_key &task) {
                const auto placed = state->placed.find(task);
                worker_use &use = state->workers.at(placed->second.first);
                use.reserved = use.reserved - placed->second.second;
                --use.tasks;
                state->placed.erase(placed);
            }};
}

run_result
runMix(const deployment &target, const policy_under_test &policy, const flood &floodSettings, std::uint32_t seed)
{
    fleet_run run;
    run.target = &target;
    run.policy = &policy;
    const auto arrivals = drawArrivals(target, floodSettings, seed);
    auto next = arrivals.begin();
    double nextSample = measureStart;
    for (double now = 0; now < simulationEnd;) {
        const double arrival = next == arrivals.end() ? simulationEnd : next->first;
        const double end = run.ends.empty() ? simulationEnd : run.ends.top().first;
        now = std::min(arrival, end);
        if (now >= simulationEnd) {
            break;
        }
        if (end <= arrival) {
            finishOne(run);
        } else {
            arrive(run, (next++)->second, now);
        }
        scheduleUntilStable(run, now);
        if (now >= nextSample && isMeasured(now)) {
            sampleUse(run);
            nextSample = now + 1;
        }
    }
    summarizeRun(run);
    return run.result;
}

} // namespace sesamespar::measure
