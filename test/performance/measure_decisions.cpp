// Scheduler benchmark: cost of a decision, waits and packing compared with a baseline, effect of a flood on other kinds
// of work, and memory. Usage: measure_decisions [SEED]. The targets are those of the design page; the output says for
// each whether it was met.
#include "fake_fleet.h"

#include <malloc.h>

#include <chrono>
#include <cmath>
#include <iomanip>
#include <iostream>

using namespace sesamespar;
using namespace sesamespar::fixture;
using namespace sesamespar::measure;

namespace {

// 7,900 tasks on 780 workers, the load expected in two years, need more than the current 8 slots per worker.
constexpr std::uint32_t plannedSlots = 12;
constexpr int decisions = 40000;

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values.at(rank);
}

double maximum(const std::vector<double> &values)
{
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

std::string metOrMissed(bool met)
{
    return met ? "met" : "MISSED";
}

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

// A fleet with the load of 7,900 tasks per 780 workers, one fifth of them services.
struct filled_fleet {
    scheduler_ptr state;
    std::mt19937 random;
    std::vector<task_key> running; ///< Without services.
    int jobs = 0;
};

job_offer drawOffer(filled_fleet &fleet, work_kind kind)
{
    const int number = ++fleet.jobs;
    const std::vector<std::pair<int, int>> shapes{{500, 512}, {1000, 2048}, {1000, 512}, {1500, 1024}, {2000, 4096}};
    const auto [processors, memory] = shapes.at(fleet.random() % shapes.size());
    job_offer job = makeJob("team" + std::to_string(number % 20),
                            std::to_string(number),
                            kind,
                            {millicores(processors), mebibytes(memory), {}});
    job.work = work_id(job.work.value + std::to_string(processors) + "-" + std::to_string(memory));
    return job;
}

filled_fleet fill(int workers, std::uint32_t seed, int backlog)
{
    auto settings = makeConfiguration();
    settings->limits.slotsPerWorker = plannedSlots;
    for (int team = 0; team < 20; ++team) {
        addTeam(*settings, "team" + std::to_string(team));
    }
    filled_fleet fleet{makeScheduler(settings), std::mt19937(seed), {}, 0};
    addWorkers(*fleet.state, workers, amount(16, 32));
    const int tasks = workers * 7900 / 780;
    for (int task = 0; task < tasks; ++task) {
        const work_kind kind = task % 5 == 0 ? work_kind::Service : task % 5 < 3 ? work_kind::Batch : work_kind::Query;
        submit(*fleet.state, drawOffer(fleet, kind));
        for (const placement &each : schedule(*fleet.state, at(0), 10).placements) {
            if (kind != work_kind::Service) {
                fleet.running.push_back(each.task);
            }
        }
    }
    for (int task = 0; task < backlog; ++task) {
        submit(*fleet.state, drawOffer(fleet, allWorkKinds.at(static_cast<std::size_t>(task) % 4)));
    }
    return fleet;
}

struct decision_cost {
    double perSecond = 0;
    double p50 = 0;
    double p99 = 0;
    double worst = 0;
};

// Each decision consists of the release of a random task, the arrival of a new one and a scheduling pass, as in the
// control loop.
decision_cost measureCost(filled_fleet &fleet)
{
    std::vector<double> costs;
    std::size_t placed = 0;
    double total = 0;
    for (int index = 0; index < decisions && !fleet.running.empty(); ++index) {
        const std::size_t victim = fleet.random() % fleet.running.size();
        const task_key ended = fleet.running.at(victim);
        fleet.running.at(victim) = fleet.running.back();
        fleet.running.pop_back();
        const job_offer job = drawOffer(fleet, index % 2 == 0 ? work_kind::Batch : work_kind::Query);
        const auto start = std::chrono::steady_clock::now();
        releaseTask(*fleet.state, ended);
        const bool admitted = admit(*fleet.state, job).admitted;
        if (admitted) {
            enqueue(*fleet.state, job, {task_index(0)}, at(index));
        }
        const schedule_result result = schedule(*fleet.state, at(index), 10);
        const std::chrono::duration<double, std::micro> cost = std::chrono::steady_clock::now() - start;
        costs.push_back(cost.count());
        total += cost.count();
        placed += result.placements.size();
        for (const placement &each : result.placements) {
            fleet.running.push_back(each.task);
        }
    }
    return {static_cast<double>(placed) / total * 1e6, percentile(costs, 0.5), percentile(costs, 0.99), maximum(costs)};
}

void printCost(std::uint32_t seed, int backlog)
{
    std::cout << "\n(a) cost of a decision, " << backlog << " tasks waiting, us\n"
              << " workers  running  decisions/s      p50      p99      max\n";
    std::vector<double> medians;
    for (const int workers : {50, 200, 780, 3000}) {
        filled_fleet fleet = fill(workers, seed, backlog);
        const std::size_t running = summarize(*fleet.state).placedTasks;
        const decision_cost cost = measureCost(fleet);
        medians.push_back(cost.p50);
        std::cout << std::setw(8) << workers << std::setw(9) << running << std::setw(13) << std::llround(cost.perSecond)
                  << std::fixed << std::setprecision(1) << std::setw(9) << cost.p50 << std::setw(9) << cost.p99
                  << std::setw(9) << cost.worst << "\n";
        if (workers == 780) {
            std::cout << "          target 20000 decisions/s: " << metOrMissed(cost.perSecond >= 20000)
                      << "; target p99 below 1000 us: " << metOrMissed(cost.p99 < 1000) << "\n";
        }
    }
    const double growth = medians.back() / medians.front();
    const double allowed = std::log(3000) / std::log(50);
    std::cout << "          p50 grows by " << std::setprecision(2) << growth
              << " from 50 to 3000 workers, log(workers) by " << allowed << ": " << metOrMissed(growth <= allowed)
              << "\n";
}

void printWaits(const std::string &name, const run_result &result)
{
    for (std::size_t index = 0; index < workClasses; ++index) {
        const auto &waits = result.waits.at(index);
        if (static_cast<work_class>(index) == work_class::Service) {
            continue; // Services start before the measured interval.
        }
        std::cout << std::setw(11) << name << std::setw(9) << nameOf(static_cast<work_class>(index)) << std::setw(9)
                  << result.starts.at(index) << std::setw(9) << result.refused.at(index) << std::setw(9)
                  << result.leftWaiting.at(index) << std::fixed << std::setprecision(2) << std::setw(9)
                  << percentile(waits, 0.5) << std::setw(9) << percentile(waits, 0.99) << std::setw(9) << maximum(waits)
                  << "\n";
    }
}

using policy_maker = std::function<policy_under_test(const deployment &)>;

const std::vector<policy_maker> &policies()
{
    static const std::vector<policy_maker> makers{
        [](const deployment &target) { return makeBaseline(target, false); },
        [](const deployment &target) { return makeBaseline(target, true); },
        makeDefault,
    };
    return makers;
}

void printMix(const deployment &target, std::uint32_t seed)
{
    std::cout << "\n(b) " << target.name << ", no flood; waits in s\n"
              << "     policy    class   starts  refused  waiting      p50      p99      max\n";
    std::vector<std::pair<std::string, run_result>> results;
    for (const policy_maker &make : policies()) {
        const policy_under_test tested = make(target);
        results.emplace_back(tested.name, runMix(target, tested, {}, seed));
        printWaits(results.back().first, results.back().second);
    }
    std::cout << "     policy  reserved  of used workers  stranded  preemptions\n";
    for (const auto &[name, result] : results) {
        std::cout << std::setw(11) << name << std::setprecision(3) << std::setw(10) << result.reserved << std::setw(17)
                  << result.reservedOfUsed << std::setw(10) << result.stranded << std::setw(13) << result.preemptions
                  << "\n";
    }
}

void printFlood(const deployment &target, work_class kind, std::uint32_t seed)
{
    std::cout << "\n(b) " << target.name << ", tenfold flood of " << nameOf(kind)
              << "; other classes against the run without flood\n"
              << "     policy    class     rate  p99 before  p99 during   verdict\n";
    for (const policy_maker &make : policies()) {
        const policy_under_test policy = make(target);
        const run_result withoutFlood = runMix(target, policy, {}, seed);
        const run_result withFlood = runMix(target, make(target), {true, kind}, seed);
        for (std::size_t index = 0; index < workClasses; ++index) {
            const auto workClass = static_cast<work_class>(index);
            if (workClass == kind || workClass == work_class::Service) {
                continue;
            }
            const double rate = static_cast<double>(withFlood.starts.at(index))
                / static_cast<double>(std::max<std::size_t>(1, withoutFlood.starts.at(index)));
            const double before = percentile(withoutFlood.waits.at(index), 0.99);
            const double during = percentile(withFlood.waits.at(index), 0.99);
            std::cout << std::setw(11) << policy.name << std::setw(9) << nameOf(workClass) << std::fixed
                      << std::setprecision(3) << std::setw(9) << rate << std::setw(12) << before << std::setw(12)
                      << during << "   " << metOrMissed(rate >= 0.95 && during <= 2 * before) << "\n";
        }
    }
}

// True if the 99th percentile of the waits of each class is within its bound.
bool waitsWithin(const run_result &result)
{
    const std::array<double, workClasses> bounds{1.1, 1.1, 30, 30, 1e9};
    for (std::size_t index = 0; index < workClasses; ++index) {
        if (percentile(result.waits.at(index), 0.99) > bounds.at(index)) {
            return false;
        }
    }
    return true;
}

// Finds the smallest fleet that serves the load of `target` within the bounds on waits, by binary search.
int workersNeeded(const deployment &target, const policy_maker &make, std::uint32_t seed)
{
    int low = target.workers / 3;
    int high = target.workers * 2;
    while (low < high) {
        const int workers = (low + high) / 2;
        deployment tried = target;
        tried.workers = workers;
        for (double &load : tried.load) {
            load = load * target.workers / workers;
        }
        if (waitsWithin(runMix(tried, make(tried), {}, seed))) {
            high = workers;
        } else {
            low = workers + 1;
        }
    }
    return low;
}

void printPacking(const deployment &target, std::uint32_t seed)
{
    std::cout << "\n(b) " << target.name
              << ": workers needed for the same load with p99 waits of 1.1 s (query, booking) and 30 s (batch, gang)\n";
    std::vector<int> needed;
    for (const policy_maker &make : policies()) {
        needed.push_back(workersNeeded(target, make, seed));
        std::cout << std::setw(11) << make(target).name << std::setw(6) << needed.back() << "\n";
    }
    const double packingGain = static_cast<double>(needed.front()) / needed.back() - 1;
    std::cout << "          default against fifo: " << std::setprecision(1) << packingGain * 100
              << "% tighter; target 15%: " << metOrMissed(packingGain >= 0.15) << "\n";
}

void printMemory(std::uint32_t seed)
{
    std::cout << "\n(c) memory with 780 workers, 7,900 running tasks and waiting tasks of 4 kinds\n"
              << " waiting      KiB  bytes/waiting task\n";
    double empty = 0;
    for (const int backlog : {0, 10000, 40000}) {
        const std::size_t before = allocatedBytes();
        const filled_fleet fleet = fill(780, seed, backlog);
        const double used = static_cast<double>(allocatedBytes()) - static_cast<double>(before);
        empty = backlog == 0 ? used : empty;
        std::cout << std::setw(8) << backlog << std::setw(9) << std::llround(used / 1024);
        if (backlog > 0) {
            std::cout << std::setw(20) << std::llround((used - empty) / backlog);
        }
        std::cout << "\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint32_t seed = argc > 1 ? static_cast<std::uint32_t>(std::stoul(argv[1])) : 20261204;
    std::cout << "command: measure_decisions " << seed << "\nseed: " << seed << "\n";
    printMemory(seed);
    printCost(seed, 0);
    printCost(seed, 20000);
    for (const deployment &target : {paguri(17), paguri(50), pompamassetto(17), pompamassetto(50)}) {
        printMix(target, seed);
        printFlood(target, work_class::Batch, seed);
        printFlood(target, work_class::Query, seed);
    }
    printPacking(paguri(50), seed);
    printPacking(pompamassetto(50), seed);
}
