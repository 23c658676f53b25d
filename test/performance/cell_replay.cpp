#include "cell_replay.h"

#include "term/job_placement.h"
#include "term/run_lifecycle.h"
#include "term/worker_speed.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <numeric>
#include <random>

namespace sesamespar::measure {

namespace {

constexpr std::int64_t utcStart = 1700000000000;
/// Interval of the passes of placement, and of the reports of each worker.
constexpr std::int64_t passMs = 25;
constexpr std::int64_t reportMs = 300;
/// From a decision to the start on the worker: a transaction and a call.
constexpr std::int64_t startMs = 25;
/// Work that is still waiting when no more arrives is given this long.
constexpr std::int64_t finishMs = 14000;
constexpr double mostWorth = 4; ///< Of a large job, times its queue's worth.
constexpr double fixedWorth = 0.3; ///< Part of a job's worth that does not depend on its size.
constexpr double lateFactor = 3;
constexpr double wholeWork = 100;

/// A job with what only the world knows of it.
struct replay_job {
    accepted_job accepted;
    const replay_queue *queue = nullptr;
    std::int64_t arrivesMs = 0;
    std::int64_t taskMs = 0; ///< True duration of each task.
    bool hopeless = false;
    double worth = 0;
    std::int64_t objectiveMs = 0;
};

/// A run that the world plays.
struct replay_run {
    std::int64_t beganMs = 0;
    double doneMs = 0; ///< Work done so far.
    double failsAtMs = -1; ///< Work after which it fails; negative if it does not.
};

/// A question that the advisor works on.
struct replay_question {
    advice_question question;
    std::int64_t answeredMs = 0;
    bool isLong = false;
};

struct replay {
    const replay_load &load;
    std::mt19937_64 random;
    cell_state state;
    std::vector<replay_job> jobs;
    std::map<job_key, const replay_job *> byKey;
    std::map<const placed_run *, replay_run> runs;
    std::vector<replay_question> questions;
    std::map<job_key, std::int64_t> completedMs;
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
double draw(std::mt19937_64 &random, double mean, double most, double spread)
{
    std::lognormal_distribution<double> distribution(std::log(mean) - spread * spread / 2, spread);
    return std::min(most, distribution(random));
}

double rateAt(const replay_load &load, const replay_queue &queue, std::int64_t nowMs)
{
    double rate = queue.jobsPerSecond;
    for (const replay_burst &burst : load.bursts) {
        const bool meant = burst.queue.empty() || burst.queue == queue.name;
        if (meant && nowMs >= burst.atMs && nowMs < burst.atMs + burst.forMs) {
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

replay_job drawJob(replay &world, const replay_queue &queue, std::int64_t atMs)
{
    constexpr double widthSpread = 0.7;
    constexpr double sizeSpread = 0.45;
    replay_job job;
    job.queue = &queue;
    job.arrivesMs = atMs;
    job.hopeless = uniform(world.random) < queue.hopelessShare;
    job_step step;
    step.count = static_cast<std::uint32_t>(
        std::max(1.0, std::round(draw(world.random, queue.meanTasks, queue.mostTasks, widthSpread))));
    const double cores = draw(world.random, queue.meanCores, queue.mostCores, sizeSpread);
    step.need.processors.value = static_cast<std::int64_t>(cores * 1000);
    step.gang = uniform(world.random) < queue.gangShare;
    const double duration = draw(world.random, queue.meanMs, queue.mostMs, sizeSpread);
    job.taskMs = std::max<std::int64_t>(20, static_cast<std::int64_t>(duration));
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
    if (queue.goodShare < 1) {
        advice_timing terms;
        terms.decide = std::chrono::duration<double, std::milli>(queue.adviceMs);
        terms.perWorker = std::chrono::duration<double, std::milli>(queue.adviceMsForWorker);
        terms.valid = milliseconds(1500);
        policy.advice = terms;
    }
    constexpr int adviceWorkers = 30;
    const double chain = static_cast<double>(job.taskMs) + queue.adviceMs + adviceWorkers * queue.adviceMsForWorker;
    job.objectiveMs = static_cast<std::int64_t>(queue.stretch * chain) + queue.targetMs;
    const double meanWork = queue.meanTasks * queue.meanMs * queue.meanCores;
    const double work = step.count * duration * cores / meanWork;
    job.worth = queue.worth * std::min(mostWorth, fixedWorth + (1 - fixedWorth) * work);
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
    for (const replay_job &job : world.jobs) {
        world.byKey.emplace(job.accepted.key, &job);
    }
}

void addWorkers(replay &world)
{
    for (std::size_t number = 0; number < world.load.workers; ++number) {
        auto worker = std::make_unique<cell_worker>();
        worker->id = worker_id("w" + std::to_string(1000 + number));
        worker->service = service_id("s");
        worker->capacity = {millicores(world.load.coresPerWorker * 1000), mebibytes(1048576), accelerators(0)};
        worker->listed = true;
        worker->seen = true;
        worker->birth = worker_birth(1);
        world.state.workers[worker->id] = std::move(worker);
    }
}

/// Share in [0, 1) that belongs to a text for good.
double shareOf(const std::string &text)
{
    std::mt19937 random(static_cast<std::uint32_t>(std::hash<std::string>()(text)));
    constexpr double range = 4294967296.0;
    return static_cast<double>(random()) / range;
}

const replay_fault *faultOf(const replay &world, const cell_worker &worker)
{
    for (const replay_fault &fault : world.load.faults) {
        const bool during = world.nowMs >= fault.atMs && world.nowMs < fault.atMs + fault.forMs;
        if (during && shareOf(worker.id.value + std::to_string(fault.atMs)) < fault.share) {
            return &fault;
        }
    }
    return nullptr;
}

void beginRun(replay &world, placed_run &run)
{
    const replay_job &job = *world.byKey.at(run.job->accepted.key);
    replay_run began;
    began.beganMs = world.nowMs + startMs;
    const replay_fault *fault = faultOf(world, *run.worker);
    const bool failing = job.hopeless || (fault != nullptr && fault->failsAll);
    if (failing || uniform(world.random) < job.queue->failureShare) {
        began.failsAtMs = uniform(world.random) * static_cast<double>(job.taskMs);
    }
    run.state = run_state::Running;
    run.sent = true;
    world.runs[&run] = began;
}

void finishRun(replay &world, placed_run &run, run_end how)
{
    world.runs.erase(&run);
    endRun(world.state, run, how, {}, clockOf(world.nowMs));
}

/// Moves all runs on by one pass. The members of a gang go at the pace of its slowest worker.
void advanceRuns(replay &world)
{
    std::map<const cell_job *, double> gangPace;
    const auto paceOf = [&world](const placed_run &run) {
        const replay_fault *fault = faultOf(world, *run.worker);
        return fault == nullptr || fault->failsAll ? 1.0 : 1.0 / fault->slowdown;
    };
    for (const auto &[run, played] : world.runs) {
        double &pace = gangPace.try_emplace(run->job, 1.0).first->second;
        pace = std::min(pace, paceOf(*run));
    }
    std::vector<std::pair<placed_run *, run_end>> over;
    for (auto &[known, played] : world.runs) {
        auto *run = const_cast<placed_run *>(known);
        if (run->state == run_state::Stopping) {
            over.emplace_back(run, run_end::Stopped);
            continue;
        }
        if (world.nowMs < played.beganMs) {
            continue;
        }
        const bool gang = run->job->accepted.job.steps.front().gang;
        played.doneMs += static_cast<double>(passMs) * (gang ? gangPace.at(run->job) : paceOf(*run));
        const auto taskMs = static_cast<double>(world.byKey.at(run->job->accepted.key)->taskMs);
        if (played.failsAtMs >= 0 && played.doneMs >= played.failsAtMs) {
            over.emplace_back(run, run_end::Failed);
        } else if (played.doneMs >= taskMs) {
            over.emplace_back(run, run_end::Done);
        }
    }
    for (const auto &[run, how] : over) {
        finishRun(world, *run, how);
    }
}

void report(replay &world)
{
    for (const auto &[id, worker] : world.state.workers) {
        std::vector<reported_percent> shares;
        for (placed_run &run : worker->runs) {
            const auto played = world.runs.find(&run);
            const auto taskMs = static_cast<double>(world.byKey.at(run.job->accepted.key)->taskMs);
            const double done = played == world.runs.end() ? 0 : played->second.doneMs / taskMs;
            shares.push_back({&run, static_cast<int>(std::min(1.0, done) * wholeWork)});
        }
        judgeSpeed(world.state, *worker, shares, clockOf(world.nowMs));
    }
}

void answerQuestions(replay &world)
{
    for (const replay_question &open : world.questions) {
        if (open.answeredMs > world.nowMs) {
            continue;
        }
        const auto found = world.byKey.find(open.question.step.job);
        advice_answer answer;
        for (const worker_id &worker : open.question.workers) {
            if (shareOf(worker.value + open.question.step.job.value) < found->second->queue->goodShare) {
                answer.good.push_back({worker, advice_ticket("t")});
            }
        }
        takeAdvice(world.state, open.question, answer, clockOf(world.nowMs).uptime);
    }
    std::erase_if(world.questions, [&world](const replay_question &open) { return open.answeredMs <= world.nowMs; });
}

advice_capacity advisorsFree(const replay &world)
{
    const std::size_t usedLong = static_cast<std::size_t>(std::count_if(
        world.questions.begin(), world.questions.end(), [](const replay_question &open) { return open.isLong; }));
    const std::size_t mostLong = std::max<std::size_t>(1, world.load.advisors * 6 / 10);
    advice_capacity capacity;
    capacity.free = world.load.advisors - std::min(world.load.advisors, world.questions.size());
    capacity.freeForLong = std::min(capacity.free, mostLong - std::min(mostLong, usedLong));
    return capacity;
}

void place(replay &world)
{
    placement_outcome outcome = placeWaiting(world.state, advisorsFree(world), clockOf(world.nowMs));
    for (placed_run *run : outcome.placed) {
        beginRun(world, *run);
    }
    for (advice_question &question : outcome.questions) {
        const replay_job &job = *world.byKey.at(question.step.job);
        const auto took = adviceTime(*job.accepted.policy.advice, question.workers.size());
        world.questions.push_back(
            {std::move(question), world.nowMs + static_cast<std::int64_t>(took.count()) + 2, took > longAdvice});
    }
}

/// What the store does in a cell: all changes are written, and final jobs are forgotten.
void storeChanges(replay &world)
{
    std::vector<cell_job_ptr> changed;
    changed.swap(world.state.changed);
    for (const cell_job_ptr &job : changed) {
        job->queuedForWrite = false;
        job->storedChanges = job->changes;
        if (job->progress.phase == job_phase::Completed) {
            world.completedMs.try_emplace(job->accepted.key, world.nowMs);
        }
        forgetIfOver(world.state, *job);
    }
}

std::vector<replay_figures> count(const replay &world)
{
    std::vector<replay_figures> all;
    for (const replay_queue &queue : world.load.queues) {
        replay_figures figures;
        figures.queue = queue.name;
        for (const replay_job &job : world.jobs) {
            if (job.queue != &queue || job.hopeless) {
                continue;
            }
            ++figures.jobs;
            figures.owed += job.worth;
            const auto completed = world.completedMs.find(job.accepted.key);
            if (completed == world.completedMs.end()) {
                continue;
            }
            const auto took = static_cast<double>(completed->second - job.arrivesMs);
            const auto objective = static_cast<double>(job.objectiveMs);
            if (took <= objective) {
                ++figures.inTime;
                figures.earned += job.worth;
            } else if (took <= lateFactor * objective) {
                ++figures.late;
                figures.earned += job.worth * queue.lateWorth;
            }
        }
        all.push_back(figures);
    }
    return all;
}

} // namespace

std::vector<replay_figures> playLoad(const replay_load &load, const cell_policy &policy, std::uint64_t seed)
{
    replay world{load, std::mt19937_64(seed), {}, {}, {}, {}, {}, {}, 0};
    world.state.policy = policy;
    drawArrivals(world);
    addWorkers(world);
    std::size_t next = 0;
    for (; world.nowMs < load.lengthMs + finishMs; world.nowMs += passMs) {
        for (; next < world.jobs.size() && world.jobs[next].arrivesMs <= world.nowMs; ++next) {
            addJob(world.state, world.jobs[next].accepted, {});
        }
        answerQuestions(world);
        advanceRuns(world);
        if (world.nowMs % reportMs == 0) {
            report(world);
        }
        place(world);
        storeChanges(world);
    }
    return count(world);
}

double earnedShare(const std::vector<replay_figures> &figures)
{
    double owed = 0;
    double earned = 0;
    for (const replay_figures &entry : figures) {
        owed += entry.owed;
        earned += entry.earned;
    }
    return owed > 0 ? earned / owed : 0;
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
    manifests.mostTasks = 48;
    manifests.meanMs = 6200;
    manifests.mostMs = 16000;
    manifests.meanCores = 4.5;
    manifests.mostCores = 7.6;
    manifests.gangShare = 1;
    manifests.estimateError = 0.9;
    manifests.failureShare = 0.02;
    manifests.hopelessShare = 0.03;
    manifests.attempts = 3;
    manifests.stretch = 2.2;
    manifests.targetMs = 1000;
    manifests.worth = 13.3;
    manifests.adviceMs = 550;
    manifests.adviceMsForWorker = 7.9;
    manifests.goodShare = 0.25;
    replay_queue quotes;
    quotes.name = "agent-quotes";
    quotes.priority = 2;
    quotes.jobsPerSecond = 8.2; // 5.46 jobs of 1.5 steps.
    quotes.meanTasks = 10;
    quotes.mostTasks = 60;
    quotes.meanMs = 2700;
    quotes.mostMs = 6800;
    quotes.meanCores = 0.98;
    quotes.mostCores = 2.9;
    quotes.estimateError = 0.9;
    quotes.failureShare = 0.02;
    quotes.attempts = 4;
    quotes.stretch = 4;
    quotes.targetMs = 3000;
    quotes.worth = 1.8;
    quotes.adviceMs = 57;
    quotes.adviceMsForWorker = 0.82;
    quotes.goodShare = 0.45;
    replay_queue bookings;
    bookings.name = "booking-confirm";
    bookings.priority = 0;
    bookings.jobsPerSecond = 30.9;
    bookings.meanTasks = 2;
    bookings.mostTasks = 12;
    bookings.meanMs = 1000;
    bookings.mostMs = 2500;
    bookings.meanCores = 1.4;
    bookings.mostCores = 4.2;
    bookings.gangShare = 0.3;
    bookings.estimateError = 0.2;
    bookings.failureShare = 0.05;
    bookings.hopelessShare = 0.01;
    bookings.attempts = 4;
    bookings.stretch = 1.5;
    bookings.targetMs = 250;
    bookings.worth = 0.444;
    bookings.adviceMs = 10;
    bookings.adviceMsForWorker = 0.14;
    bookings.goodShare = 0.7;
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
    plans.mostMs = 10000;
    plans.meanCores = 18;
    plans.mostCores = 30;
    plans.estimateError = 0.2;
    plans.failureShare = 0.005;
    plans.attempts = 2;
    plans.worth = 11;
    plans.adviceMs = 360;
    plans.adviceMsForWorker = 5.2;
    replay_queue &allocations = load.queues[1];
    allocations.name = "pump-allocation";
    allocations.jobsPerSecond = 10.2; // 6.8 jobs of 1.5 steps.
    allocations.meanMs = 2200;
    allocations.mostMs = 5400;
    allocations.meanCores = 3.9;
    allocations.mostCores = 12;
    allocations.failureShare = 0.005;
    allocations.hopelessShare = 0.03;
    allocations.worth = 1.83;
    allocations.adviceMs = 46;
    allocations.adviceMsForWorker = 0.66;
    replay_queue &checks = load.queues[2];
    checks.name = "avail-check";
    checks.jobsPerSecond = 38.6;
    checks.meanMs = 800;
    checks.mostMs = 2000;
    checks.meanCores = 5.6;
    checks.mostCores = 17;
    checks.estimateError = 0.5;
    checks.attempts = 3;
    checks.worth = 0.452;
    checks.adviceMs = 8.1;
    checks.adviceMsForWorker = 0.12;
    load.bursts = {{"avail-check", 5000, 4000, 2.2},
                   {"pump-allocation", 4600, 5000, 2.2},
                   {"weekly-route-plan", 20000, 4000, 1.8}};
    return load;
}

} // namespace sesamespar::measure
