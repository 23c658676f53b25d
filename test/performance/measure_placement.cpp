// Cost of a placement pass of a cell's leader on cells of the grown sites: processor time and heap allocations, and how
// they grow with the workers and the waiting jobs. Usage: measure_placement [SEED [overload]]. With `overload` the
// policy is that for organisations and uneven workers, on workers of three speeds. The cell is full and a fixed number
// of jobs waits, among them gangs of up to 60 tasks. Run with GLOG_minloglevel=3, since the log lines of the placements
// are not part of the figures.
#include "cell_replay.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <new>
#include <string>

using namespace sesamespar;
using namespace sesamespar::measure;

namespace {

std::uint64_t allocations = 0;

std::uint64_t countAllocations()
{
    return allocations;
}

constexpr std::size_t grownWorkers = 350;
constexpr std::size_t usualWaiting = 500;
/// Interval of the passes under load, as in cell_leader.cpp.
constexpr std::int64_t passMs = 10;
/// Time until the cell is full and the usual share of the workers is known to the waiting jobs.
constexpr std::int64_t warmUpMs = 5000;
constexpr std::int64_t measuredMs = 10000;
constexpr double gangLimit = 60;

/// The load of a grown site on a cell of another size, with a fixed number of waiting jobs.
replay_load makeFullCell(replay_load load, std::size_t workers, std::size_t waiting)
{
    load.bursts.clear();
    load.advisors = std::max<std::size_t>(1, load.advisors * workers / grownWorkers);
    load.workers = workers;
    load.waitingJobs = waiting;
    load.passMs = passMs;
    load.lengthMs = warmUpMs + measuredMs;
    load.queues.front().taskLimit = gangLimit;
    for (replay_queue &queue : load.queues) {
        // No job becomes late, so the order of the waiting jobs does not depend on how long they have waited.
        queue.targetMs = load.lengthMs;
    }
    return load;
}

double microseconds(const pass_cost &cost)
{
    return std::chrono::duration<double, std::micro>(cost.processorTime).count();
}

double percentile(std::vector<double> values, double share)
{
    const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values.at(static_cast<std::size_t>(rank));
}

/// Prints a row and returns the mean time of a pass in microseconds.
double printRow(const replay_load &load, const cell_policy &policy, std::uint64_t seed)
{
    pass_meter meter;
    meter.countAllocations = countAllocations;
    replayLoad(load, policy, seed, &meter);
    std::erase_if(meter.passes, [](const pass_cost &cost) { return cost.atMs < warmUpMs; });
    std::vector<double> times;
    double sum = 0;
    double placed = 0;
    double allocated = 0;
    for (const pass_cost &cost : meter.passes) {
        times.push_back(microseconds(cost));
        sum += microseconds(cost);
        placed += static_cast<double>(cost.placedTasks);
        allocated += static_cast<double>(cost.allocations);
    }
    const auto passes = static_cast<double>(times.size());
    std::cout << "| " << load.name << " | " << load.workers << " | " << load.waitingJobs << std::fixed
              << std::setprecision(1) << " | " << placed / passes << std::setprecision(0) << " | " << sum / passes
              << " | " << percentile(times, 0.5) << " | " << percentile(times, 0.99) << " | " << percentile(times, 1)
              << " | " << allocated / passes << " |\n"
              << std::flush;
    return sum / passes;
}

} // namespace

// The replacements of the global functions count the allocations of the process.
void *operator new(std::size_t size)
{
    ++allocations;
    void *memory = std::malloc(std::max<std::size_t>(size, 1)); // NOLINT(cppcoreguidelines-no-malloc)
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261205;
    const bool overload = argc > 2 && std::string(argv[2]) == "overload";
    cell_policy policy;
    if (overload) {
        policy.ties = tie_order::LeastWork;
        policy.reservedShare = 0.12;
        policy.durations = duration_source::Learned;
        policy.matchesSpeeds = true;
        policy.movesProgressingRuns = false;
    }
    std::cout
        << "command: measure_placement " << seed << (overload ? " overload" : "")
        << "\nprocessor time of a placement pass in us, one pass every " << passMs << " ms of simulated time\n"
        << "| load | workers | waiting jobs | tasks placed a pass | mean | p50 | p99 | max | allocations a pass |\n"
        << "|---|---|---|---|---|---|---|---|---|\n";
    const std::vector<replay_load> sites = overload ? std::vector{tailedUnevenLoad(), largeUnevenLoad()}
                                                    : std::vector{grownPaguriLoad(), grownPompamassettoLoad()};
    for (const replay_load &site : sites) {
        double first = 0;
        double last = 0;
        for (const std::size_t workers : {48, 350, 780, 1000}) {
            last = printRow(makeFullCell(site, workers, usualWaiting), policy, seed);
            first = first > 0 ? first : last;
        }
        const double workersFactor = last / first;
        first = 0;
        for (const std::size_t waiting : {50, 200, 500, 1000}) {
            last = printRow(makeFullCell(site, grownWorkers, waiting), policy, seed);
            first = first > 0 ? first : last;
        }
        std::cout << site.name << std::setprecision(2) << ": the mean grows by " << workersFactor
                  << " from 48 to 1000 workers (20.8 times as many) and by " << last / first
                  << " from 50 to 1000 waiting jobs (20 times as many)\n";
    }
    return 0;
}
