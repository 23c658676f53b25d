// Plays random loads with an advisor of limited speed on cells of 120 to 350 workers, with faults of workers, daemons
// and the advisor, and checks that jobs that fit start in time. Guards against accepted jobs that wait for ever on a
// half idle cell, which happened when all jobs asked the advisor about the same workers. RC_PARAMS sets the first seed
// and the number of cases.
#include "../fixtures/cell_simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <numeric>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

/// Interval between two checks for steps that wait although they fit.
constexpr std::int64_t checkInterval = 20;
/// Allowance for everything but the advisor: passes, writes to the store, hops between daemons and starts.
constexpr std::int64_t fixedAllowance = 300;
/// Time after which the leader considers a response of the advisor lost, beyond the expected time of the request.
constexpr std::int64_t lostResponseTime = 600;
/// Time after which a leader that was killed is replaced and its successor has polled the workers: the lease of 1 s,
/// the candidates' checks, the recovery and the first polls.
constexpr std::int64_t takeoverTime = 4000;
/// Time for which a daemon that did not respond gets no requests, which leaves one advisor fewer.
constexpr std::int64_t avoidedTime = 3000;
/// Time after which a killed daemon is no longer registered. Until then the leader may send it further requests.
constexpr std::int64_t registrationTime = 5000;
/// Time after which a killed or restarted worker and its lost runs are known to the leader: two polls without a reply.
constexpr std::int64_t workerLossTime = 3500;
/// Time after which gang members on a lost worker have ended on all the others.
constexpr std::int64_t gangLossTime = 4000;

/// Time for which jobs are submitted.
constexpr std::int64_t loadTime = 15000;

const std::string gangPrefix = "/gangs/";

/// Returns the value of NAME=VALUE in RC_PARAMS.
std::uint64_t parameter(const std::string &name, std::uint64_t fallback)
{
    const char *text = std::getenv("RC_PARAMS");
    const std::string all = text == nullptr ? "" : text;
    const std::size_t at = all.find(name + "=");
    return at == std::string::npos ? fallback : std::strtoull(all.c_str() + at + name.size() + 1, nullptr, 10);
}

std::int64_t randomInt(simulated_cell &cell, std::int64_t from, std::int64_t to)
{
    return std::uniform_int_distribution<std::int64_t>(from, to)(cell.random);
}

std::size_t randomIndex(simulated_cell &cell, std::size_t size)
{
    return static_cast<std::size_t>(randomInt(cell, 0, static_cast<std::int64_t>(size) - 1));
}

/// A step that waits although it fits.
struct idle_wait {
    std::int64_t since = 0;
    std::int64_t competing = 0; ///< Largest total of the advisor's times for the steps that waited at the same time.
};

/// Checks that steps that fit start in time.
struct liveness_check {
    std::map<job_step_id, idle_wait> waits;
    std::int64_t disturbedUntil = 0; ///< Waits are counted from the end of the effects of the latest fault.
    std::int64_t longest = 0;
    double largestShare = 0; ///< Largest ratio of a wait to its bound.
    std::int64_t nextAt = 0;
    std::size_t jobs = 0;
    std::int64_t peakUsePercent = 0;
    std::size_t mostWaiting = 0;
};

std::size_t countLiveDaemons(const simulated_cell &cell)
{
    return static_cast<std::size_t>(
        std::count_if(cell.daemons.begin(), cell.daemons.end(), [](const auto &daemon) { return daemon->alive; }));
}

/// Times of the advisor for the steps of a job.
const advice_timing &timingOf(const simulated_cell &cell, const simulated_job &job)
{
    const auto found = std::find_if(cell.configuration->queues.begin(),
                                    cell.configuration->queues.end(),
                                    [&job](const auto &queue) { return queue.pathPrefix == job.prefix; });
    return *found->policy.advice;
}

/// Time of a request that names as many workers as possible.
std::int64_t longestRequest(const advice_timing &timing)
{
    return static_cast<std::int64_t>(
        (timing.decide + timing.perWorker * static_cast<double>(maxAdviceWorkers)).count());
}

/// Time of the longest request of any queue.
std::int64_t longestRequest(const simulated_cell &cell)
{
    std::int64_t longest = 0;
    for (const queue_declaration &queue : cell.configuration->queues) {
        longest = std::max(longest, longestRequest(*queue.policy.advice));
    }
    return longest;
}

/// Time of the advisor for a step that asks about all workers in requests of the maximum length, and then for new
/// tickets.
std::int64_t advisorTime(const simulated_cell &cell, const simulated_job &job)
{
    const std::size_t requests = (cell.workers.size() + maxAdviceWorkers - 1) / maxAdviceWorkers + 1;
    return static_cast<std::int64_t>(requests) * longestRequest(timingOf(cell, job));
}

/// Time within which a step that fits starts: the advisor's time for it, and that for all waiting steps divided by the
/// number of daemons that may send long requests, at least half of all.
std::int64_t startBound(const simulated_cell &cell, const simulated_job &job, std::int64_t competing)
{
    const auto advisors = static_cast<std::int64_t>(std::max<std::size_t>(1, countLiveDaemons(cell) / 2));
    return advisorTime(cell, job) + competing / advisors + fixedAllowance;
}

/// Resources in use on a worker.
resources usedOn(const simulated_cell &cell, const fake_worker &worker)
{
    resources used{};
    for (const auto &[task, run] : worker.running) {
        used = used + cell.jobs.at(task.job).job.steps[task.step].need;
    }
    return used;
}

bool acceptsWork(const fake_worker &worker)
{
    return worker.up && worker.listed && worker.reachable && !worker.draining;
}

/// True if the step of an accepted job may start and no task of it was started yet.
bool isWaiting(const job_key &key, const simulated_job &job, std::uint32_t step)
{
    if (!job.acknowledged || job.startedSteps.contains(step)) {
        return false;
    }
    const std::vector<std::uint32_t> &after = job.job.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        for (std::uint32_t index = 0; index < job.job.steps[earlier].count; ++index) {
            if (!job.done.contains({key, earlier, index})) {
                return false;
            }
        }
        return true;
    });
}

/// Records the steps that wait longer than the bound although they fit twice over and less than half of the cell is in
/// use.
void checkWaits(simulated_cell &cell, liveness_check &check)
{
    std::vector<resources> free;
    std::int64_t total = 0;
    std::int64_t used = 0;
    for (const auto &worker : cell.workers) {
        const resources usage = usedOn(cell, *worker);
        free.push_back(cell.settings.capacity - usage);
        total += acceptsWork(*worker) ? cell.settings.capacity.processors.value : 0;
        used += usage.processors.value;
    }
    std::vector<job_step_id> waiting;
    for (const auto &[key, job] : cell.jobs) {
        for (std::uint32_t step = 0; step < job.job.steps.size(); ++step) {
            if (isWaiting(key, job, step)) {
                waiting.push_back({key, step});
            }
        }
    }
    check.jobs = cell.jobs.size();
    check.peakUsePercent = std::max(check.peakUsePercent, 100 * used / total);
    check.mostWaiting = std::max(check.mostWaiting, waiting.size());
    const std::int64_t competing =
        std::accumulate(waiting.begin(), waiting.end(), std::int64_t{0}, [&cell](std::int64_t sum, const auto &id) {
            return sum + advisorTime(cell, cell.jobs.at(id.job));
        });
    std::map<job_step_id, idle_wait> waits;
    for (const job_step_id &id : waiting) {
        const job_step &step = cell.jobs.at(id.job).job.steps[id.step];
        std::int64_t fit = 0;
        for (std::size_t number = 0; number < cell.workers.size(); ++number) {
            const fake_worker &worker = *cell.workers[number];
            if (acceptsWork(worker) && isSuitable(cell, id, worker)) {
                fit += free[number].processors.value / step.need.processors.value;
            }
        }
        if (2 * used >= total || fit < 2 * static_cast<std::int64_t>(step.count)) {
            continue;
        }
        const auto known = check.waits.find(id);
        idle_wait wait = known == check.waits.end() ? idle_wait{cell.now, 0} : known->second;
        wait.competing = std::max(wait.competing, competing);
        const std::int64_t waited = cell.now - std::max(wait.since, check.disturbedUntil);
        const std::int64_t bound = startBound(cell, cell.jobs.at(id.job), wait.competing);
        check.longest = std::max(check.longest, waited);
        check.largestShare = std::max(check.largestShare, static_cast<double>(waited) / static_cast<double>(bound));
        if (waited > bound) {
            cell.violations.push_back("a step that fits waited " + std::to_string(waited) + " ms, bound "
                                      + std::to_string(bound) + ": " + id.job.value + "." + std::to_string(id.step)
                                      + ", tasks " + std::to_string(step.count) + ", gang " + std::to_string(step.gang)
                                      + ", fits " + std::to_string(fit) + ", waiting steps "
                                      + std::to_string(waiting.size()) + ", in use "
                                      + std::to_string(100 * used / total) + "% at " + std::to_string(cell.now));
            wait.since = cell.now;
        }
        waits[id] = wait;
    }
    check.waits = std::move(waits);
}

void disturb(const simulated_cell &cell, liveness_check &check, std::int64_t effects)
{
    check.disturbedUntil = std::max(check.disturbedUntil, cell.now + effects);
}

/// Advances the simulated time and checks the waiting steps on the way.
void play(simulated_cell &cell, liveness_check &check, std::int64_t duration)
{
    for (const std::int64_t end = cell.now + duration; cell.now < end;) {
        runFor(cell, std::min(checkInterval, end - cell.now));
        if (cell.now < check.nextAt) {
            continue;
        }
        check.nextAt = cell.now + checkInterval;
        if (cell.lostAdviceRate > 0) {
            // A lost response also keeps its daemon from the leader for a time.
            disturb(cell, check, avoidedTime + longestRequest(cell) + lostResponseTime);
        }
        checkWaits(cell, check);
    }
}

/// Kills a daemon and starts another one.
void replaceDaemon(simulated_cell &cell, std::size_t number)
{
    killDaemon(cell, number);
    startDaemon(cell);
}

std::size_t randomDaemon(simulated_cell &cell)
{
    std::size_t number = randomIndex(cell, cell.daemons.size());
    while (!cell.daemons[number]->alive) {
        number = randomIndex(cell, cell.daemons.size());
    }
    return number;
}

/// Injects a random fault of workers, daemons or the advisor.
void injectFault(simulated_cell &cell, liveness_check &check)
{
    const std::int64_t request = longestRequest(cell);
    switch (randomInt(cell, 0, 6)) {
    case 0:
    case 1:
        for (int count = 0; count < 3; ++count) {
            restartWorker(cell, randomIndex(cell, cell.workers.size()));
        }
        disturb(cell, check, gangLossTime);
        break;
    case 2: {
        const std::size_t worker = randomIndex(cell, cell.workers.size());
        if (cell.workers[worker]->listed) {
            removeWorker(cell, worker);
        } else {
            restartWorker(cell, worker);
            publishWorker(cell, worker);
        }
        disturb(cell, check, workerLossTime + gangLossTime);
        break;
    }
    case 3:
        replaceDaemon(cell, randomDaemon(cell));
        disturb(cell, check, std::max(registrationTime, takeoverTime) + request + lostResponseTime);
        break;
    case 4:
        if (const auto leader = leaderOf(cell)) {
            replaceDaemon(cell, *leader);
        }
        disturb(cell, check, std::max(registrationTime, takeoverTime) + request + lostResponseTime);
        break;
    case 5:
        cell.lostAdviceRate = cell.lostAdviceRate > 0 ? 0 : 0.1;
        break;
    default:
        for (int count = 0; count < 5; ++count) {
            publishWorker(cell, addWorker(cell));
        }
        break;
    }
}

void setAdviceTimes(queue_declaration &queue, double decideMs, double perWorkerMs, std::int64_t validMs)
{
    queue.policy.advice.emplace();
    queue.policy.advice->decide = std::chrono::duration<double, std::milli>(decideMs);
    queue.policy.advice->perWorker = std::chrono::duration<double, std::milli>(perWorkerMs);
    queue.policy.advice->valid = milliseconds(validMs);
}

/// Declares a queue of small urgent jobs with quick advice and one of gangs with slow advice, as on the grown sites.
void declareQueues(simulated_cell &cell)
{
    queue_declaration quick = makeQueue(cell);
    setAdviceTimes(quick, static_cast<double>(randomInt(cell, 5, 30)), 0.2, randomInt(cell, 1000, 2500));
    quick.policy.priority = 0;
    queue_declaration gangs = makeQueue(cell);
    gangs.pathPrefix = gangPrefix;
    gangs.policy.queue.value = "gangs";
    gangs.policy.priority = 1;
    setAdviceTimes(gangs,
                   static_cast<double>(randomInt(cell, 50, 600)),
                   static_cast<double>(randomInt(cell, 1, 12)),
                   randomInt(cell, 1500, 2500));
    applyConfiguration(cell, 2, {quick, gangs});
}

/// Returns a small job, which is most often one of one second and three tasks.
stepped_job makeSmallJob(simulated_cell &cell)
{
    return makeOneStepJob(static_cast<std::uint32_t>(randomInt(cell, 1, 6)),
                          randomInt(cell, 1, 5),
                          std::to_string(randomInt(cell, 200, 3000)));
}

/// Returns a job of one or two wide steps, most often gangs. The widest gangs of the sites have 60 tasks.
stepped_job makeWideJob(simulated_cell &cell)
{
    stepped_job job = makeOneStepJob(static_cast<std::uint32_t>(randomInt(cell, 2, 60)),
                                     randomInt(cell, 1, 8),
                                     std::to_string(randomInt(cell, 500, 5000)),
                                     randomInt(cell, 0, 4) > 0);
    if (randomInt(cell, 0, 4) == 0) {
        job.steps.push_back(job.steps.front());
        job.steps.back().after = {0};
    }
    return job;
}

/// A random arrival of jobs of one kind.
struct arrivals {
    const std::string &prefix;
    stepped_job (*makeJob)(simulated_cell &cell);
    double use = 0; ///< Share of the cell that the jobs use, unless the advisor is too slow for that.
    double nextAt = 0;
};

/// Submits the jobs that are due. The time to the next one follows from the use, and from the time of the advisor, of
/// which each kind of jobs uses at most half of what the daemons can request if a job needs two long requests.
void submitDue(simulated_cell &cell, arrivals &stream)
{
    const double capacity =
        static_cast<double>(cell.settings.capacity.processors.value) * static_cast<double>(cell.settings.workers);
    while (stream.nextAt <= static_cast<double>(cell.now)) {
        const stepped_job job = stream.makeJob(cell);
        const job_key key = makeJobKey(cell.jobs.size() + 1);
        submitJob(cell, randomDaemon(cell), key, job, stream.prefix);
        double work = 0;
        for (const job_step &step : job.steps) {
            work += static_cast<double>(step.count * step.need.processors.value * step.estimate.count());
        }
        const auto requestable = static_cast<double>(cell.settings.daemons) / 2;
        const std::int64_t longest = longestRequest(timingOf(cell, cell.jobs.at(key)));
        const double advice = 2 * static_cast<double>(longest) / requestable;
        stream.nextAt += std::max(work / (stream.use * capacity), advice);
    }
}

/// True if some accepted job could run on the suitable workers of an idle cell and is not final.
std::vector<std::string> listUnfinished(const simulated_cell &cell)
{
    std::vector<std::string> unfinished;
    for (const auto &[key, job] : cell.jobs) {
        const auto phase = storedPhase(cell, key);
        bool possible = true;
        for (std::uint32_t number = 0; number < job.job.steps.size(); ++number) {
            const job_step &step = job.job.steps[number];
            std::int64_t fit = 0;
            for (const auto &worker : cell.workers) {
                if (acceptsWork(*worker) && isSuitable(cell, {key, number}, *worker)) {
                    fit += cell.settings.capacity.processors.value / step.need.processors.value;
                }
            }
            possible = possible && fit >= (step.gang ? step.count : 1);
        }
        if (job.acknowledged && possible && (!phase || !isFinal(*phase))) {
            unfinished.push_back("an accepted job is not final: " + key.value);
        }
    }
    return unfinished;
}

/// Runs one case and returns the violated guarantees.
std::vector<std::string> runCase(std::uint64_t seed, liveness_check &check)
{
    simulated_cell_settings settings;
    settings.seed = seed;
    std::mt19937_64 random(seed);
    const auto draw = [&random](std::int64_t from, std::int64_t to) {
        return std::uniform_int_distribution<std::int64_t>(from, to)(random);
    };
    settings.workers = static_cast<std::size_t>(draw(120, 350));
    settings.daemons = static_cast<std::size_t>(draw(8, 32));
    // With few suitable workers, wide gangs need most of those of the cell.
    const std::int64_t suitablePercent = draw(0, 1) == 0 ? draw(4, 20) : draw(15, 80);
    settings.advisor = simulated_advisor{static_cast<double>(suitablePercent) / 100};
    const bool faults = draw(0, 3) > 0;
    arrivals small{queuePrefix, makeSmallJob, static_cast<double>(draw(5, 40)) / 100};
    arrivals wide{gangPrefix, makeWideJob, static_cast<double>(draw(5, 30)) / 100};
    simulated_cell cell(settings);
    declareQueues(cell);
    runFor(cell, 3000);
    std::int64_t nextFaultAt = cell.now + draw(500, 3000);
    small.nextAt = wide.nextAt = static_cast<double>(cell.now);
    for (const std::int64_t end = cell.now + loadTime; cell.now < end;) {
        if (faults && cell.now >= nextFaultAt) {
            injectFault(cell, check);
            nextFaultAt = cell.now + draw(500, 8000);
        }
        submitDue(cell, small);
        submitDue(cell, wide);
        play(cell, check, 1);
    }
    cell.lostAdviceRate = 0;
    constexpr std::int64_t longestEnd = 60000;
    for (std::int64_t waited = 0; waited < longestEnd && !listUnfinished(cell).empty(); waited += 1000) {
        play(cell, check, 1000);
    }
    for (const std::string &violation : listUnfinished(cell)) {
        cell.violations.push_back(violation);
    }
    return cell.violations;
}

} // namespace

TEST_CASE("jobs that fit on a half idle cell of many workers start within the advisor's time")
{
    const std::uint64_t first = parameter("seed", 1);
    const std::uint64_t cases = parameter("max_success", 12);
    for (std::uint64_t seed = first; seed < first + cases; ++seed) {
        INFO("seed " << seed);
        liveness_check check;
        const std::vector<std::string> violations = runCase(seed, check);
        if (std::getenv("PRINT_WAITS") != nullptr) {
            std::cout << "seed " << seed << " longest " << check.longest << " ms, share of the bound "
                      << check.largestShare << ", jobs " << check.jobs << ", peak use " << check.peakUsePercent
                      << "%, most waiting steps " << check.mostWaiting << ", violations " << violations.size()
                      << std::endl;
        }
        CAPTURE(violations);
        CHECK(violations.empty());
    }
}
