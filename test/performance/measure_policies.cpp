// Replays the loads of both sites, as they are and after their growth to 350 workers, with the default policy of a
// cell, with the simplest policy, and with each part of the default replaced by the simplest choice. Usage:
// measure_policies [SEED [SEEDS]]. Prints a table of the share of the jobs' value that was earned, as a mean over SEEDS
// seeds from SEED on.
#include "cell_replay.h"

#include <algorithm>
#include <cstdlib>
#include <future>
#include <iomanip>
#include <iostream>
#include <sstream>

using namespace sesamespar;
using namespace sesamespar::measure;

namespace {

constexpr std::uint64_t defaultSeeds = 3;

/// Range of seeds over which each result is averaged.
struct seed_range {
    std::uint64_t first = 20261204;
    std::uint64_t count = defaultSeeds;
};

struct named_policy {
    std::string name;
    cell_policy policy;
};

std::vector<named_policy> policies()
{
    const cell_policy full;
    cell_policy simplest;
    simplest.order = work_order::Arrival;
    simplest.workers = worker_order::Name;
    simplest.gatheringShare = 0;
    simplest.minGatheringGangs = 0;
    simplest.estimateWeight = 1;
    simplest.failedTasksElsewhere = false;
    simplest.movesSlowRuns = false;
    std::vector<named_policy> all{{"default", full}, {"first in first out, first fit", simplest}};
    const auto without = [&](const std::string &part, auto change) {
        cell_policy changed = full;
        change(changed);
        all.push_back({"default, " + part, changed});
    };
    without("first in first out", [](cell_policy &policy) { policy.order = work_order::Arrival; });
    without("first fit", [](cell_policy &policy) { policy.workers = worker_order::Name; });
    without("no room gathered for gangs", [](cell_policy &policy) {
        policy.gatheringShare = 0;
        policy.minGatheringGangs = 0;
    });
    without("estimates as given", [](cell_policy &policy) { policy.estimateWeight = 1; });
    without("failed tasks anywhere", [](cell_policy &policy) { policy.failedTasksElsewhere = false; });
    without("slow runs left where they are", [](cell_policy &policy) { policy.movesSlowRuns = false; });
    return all;
}

std::vector<replay_load> loads()
{
    std::vector<replay_load> all;
    for (const replay_load &site : {paguriLoad(), pompamassettoLoad(), grownPaguriLoad(), grownPompamassettoLoad()}) {
        replay_load calm = site;
        calm.name += ", calm";
        calm.bursts.clear();
        replay_load failing = site;
        failing.name += ", workers fail";
        failing.faults = {{8000, 7000, 0.1, true, 1}};
        replay_load slow = site;
        slow.name += ", workers slow";
        slow.faults = {{8000, 7000, 0.17, false, 6.5}};
        replay_load bursts = site;
        bursts.name += ", bursts";
        all.insert(all.end(), {calm, bursts, failing, slow});
    }
    return all;
}

std::string makeRow(const replay_load &load, const named_policy &entry, const seed_range &seeds)
{
    double total = 0;
    std::vector<replay_figures> sums;
    for (std::uint64_t index = 0; index < seeds.count; ++index) {
        const std::vector<replay_figures> figures = replayLoad(load, entry.policy, seeds.first + index);
        total += earnedShare(figures);
        if (sums.empty()) {
            sums = figures;
            continue;
        }
        for (std::size_t queue = 0; queue < sums.size(); ++queue) {
            sums[queue].attainable += figures[queue].attainable;
            sums[queue].earned += figures[queue].earned;
        }
    }
    std::ostringstream row;
    row << std::fixed << std::setprecision(3) << "| " << load.name << " | " << entry.name << " | "
        << total / static_cast<double>(seeds.count);
    for (const replay_figures &queue : sums) {
        row << " | " << queue.earned / queue.attainable;
    }
    row << " |\n";
    return row.str();
}

} // namespace

int main(int argc, char **argv)
{
    seed_range seeds;
    if (argc > 1) {
        seeds.first = std::strtoull(argv[1], nullptr, 10);
    }
    if (argc > 2) {
        seeds.count = std::max<std::uint64_t>(1, std::strtoull(argv[2], nullptr, 10));
    }
    std::cout
        << "| load | policy | earned | gangs of large tasks | wide jobs | urgent jobs |\n|---|---|---|---|---|---|\n";
    for (const replay_load &load : loads()) {
        std::vector<std::future<std::string>> rows;
        for (const named_policy &entry : policies()) {
            rows.push_back(std::async(std::launch::async, makeRow, load, entry, seeds));
        }
        for (std::future<std::string> &row : rows) {
            std::cout << row.get() << std::flush;
        }
    }
    return 0;
}
