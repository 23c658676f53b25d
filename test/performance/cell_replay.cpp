#include "cell_replay.h"

#include "term/advice_selection.h"
#include "term/job_placement.h"
#include "term/long_request_limit.h"
#include "term/run_lifecycle.h"
#include "term/sustained_speed.h"
#include "term/worker_speed.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <deque>
#include <limits>
#include <numeric>
#include <optional>
#include <random>
#include <unordered_map>

namespace sesamespar::measure {

namespace {

constexpr std::int64_t utcStart = 1700000000000;
/// Interval of the reports of each worker; a multiple of the interval of the passes.
constexpr std::int64_t reportMs = 300;
/// Interval of the upkeep of the leader, as in cell_leader.cpp.
constexpr std::int64_t upkeepMs = 100;
/// Time from a placement to the start on the worker: a transaction and a call.
constexpr std::int64_t startMs = 25;
/// Time for the remaining work after the last arrival.
constexpr std::int64_t finishMs = 14000;
constexpr double maxValueFactor =
    4; ///< Maximum value of a large job, as a multiple of the value of a job of mean size.
constexpr double fixedValueShare = 0.3; ///< Part of a job's value that does not depend on its size.
constexpr double lateFactor = 3;
constexpr double wholeWork = 100;

/// A job with the properties that the leader does not know.
struct replay_job {
    accepted_job accepted;
    const replay_queue *queue = nullptr;
    std::int64_t arrivesMs = 0;
    std::vector<std::int64_t> taskMs; ///< True duration of each task on a worker of speed 1.
    double work = 0; ///< In core-milliseconds.
    bool alwaysFails = false;
    double jobValue = 0;
    std::int64_t objectiveMs = 0;
    std::optional<std::vector<const cell_worker *>>
        suitable; ///< Workers that may run the job; empty before its first wait.
    std::optional<std::int64_t> fittingSinceMs; ///< Since when the job could start; empty if it cannot or has started.
    std::int64_t longestIdleWaitMs = 0;
    std::int64_t longestFinalIdleWaitMs = 0; ///< Of the waits that last beyond the end of the arrivals.
    std::optional<std::int64_t> completedMs;
    double gangSpeed = 1; ///< In the current pass: speed of the slowest worker of its runs.
};

/// A simulated run.
struct replay_run {
    placed_run *placed = nullptr;
    replay_job *job = nullptr;
    std::int64_t beganMs = 0;
    double doneMs = 0; ///< Work done so far.
    double failsAtMs = -1; ///< Work after which the run fails; negative if it does not fail.
};

/// A request that the advisor is processing.
struct replay_advice_request {
    advice_request request;
    std::int64_t responseMs = 0;
    bool isLong = false;
};

struct replay {
    const replay_load &load;
    std::mt19937_64 random;
    cell_state state;
    std::deque<replay_job> jobs;
    std::unordered_map<job_key, replay_job *> byKey;
    std::vector<replay_run> runs; ///< In the order of their begin.
    std::vector<worker_set> faulty; ///< By fault of the load: its workers.
    std::vector<replay_advice_request> adviceRequests;
    short_request_use shortRequests;
    bool uneven = false; ///< The workers were considered uneven at some time.
    std::int64_t nowMs = 0;
};

clock_reading clockOf(std::int64_t nowMs)
{
    const time_point point(milliseconds(1000000 + nowMs));
    return {point, utc_time(utcStart + nowMs), point};
}

double uniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

/// Draws around a mean with a heavy tail, up to a limit.
double draw(std::mt19937_64 &random, double mean, double limit, double spread)
{
    std::lognormal_distribution<double> distribution(std::log(mean) - spread * spread / 2, spread);
    return std::min(limit, distribution(random));
}

double rateAt(const replay_load &load, const replay_queue &queue, std::int64_t nowMs)
{
    double rate = queue.jobsPerSecond;
    for (const replay_burst &burst : load.bursts) {
        const bool applies = burst.queue.empty() || burst.queue == queue.name;
        if (applies && nowMs >= burst.atMs && nowMs < burst.atMs + burst.forMs) {
            rate *= burst.factor;
        }
    }
    return rate;
}

job_key keyNumber(std::size_t number)
{
    constexpr std::size_t size = 17;
    char text[size];
    std::snprintf(text, size, "%016zx", number);
    return job_key(text);
}

/// Draws the durations of the tasks of a step around its duration. The tasks of a gang take equally long.
std::vector<std::int64_t>
drawTasks(std::mt19937_64 &random, const replay_queue &queue, const job_step &step, double durationMs)
{
    std::vector<std::int64_t> all;
    for (std::uint32_t index = 0; index < (step.gang ? 1 : step.count); ++index) {
        double took = durationMs;
        if (queue.taskSpread > 0 && !step.gang) {
            took = draw(random, took, std::numeric_limits<double>::max(), queue.taskSpread);
        }
        if (queue.tailShare > 0 && uniform(random) < queue.tailShare) {
            took *= queue.tailFactor;
        }
        all.push_back(std::max<std::int64_t>(20, static_cast<std::int64_t>(took)));
    }
    all.resize(step.count, all.front());
    return all;
}

replay_job drawJob(replay &world, const replay_queue &queue, std::int64_t atMs)
{
    constexpr double widthSpread = 0.7;
    constexpr double sizeSpread = 0.45;
    replay_job job;
    job.queue = &queue;
    job.arrivesMs = atMs;
    job.alwaysFails = uniform(world.random) < queue.alwaysFailsShare;
    job_step step;
    step.count = static_cast<std::uint32_t>(
        std::max(1.0, std::round(draw(world.random, queue.meanTasks, queue.taskLimit, widthSpread))));
    const double cores = draw(world.random, queue.meanCores, queue.coreLimit, sizeSpread);
    step.need.processors.value = static_cast<std::int64_t>(cores * 1000);
    step.gang = uniform(world.random) < queue.gangShare;
    const double duration = draw(world.random, queue.meanMs, queue.durationLimitMs, sizeSpread);
    job.taskMs = drawTasks(world.random, queue, step, duration);
    const double error = std::pow(1 + queue.estimateError, 2 * uniform(world.random) - 1);
    step.estimate = milliseconds(static_cast<std::int64_t>(duration * error));
    job.accepted.job.steps.push_back(step);
    job.accepted.key = keyNumber(world.jobs.size() + 1);
    job.accepted.acceptedAt = utc_time(utcStart + atMs);
    queue_policy &policy = job.accepted.policy;
    policy.queue = queue_id(queue.name);
    policy.service = service_id("s");
    policy.priority = queue.priority;
    policy.maxAttempts = queue.attempts;
    policy.stretch = queue.stretch;
    policy.targetLatency = milliseconds(queue.targetMs);
    if (queue.suitableShare < 1) {
        advice_timing terms;
        terms.decide = std::chrono::duration<double, std::milli>(queue.adviceMs);
        terms.perWorker = std::chrono::duration<double, std::milli>(queue.adviceMsForWorker);
        terms.valid = milliseconds(world.load.ticketMs);
        policy.advice = terms;
    }
    constexpr int adviceWorkers = 30;
    const auto longest = static_cast<double>(*std::max_element(job.taskMs.begin(), job.taskMs.end()));
    const double chain = longest + queue.adviceMs + adviceWorkers * queue.adviceMsForWorker;
    job.objectiveMs = static_cast<std::int64_t>(queue.stretch * chain) + queue.targetMs;
    const double meanWork = queue.meanTasks * queue.meanMs * queue.meanCores;
    job.work = step.count * duration * cores;
    job.jobValue =
        queue.jobValue * std::min(maxValueFactor, fixedValueShare + (1 - fixedValueShare) * job.work / meanWork);
    return job;
}

void drawArrivals(replay &world)
{
    for (std::int64_t atMs = 0; atMs < world.load.lengthMs; ++atMs) {
        for (const replay_queue &queue : world.load.queues) {
            if (uniform(world.random) < rateAt(world.load, queue, atMs) / 1000) {
                world.jobs.push_back(drawJob(world, queue, atMs));
            }
        }
    }
    for (replay_job &job : world.jobs) {
        world.byKey.emplace(job.accepted.key, &job);
    }
}

/// Draws a job of a queue that is chosen in proportion to the rates of the queues.
replay_job drawNextJob(replay &world)
{
    const std::vector<replay_queue> &queues = world.load.queues;
    double rest = uniform(world.random)
        * std::accumulate(queues.begin(), queues.end(), 0.0, [](double sum, const replay_queue &queue) {
                      return sum + queue.jobsPerSecond;
                  });
    const auto chosen = std::find_if(queues.begin(), std::prev(queues.end()), [&rest](const replay_queue &queue) {
        rest -= queue.jobsPerSecond;
        return rest < 0;
    });
    return drawJob(world, *chosen, world.nowMs);
}

std::size_t countWaiting(const replay &world)
{
    return static_cast<std::size_t>(
        std::count_if(world.state.jobs.begin(), world.state.jobs.end(), [](const auto &entry) {
            const cell_step &step = entry.second->steps.front();
            return !isFinal(entry.second->progress.phase) && step.done + step.placed < step.count;
        }));
}

/// Adds jobs until as many as the load demands have waiting tasks. Returns the number of all jobs so far.
std::size_t refillWaiting(replay &world)
{
    for (std::size_t waiting = countWaiting(world); waiting < world.load.waitingJobs; ++waiting) {
        replay_job &job = world.jobs.emplace_back(drawNextJob(world));
        world.byKey.emplace(job.accepted.key, &job);
        addJob(world.state, job.accepted, {});
    }
    return world.jobs.size();
}

void addWorkers(replay &world)
{
    for (std::size_t number = 0; number < world.load.workers; ++number) {
        cell_worker &worker = addWorker(world.state, worker_id("w" + std::to_string(1000 + number)));
        worker.service = service_id("s");
        worker.capacity = {millicores(world.load.coresPerWorker * 1000), mebibytes(1048576), accelerators(0)};
        worker.listed = true;
        worker.seen = true;
        worker.incarnation = worker_incarnation(1);
        worker.current = worker.incarnation;
    }
}

/// First value of std::mt19937 with a seed. The generator would compute 624 values, which took a fifth of the time of a
/// replay.
std::uint32_t firstOfMersenneTwister(std::uint32_t seed)
{
    constexpr std::uint32_t middle = 397;
    constexpr std::uint32_t initialMultiplier = 1812433253;
    constexpr std::uint32_t upperMask = 0x80000000;
    constexpr std::uint32_t twist = 0x9908b0df;
    const auto following = [](std::uint32_t word, std::uint32_t index) {
        return initialMultiplier * (word ^ (word >> 30)) + index;
    };
    const std::uint32_t second = following(seed, 1);
    std::uint32_t word = second;
    for (std::uint32_t index = 2; index <= middle; ++index) {
        word = following(word, index);
    }
    const std::uint32_t mixed = (seed & upperMask) | (second & ~upperMask);
    word ^= (mixed >> 1) ^ ((mixed & 1) != 0 ? twist : 0);
    word ^= word >> 11;
    word ^= (word << 7) & 0x9d2c5680;
    word ^= (word << 15) & 0xefc60000;
    return word ^ (word >> 18);
}

/// Pseudorandom number in [0, 1) that depends only on the text.
double pseudorandomShare(const std::string &text)
{
    constexpr double range = 4294967296.0;
    const auto seed = static_cast<std::uint32_t>(std::hash<std::string>()(text));
    return static_cast<double>(firstOfMersenneTwister(seed)) / range;
}

bool isSuitable(const replay_job &job, const worker_id &worker)
{
    return pseudorandomShare(worker.value + job.accepted.key.value) < job.queue->suitableShare;
}

void drawFaulty(replay &world)
{
    for (const replay_fault &fault : world.load.faults) {
        worker_set &workers = world.faulty.emplace_back(world.state.slots.size());
        for (const cell_worker *worker : world.state.slots) {
            workers[worker->slot.value] =
                pseudorandomShare(worker->id.value + std::to_string(fault.atMs)) < fault.share;
        }
    }
}

const replay_fault *faultOf(const replay &world, const cell_worker &worker)
{
    for (std::size_t index = 0; index < world.load.faults.size(); ++index) {
        const replay_fault &fault = world.load.faults[index];
        const bool during = world.nowMs >= fault.atMs && world.nowMs < fault.atMs + fault.forMs;
        if (during && contains(world.faulty[index], worker.slot)) {
            return &fault;
        }
    }
    return nullptr;
}

double speedOf(const replay &world, const cell_worker &worker)
{
    const std::vector<double> &speeds = world.load.workerSpeeds;
    const double sustained = speeds.empty() ? 1 : speeds[worker.slot.value % speeds.size()];
    const replay_fault *fault = faultOf(world, worker);
    return fault == nullptr || fault->failsAll ? sustained : sustained / fault->slowdown;
}

double taskMsOf(const replay_run &run)
{
    return static_cast<double>(run.job->taskMs[run.placed->position.value]);
}

void beginRun(replay &world, placed_run &run)
{
    replay_run began;
    began.placed = &run;
    began.job = world.byKey.at(run.job->accepted.key);
    began.beganMs = world.nowMs + startMs;
    const replay_fault *fault = faultOf(world, *run.worker);
    const bool failing = began.job->alwaysFails || (fault != nullptr && fault->failsAll);
    if (failing || uniform(world.random) < began.job->queue->failureShare) {
        began.failsAtMs = uniform(world.random) * taskMsOf(began);
    }
    run.state = run_state::Running;
    run.sent = true;
    markBegun(world.state, run, clockOf(began.beganMs));
    world.runs.push_back(began);
}

/// Advances a run by one pass. Returns how it ended, if it did.
std::optional<run_end> advanceRun(const replay &world, replay_run &run, double speed)
{
    if (run.placed->state == run_state::Stopping) {
        return run_end::Stopped;
    }
    if (world.nowMs < run.beganMs) {
        return std::nullopt;
    }
    run.doneMs += static_cast<double>(world.load.passMs) * speed;
    if (run.failsAtMs >= 0 && run.doneMs >= run.failsAtMs) {
        return run_end::Failed;
    }
    return run.doneMs >= taskMsOf(run) ? std::optional(run_end::Done) : std::nullopt;
}

/// Advances all runs by one pass. The members of a gang progress at the speed of its slowest worker.
void advanceRuns(replay &world)
{
    for (const replay_run &run : world.runs) {
        run.job->gangSpeed = std::numeric_limits<double>::max();
    }
    for (const replay_run &run : world.runs) {
        run.job->gangSpeed = std::min(run.job->gangSpeed, speedOf(world, *run.placed->worker));
    }
    std::vector<std::pair<placed_run *, run_end>> endedRuns;
    std::erase_if(world.runs, [&](replay_run &run) {
        const bool gang = run.job->accepted.job.steps.front().gang;
        const std::optional<run_end> how =
            advanceRun(world, run, gang ? run.job->gangSpeed : speedOf(world, *run.placed->worker));
        if (how) {
            endedRuns.emplace_back(run.placed, *how);
        }
        return how.has_value();
    });
    for (const auto &[run, how] : endedRuns) {
        endRun(world.state, *run, how, {}, clockOf(world.nowMs));
    }
}

void report(replay &world)
{
    std::unordered_map<const placed_run *, int> percents;
    for (const replay_run &run : world.runs) {
        const double done = run.doneMs / taskMsOf(run);
        percents.emplace(run.placed, static_cast<int>(std::min(1.0, done) * wholeWork));
    }
    for (const auto &[id, worker] : world.state.workers) {
        std::vector<reported_percent> shares;
        for (placed_run &run : worker->runs) {
            shares.push_back({&run, percents.at(&run)});
        }
        assessSpeed(world.state, *worker, shares, clockOf(world.nowMs));
    }
}

void answerAdviceRequests(replay &world)
{
    for (const replay_advice_request &open : world.adviceRequests) {
        if (open.responseMs > world.nowMs) {
            continue;
        }
        const auto found = world.byKey.find(open.request.step.job);
        advice_response response;
        for (const worker_id &worker : open.request.workers) {
            if (isSuitable(*found->second, worker)) {
                response.suitable.push_back({worker, advice_ticket("t")});
            }
        }
        applyAdvice(world.state, open.request, response, clockOf(world.nowMs).uptime);
    }
    std::erase_if(world.adviceRequests,
                  [&world](const replay_advice_request &open) { return open.responseMs <= world.nowMs; });
}

bool isLessThanHalfInUse(const replay &world)
{
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    for (const auto &[id, worker] : world.state.workers) {
        capacity += worker->capacity.processors.value;
        reserved += worker->reserved.processors.value;
    }
    return 2 * reserved < capacity;
}

/// True if all tasks of the job have room twice over on the free capacity of its suitable workers.
bool fitsTwice(const replay &world, replay_job &job)
{
    if (!job.suitable) {
        job.suitable.emplace();
        for (const auto &[id, worker] : world.state.workers) {
            if (isSuitable(job, id)) {
                job.suitable->push_back(worker.get());
            }
        }
    }
    const job_step &step = job.accepted.job.steps.front();
    const auto wanted = 2 * static_cast<std::int64_t>(step.count);
    std::int64_t tasks = 0;
    for (auto worker = job.suitable->begin(); tasks < wanted && worker != job.suitable->end(); ++worker) {
        tasks += std::max<std::int64_t>(0, freeCapacity(**worker).processors.value / step.need.processors.value);
    }
    return tasks >= wanted;
}

/// Updates for how long jobs have waited although they could run.
void watchIdleWaits(replay &world)
{
    const bool idle = isLessThanHalfInUse(world);
    for (const auto &[key, job] : world.state.jobs) {
        replay_job &watched = *world.byKey.at(key);
        const bool waits = !isFinal(job->progress.phase) && job->steps.front().placed == 0;
        if (!idle || !waits || !fitsTwice(world, watched)) {
            watched.fittingSinceMs.reset();
            continue;
        }
        watched.fittingSinceMs = watched.fittingSinceMs.value_or(world.nowMs);
        const std::int64_t waitedMs = world.nowMs - *watched.fittingSinceMs;
        watched.longestIdleWaitMs = std::max(watched.longestIdleWaitMs, waitedMs);
        if (world.nowMs >= world.load.lengthMs) {
            watched.longestFinalIdleWaitMs = std::max(watched.longestFinalIdleWaitMs, waitedMs);
        }
    }
}

std::size_t countRequests(const replay &world, bool isLong)
{
    return static_cast<std::size_t>(std::count_if(
        world.adviceRequests.begin(), world.adviceRequests.end(), [isLong](const replay_advice_request &open) {
            return open.isLong == isLong;
        }));
}

advice_capacity freeAdvisors(const replay &world)
{
    const std::size_t usedLong = countRequests(world, true);
    const std::size_t longLimit =
        longRequestLimit(world.load.advisors, world.shortRequests, clockOf(world.nowMs).uptime);
    advice_capacity capacity;
    capacity.free = world.load.advisors - std::min(world.load.advisors, world.adviceRequests.size());
    capacity.freeForLong = std::min(capacity.free, longLimit - std::min(longLimit, usedLong));
    return capacity;
}

std::chrono::nanoseconds threadTime()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

placement_outcome placeMeasured(replay &world, pass_meter &meter)
{
    pass_cost cost;
    cost.atMs = world.nowMs;
    cost.waitingJobs = countWaiting(world);
    const advice_capacity capacity = freeAdvisors(world);
    const std::uint64_t allocationsBefore = meter.countAllocations();
    const std::chrono::nanoseconds before = threadTime();
    placement_outcome outcome = placeWaiting(world.state, capacity, clockOf(world.nowMs));
    cost.processorTime = threadTime() - before;
    cost.allocations = meter.countAllocations() - allocationsBefore;
    cost.placedTasks = outcome.placed.size();
    meter.passes.push_back(cost);
    return outcome;
}

void place(replay &world, pass_meter *meter)
{
    placement_outcome outcome = meter != nullptr ? placeMeasured(world, *meter)
                                                 : placeWaiting(world.state, freeAdvisors(world), clockOf(world.nowMs));
    for (placed_run *run : outcome.placed) {
        beginRun(world, *run);
    }
    for (advice_request &request : outcome.adviceRequests) {
        const replay_job &job = *world.byKey.at(request.step.job);
        const auto took = adviceTime(*job.accepted.policy.advice, request.workers.size());
        world.adviceRequests.push_back({std::move(request),
                                        world.nowMs + static_cast<std::int64_t>(took.count()) + 2,
                                        takesLong(*job.accepted.policy.advice)});
    }
    recordShortRequests(world.shortRequests, countRequests(world, false), clockOf(world.nowMs).uptime);
}

/// Takes the place of the store of a cell: marks all changes as stored and removes final jobs.
void storeChanges(replay &world)
{
    std::vector<cell_job_ptr> changed;
    changed.swap(world.state.changed);
    for (const cell_job_ptr &job : changed) {
        job->queuedForWrite = false;
        job->storedChanges = job->changes;
        if (job->progress.phase == job_phase::Completed) {
            std::optional<std::int64_t> &completedMs = world.byKey.at(job->accepted.key)->completedMs;
            completedMs = completedMs.value_or(world.nowMs);
        }
        removeIfFinished(world.state, *job);
    }
}

/// Share of its value that a job has earned.
double earnedShareOf(const replay_job &job)
{
    if (!job.completedMs) {
        return 0;
    }
    const auto took = static_cast<double>(*job.completedMs - job.arrivesMs);
    const auto objective = static_cast<double>(job.objectiveMs);
    if (took <= objective) {
        return 1;
    }
    return took <= lateFactor * objective ? job.queue->lateValueShare : 0;
}

/// Counts the results of the largest tenth of the jobs of one queue.
void countLargest(std::vector<const replay_job *> jobs, replay_figures &figures)
{
    std::sort(jobs.begin(), jobs.end(), [](const replay_job *left, const replay_job *right) {
        return left->work > right->work;
    });
    jobs.resize((jobs.size() + 9) / 10);
    for (const replay_job *job : jobs) {
        ++figures.largestJobs;
        figures.largestAttainable += job->jobValue;
        const double share = earnedShareOf(*job);
        figures.largestServed += share > 0 ? 1 : 0;
        figures.largestEarned += share * job->jobValue;
    }
}

std::vector<replay_figures> count(const replay &world)
{
    std::vector<replay_figures> all;
    for (const replay_queue &queue : world.load.queues) {
        replay_figures figures;
        figures.queue = queue.name;
        figures.uneven = world.uneven;
        std::vector<const replay_job *> counted;
        for (const replay_job &job : world.jobs) {
            if (job.queue != &queue) {
                continue;
            }
            figures.longestIdleWaitMs = std::max(figures.longestIdleWaitMs, job.longestIdleWaitMs);
            figures.longestFinalIdleWaitMs = std::max(figures.longestFinalIdleWaitMs, job.longestFinalIdleWaitMs);
            if (job.alwaysFails) {
                continue;
            }
            ++figures.jobs;
            figures.attainable += job.jobValue;
            const double share = earnedShareOf(job);
            figures.inTime += share == 1 ? 1 : 0;
            figures.late += share > 0 && share < 1 ? 1 : 0;
            figures.earned += share * job.jobValue;
            counted.push_back(&job);
        }
        countLargest(std::move(counted), figures);
        all.push_back(figures);
    }
    return all;
}

} // namespace

std::vector<replay_figures>
replayLoad(const replay_load &load, const cell_policy &policy, std::uint64_t seed, pass_meter *meter)
{
    replay world{load, std::mt19937_64(seed), {}, {}, {}, {}, {}, {}, {}, false, 0};
    world.state.policy = policy;
    if (load.waitingJobs == 0) {
        drawArrivals(world);
    }
    addWorkers(world);
    drawFaulty(world);
    const std::int64_t endMs = load.lengthMs + (load.waitingJobs == 0 ? finishMs : 0);
    for (std::size_t next = 0; world.nowMs < endMs; world.nowMs += load.passMs) {
        for (; next < world.jobs.size() && world.jobs[next].arrivesMs <= world.nowMs; ++next) {
            addJob(world.state, world.jobs[next].accepted, {});
        }
        if (load.waitingJobs > 0) {
            next = refillWaiting(world);
        }
        answerAdviceRequests(world);
        advanceRuns(world);
        if (world.nowMs % reportMs == 0) {
            report(world);
        }
        if (world.nowMs % upkeepMs == 0) {
            assessUnevenness(world.state);
            world.uneven = world.uneven || world.state.unevenWorkers;
            world.state.policy.matchesSpeeds = policy.matchesSpeeds && world.state.unevenWorkers;
        }
        place(world, meter);
        storeChanges(world);
        watchIdleWaits(world);
    }
    return count(world);
}

double earnedShare(const std::vector<replay_figures> &figures)
{
    double attainable = 0;
    double earned = 0;
    for (const replay_figures &entry : figures) {
        attainable += entry.attainable;
        earned += entry.earned;
    }
    return attainable > 0 ? earned / attainable : 0;
}

replay_load paguriLoad()
{
    replay_load load;
    load.name = "Paguri";
    replay_queue manifests;
    manifests.name = "manifest-build";
    manifests.priority = 1;
    manifests.jobsPerSecond = 1.4; // 1.18 jobs of 1.2 steps.
    manifests.meanTasks = 8;
    manifests.taskLimit = 48;
    manifests.meanMs = 6200;
    manifests.durationLimitMs = 16000;
    manifests.meanCores = 4.5;
    manifests.coreLimit = 7.6;
    manifests.gangShare = 1;
    manifests.estimateError = 0.9;
    manifests.failureShare = 0.02;
    manifests.alwaysFailsShare = 0.03;
    manifests.attempts = 3;
    manifests.stretch = 2.2;
    manifests.targetMs = 1000;
    manifests.jobValue = 13.3;
    manifests.adviceMs = 550;
    manifests.adviceMsForWorker = 7.9;
    manifests.suitableShare = 0.25;
    replay_queue quotes;
    quotes.name = "agent-quotes";
    quotes.priority = 2;
    quotes.jobsPerSecond = 8.2; // 5.46 jobs of 1.5 steps.
    quotes.meanTasks = 10;
    quotes.taskLimit = 60;
    quotes.meanMs = 2700;
    quotes.durationLimitMs = 6800;
    quotes.meanCores = 0.98;
    quotes.coreLimit = 2.9;
    quotes.estimateError = 0.9;
    quotes.failureShare = 0.02;
    quotes.attempts = 4;
    quotes.stretch = 4;
    quotes.targetMs = 3000;
    quotes.jobValue = 1.8;
    quotes.adviceMs = 57;
    quotes.adviceMsForWorker = 0.82;
    quotes.suitableShare = 0.45;
    replay_queue bookings;
    bookings.name = "booking-confirm";
    bookings.priority = 0;
    bookings.jobsPerSecond = 30.9;
    bookings.meanTasks = 2;
    bookings.taskLimit = 12;
    bookings.meanMs = 1000;
    bookings.durationLimitMs = 2500;
    bookings.meanCores = 1.4;
    bookings.coreLimit = 4.2;
    bookings.gangShare = 0.3;
    bookings.estimateError = 0.2;
    bookings.failureShare = 0.05;
    bookings.alwaysFailsShare = 0.01;
    bookings.attempts = 4;
    bookings.stretch = 1.5;
    bookings.targetMs = 250;
    bookings.jobValue = 0.444;
    bookings.adviceMs = 10;
    bookings.adviceMsForWorker = 0.14;
    bookings.suitableShare = 0.7;
    load.queues = {manifests, quotes, bookings};
    load.bursts = {
        {"booking-confirm", 5000, 4000, 2.2}, {"agent-quotes", 4600, 5000, 2.2}, {"manifest-build", 20000, 4000, 1.8}};
    return load;
}

replay_load pompamassettoLoad()
{
    replay_load load = paguriLoad();
    load.name = "Pompamassetto";
    load.coresPerWorker = 64;
    replay_queue &plans = load.queues[0];
    plans.name = "weekly-route-plan";
    plans.jobsPerSecond = 2.2; // 1.81 jobs of 1.2 steps.
    plans.meanMs = 4000;
    plans.durationLimitMs = 10000;
    plans.meanCores = 18;
    plans.coreLimit = 30;
    plans.estimateError = 0.2;
    plans.failureShare = 0.005;
    plans.attempts = 2;
    plans.jobValue = 11;
    plans.adviceMs = 360;
    plans.adviceMsForWorker = 5.2;
    replay_queue &allocations = load.queues[1];
    allocations.name = "pump-allocation";
    allocations.jobsPerSecond = 10.2; // 6.8 jobs of 1.5 steps.
    allocations.meanMs = 2200;
    allocations.durationLimitMs = 5400;
    allocations.meanCores = 3.9;
    allocations.coreLimit = 12;
    allocations.failureShare = 0.005;
    allocations.alwaysFailsShare = 0.03;
    allocations.jobValue = 1.83;
    allocations.adviceMs = 46;
    allocations.adviceMsForWorker = 0.66;
    replay_queue &checks = load.queues[2];
    checks.name = "avail-check";
    checks.jobsPerSecond = 38.6;
    checks.meanMs = 800;
    checks.durationLimitMs = 2000;
    checks.meanCores = 5.6;
    checks.coreLimit = 17;
    checks.estimateError = 0.5;
    checks.attempts = 3;
    checks.jobValue = 0.452;
    checks.adviceMs = 8.1;
    checks.adviceMsForWorker = 0.12;
    load.bursts = {{"avail-check", 5000, 4000, 2.2},
                   {"pump-allocation", 4600, 5000, 2.2},
                   {"weekly-route-plan", 20000, 4000, 1.8}};
    return load;
}

replay_load grownPaguriLoad()
{
    replay_load load = paguriLoad();
    load.name = "grown Paguri";
    load.workers = 350;
    load.advisors = 32;
    replay_queue &manifests = load.queues[0];
    manifests.jobsPerSecond = 4.5; // 3.76 jobs of 1.2 steps.
    manifests.meanTasks = 20;
    manifests.taskLimit = 120;
    manifests.adviceMs = 715;
    manifests.adviceMsForWorker = 10.14;
    replay_queue &quotes = load.queues[1];
    quotes.jobsPerSecond = 14.8; // 9.86 jobs of 1.5 steps.
    quotes.meanTasks = 25;
    quotes.taskLimit = 150;
    quotes.meanCores = 1.7;
    quotes.coreLimit = 5.2;
    quotes.jobValue = 2.62;
    quotes.adviceMs = 130;
    quotes.adviceMsForWorker = 1.82;
    replay_queue &bookings = load.queues[2];
    bookings.jobsPerSecond = 88.3;
    bookings.meanTasks = 3;
    bookings.taskLimit = 19;
    bookings.meanCores = 2.5;
    bookings.coreLimit = 7.4;
    bookings.jobValue = 0.409;
    bookings.adviceMs = 14.3;
    bookings.adviceMsForWorker = 0.208;
    return load;
}

replay_load grownPompamassettoLoad()
{
    replay_load load = pompamassettoLoad();
    load.name = "grown Pompamassetto";
    load.workers = 350;
    load.advisors = 36;
    load.ticketMs = 2500;
    replay_queue &plans = load.queues[0];
    plans.jobsPerSecond = 5.7; // 4.77 jobs of 1.2 steps.
    plans.meanTasks = 20;
    plans.taskLimit = 120;
    plans.meanMs = 5000;
    plans.durationLimitMs = 12000;
    plans.jobValue = 12.7;
    plans.adviceMs = 559;
    plans.adviceMsForWorker = 8.06;
    replay_queue &allocations = load.queues[1];
    allocations.jobsPerSecond = 11.8; // 7.89 jobs of 1.5 steps.
    allocations.meanTasks = 25;
    allocations.taskLimit = 150;
    allocations.meanMs = 3400;
    allocations.durationLimitMs = 8400;
    allocations.meanCores = 6.9;
    allocations.coreLimit = 21;
    allocations.failureShare = 0.02;
    allocations.alwaysFailsShare = 0;
    allocations.attempts = 2;
    allocations.jobValue = 4.81;
    allocations.adviceMs = 156;
    allocations.adviceMsForWorker = 2.34;
    replay_queue &checks = load.queues[2];
    checks.jobsPerSecond = 138;
    checks.meanTasks = 3;
    checks.taskLimit = 19;
    checks.meanMs = 640;
    checks.durationLimitMs = 1600;
    checks.meanCores = 9.9;
    checks.coreLimit = 30;
    checks.alwaysFailsShare = 0;
    checks.attempts = 4;
    checks.jobValue = 0.386;
    checks.adviceMs = 9.36;
    checks.adviceMsForWorker = 0.13;
    return load;
}

replay_load tailedUnevenLoad()
{
    replay_load load = grownPaguriLoad();
    load.name = "uneven with tails";
    load.advisors = 39;
    load.workerSpeeds = {0.6, 1, 1.6};
    replay_queue &gangs = load.queues[0];
    gangs.name = "large-gangs";
    gangs.jobsPerSecond = 4.98; // 4.15 jobs of 1.2 steps.
    gangs.meanMs = 4200;
    gangs.durationLimitMs = 10500;
    gangs.estimateError = 0.5;
    gangs.jobValue = 8.7;
    gangs.adviceMs = 559;
    gangs.adviceMsForWorker = 8.06;
    replay_queue &wide = load.queues[1];
    wide.name = "wide-jobs";
    wide.jobsPerSecond = 6.94;
    wide.meanMs = 2900;
    wide.durationLimitMs = 7300;
    wide.estimateError = 0.5;
    wide.jobValue = 3.25;
    wide.adviceMs = 156;
    wide.adviceMsForWorker = 2.34;
    replay_queue &urgent = load.queues[2];
    urgent.name = "urgent-jobs";
    urgent.jobsPerSecond = 77.7;
    urgent.meanMs = 850;
    urgent.durationLimitMs = 2100;
    urgent.estimateError = 0.2;
    urgent.jobValue = 0.407;
    for (replay_queue &queue : load.queues) {
        queue.taskSpread = 0.2;
        queue.tailShare = 0.03;
        queue.tailFactor = 7;
    }
    load.bursts = {
        {"urgent-jobs", 5000, 4000, 1.9}, {"wide-jobs", 12000, 4000, 1.7}, {"large-gangs", 20000, 4000, 1.8}};
    return load;
}

replay_load largeUnevenLoad()
{
    replay_load load = tailedUnevenLoad();
    load.name = "uneven, large";
    load.coresPerWorker = 64;
    load.workerSpeeds = {0.8, 1, 1.25};
    replay_queue &gangs = load.queues[0];
    gangs.jobsPerSecond = 3.42; // 2.85 jobs of 1.2 steps.
    gangs.meanMs = 6200;
    gangs.durationLimitMs = 15500;
    gangs.meanCores = 18;
    gangs.coreLimit = 30;
    gangs.estimateError = 0.2;
    gangs.jobValue = 11.1;
    gangs.adviceMs = 702;
    gangs.adviceMsForWorker = 10.01;
    replay_queue &wide = load.queues[1];
    wide.jobsPerSecond = 16;
    wide.meanMs = 2200;
    wide.durationLimitMs = 5500;
    wide.meanCores = 6.9;
    wide.coreLimit = 21;
    wide.estimateError = 0.2;
    wide.jobValue = 2.15;
    wide.adviceMs = 104;
    wide.adviceMsForWorker = 1.43;
    replay_queue &urgent = load.queues[2];
    urgent.jobsPerSecond = 66.1;
    urgent.meanMs = 1000;
    urgent.durationLimitMs = 2500;
    urgent.meanCores = 9.9;
    urgent.coreLimit = 30;
    urgent.estimateError = 0.9;
    urgent.jobValue = 0.419;
    for (replay_queue &queue : load.queues) {
        queue.tailShare = 0;
    }
    load.bursts = {{"wide-jobs", 5000, 6500, 2}, {"urgent-jobs", 18000, 6500, 1.9}};
    return load;
}

} // namespace sesamespar::measure
