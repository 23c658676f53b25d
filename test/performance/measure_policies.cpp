// Replays the loads of both sites, as they are and after their growth to 350 workers, with the default policy of a
// cell, with the simplest policy, and with each part of the default replaced by the simplest choice. Usage:
// measure_policies [SEED [SEEDS [overload]]]. Prints a table of the share of the jobs' value that was earned, as a mean
// over SEEDS seeds from SEED on. With `overload` it compares the settings that address overload and uneven workers, on
// the loads of the uneven deployments and of a grown site.
#include "cell_replay.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <future>
#include <iomanip>
#include <iostream>
#include <sstream>

using namespace sesamespar;
using namespace sesamespar::measure;

namespace {

constexpr std::uint64_t defaultSeeds = 3;
/// Number of rows that are computed at the same time; the machine is shared.
constexpr std::size_t parallelRows = 3;

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

/// The policy for overload with each of its parts varied.
std::vector<named_policy> overloadPolicies()
{
    cell_policy overload;
    overload.ties = tie_order::LeastWork;
    overload.reservedShare = 0.12;
    overload.durations = duration_source::Learned;
    overload.matchesSpeeds = true;
    overload.movesProgressingRuns = false;
    std::vector<named_policy> all{{"default", cell_policy()}, {"overload", overload}};
    const auto with = [&](const std::string &name, cell_policy policy, auto change) {
        change(policy);
        all.push_back({name, policy});
    };
    const auto estimateAlone = [](cell_policy &policy) {
        policy.durations = duration_source::EstimateAndMean;
        policy.estimateWeight = 1;
    };
    with("default, estimate alone", {}, estimateAlone);
    with("default, learned", {}, [](cell_policy &policy) { policy.durations = duration_source::Learned; });
    with("default, least work", {}, [](cell_policy &policy) { policy.ties = tie_order::LeastWork; });
    with("overload, estimate alone", overload, estimateAlone);
    with("overload, half and half", overload, [](cell_policy &policy) {
        policy.durations = duration_source::EstimateAndMean;
    });
    with("overload, latest start", overload, [](cell_policy &policy) { policy.ties = tie_order::LatestStart; });
    with("overload, speeds ignored", overload, [](cell_policy &policy) { policy.matchesSpeeds = false; });
    with("overload, slow runs moved", overload, [](cell_policy &policy) { policy.movesProgressingRuns = true; });
    for (const double share : {0.0, 0.06, 0.2}) {
        std::ostringstream name;
        name << "overload, reserved " << share;
        with(name.str(), overload, [share](cell_policy &policy) { policy.reservedShare = share; });
    }
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

std::string makeRow(const replay_load &load, const named_policy &entry, const seed_range &seeds, bool largest)
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
            sums[queue].largestAttainable += figures[queue].largestAttainable;
            sums[queue].largestEarned += figures[queue].largestEarned;
            sums[queue].jobs += figures[queue].jobs;
            sums[queue].inTime += figures[queue].inTime;
            sums[queue].late += figures[queue].late;
            sums[queue].largestJobs += figures[queue].largestJobs;
            sums[queue].largestServed += figures[queue].largestServed;
        }
    }
    std::ostringstream row;
    row << std::fixed << std::setprecision(3) << "| " << load.name << " | " << entry.name << " | "
        << total / static_cast<double>(seeds.count);
    for (const replay_figures &queue : sums) {
        row << " | " << queue.earned / queue.attainable;
    }
    if (largest) {
        for (const replay_figures &queue : sums) {
            const double served = static_cast<double>(queue.inTime + queue.late) / static_cast<double>(queue.jobs);
            const double ofLargest = static_cast<double>(queue.largestServed) / static_cast<double>(queue.largestJobs);
            row << " | " << queue.largestEarned / queue.largestAttainable << " | " << ofLargest / served;
        }
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
    const bool overload = argc > 3 && std::string(argv[3]) == "overload";
    std::cout << "| load | policy | earned | gangs of large tasks | wide jobs | urgent jobs |"
              << (overload
                      ? " largest gangs | served, of all | largest wide | served, of all | largest urgent | served, "
                        "of all |"
                      : "")
              << "\n|---|---|---|---|---|---|" << (overload ? "---|---|---|---|---|---|" : "") << "\n";
    const std::vector<replay_load> played =
        overload ? std::vector{tailedUnevenLoad(), largeUnevenLoad(), grownPaguriLoad()} : loads();
    for (const replay_load &load : played) {
        std::deque<std::future<std::string>> rows;
        for (const named_policy &entry : overload ? overloadPolicies() : policies()) {
            if (rows.size() == parallelRows) {
                std::cout << rows.front().get() << std::flush;
                rows.pop_front();
            }
            rows.push_back(std::async(std::launch::async, makeRow, load, entry, seeds, overload));
        }
        for (std::future<std::string> &row : rows) {
            std::cout << row.get() << std::flush;
        }
    }
    return 0;
}
