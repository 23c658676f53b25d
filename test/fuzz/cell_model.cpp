// Random faults on a whole cell, checked against the promises: nothing runs twice at a time, nothing runs after its end
// was noted, no worker gets more than it holds, a refused job never runs, and an accepted one is completed once the
// faults are over. RC_PARAMS names the first seed and the number of cases.
#include "../fixtures/cell_world.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace sesamespar;
using namespace sesamespar::fixture;

namespace {

/// Value of NAME=VALUE in RC_PARAMS.
std::uint64_t parameter(const std::string &name, std::uint64_t otherwise)
{
    const char *text = std::getenv("RC_PARAMS");
    const std::string all = text == nullptr ? "" : text;
    const std::size_t at = all.find(name + "=");
    return at == std::string::npos ? otherwise : std::strtoull(all.c_str() + at + name.size() + 1, nullptr, 10);
}

std::int64_t pick(world &cell, std::int64_t from, std::int64_t to)
{
    return std::uniform_int_distribution<std::int64_t>(from, to)(cell.random);
}

std::size_t pickDaemon(world &cell)
{
    std::vector<std::size_t> alive;
    for (std::size_t number = 0; number < cell.daemons.size(); ++number) {
        if (cell.daemons[number]->alive) {
            alive.push_back(number);
        }
    }
    return alive[static_cast<std::size_t>(pick(cell, 0, static_cast<std::int64_t>(alive.size()) - 1))];
}

void replaceDaemon(world &cell, std::size_t number)
{
    killDaemon(cell, number);
    startDaemon(cell);
}

/// Brings about one fault, or ends one.
void injectFault(world &cell)
{
    const std::size_t daemon = pickDaemon(cell);
    const std::size_t leader = leaderOf(cell).value_or(daemon);
    const auto worker = static_cast<std::size_t>(pick(cell, 0, static_cast<std::int64_t>(cell.workers.size()) - 1));
    switch (pick(cell, 0, 16)) {
    case 0:
        replaceDaemon(cell, leader);
        break;
    case 1:
        replaceDaemon(cell, daemon);
        break;
    case 2:
        freezeDaemon(cell, leader);
        break;
    case 3:
        for (std::size_t number = 0; number < cell.daemons.size(); ++number) {
            thawDaemon(cell, number);
        }
        break;
    case 4:
        cell.storeDown = !cell.storeDown;
        break;
    case 5:
        cell.daemons[leader]->cutFromStore = !cell.daemons[leader]->cutFromStore;
        break;
    case 6:
        cell.daemons[leader]->cutFromWorkers = !cell.daemons[leader]->cutFromWorkers;
        break;
    case 7:
        restartWorker(cell, worker);
        break;
    case 8:
        cell.workers[worker]->reachable = !cell.workers[worker]->reachable;
        break;
    case 9:
        cell.lostStoreAnswers = pick(cell, 0, 1) == 0 ? 0 : 0.3;
        break;
    case 10:
        cell.lateStoreWrites = pick(cell, 0, 1) == 0 ? 0 : 0.2;
        break;
    case 11:
        cell.lateOrders = pick(cell, 0, 1) == 0 ? 0 : 0.2;
        break;
    case 12:
        cell.historyFrom = cell.revision;
        cell.history.clear();
        break;
    case 13:
        cell.workers[worker]->answers = !cell.workers[worker]->answers;
        break;
    case 14:
        cell.workers[worker]->draining = !cell.workers[worker]->draining;
        listWorker(cell, worker);
        break;
    case 15:
        if (cell.cutDataCentre) {
            cell.cutDataCentre.reset();
        } else {
            cell.cutDataCentre = static_cast<std::size_t>(pick(cell, 0, 2));
        }
        break;
    default:
        post(cell.daemons[daemon]->context->box,
             [&cell, daemon](const clock_reading &now) { drainCellDaemon(*cell.daemons[daemon]->daemon, now); });
        startDaemon(cell);
        break;
    }
}

void endFaults(world &cell)
{
    cell.storeDown = false;
    cell.lostStoreAnswers = 0;
    cell.lateStoreWrites = 0;
    cell.lateOrders = 0;
    cell.cutDataCentre.reset();
    for (std::size_t number = 0; number < cell.workers.size(); ++number) {
        cell.workers[number]->reachable = true;
        cell.workers[number]->answers = true;
        cell.workers[number]->draining = false;
        listWorker(cell, number);
    }
    for (std::size_t number = 0; number < cell.daemons.size(); ++number) {
        cell.daemons[number]->cutFromStore = false;
        cell.daemons[number]->cutFromWorkers = false;
        thawDaemon(cell, number);
    }
}

stepped_job makeJob(world &cell)
{
    const bool gang = pick(cell, 0, 4) == 0;
    const std::string payload = pick(cell, 0, 19) == 0 ? "fail" : std::to_string(pick(cell, 100, 4000));
    // A gang of four fits on one worker, so that it can run however few workers the advisor allows.
    stepped_job job = oneStep(static_cast<std::uint32_t>(pick(cell, 1, 4)), pick(cell, 1, gang ? 4 : 5), payload, gang);
    if (pick(cell, 0, 3) == 0) {
        job.steps.push_back(job.steps.front());
        job.steps.back().after = {0};
    }
    return job;
}

/// Plays one case; returns what is broken.
std::vector<std::string> play(std::uint64_t seed)
{
    world_settings settings;
    settings.seed = seed;
    settings.advised = seed % 3 == 0;
    world cell(settings);
    runFor(cell, 1500);
    std::uint64_t jobs = 0;
    for (int round = 0; round < 60; ++round) {
        runFor(cell, pick(cell, 20, 600));
        if (pick(cell, 0, 2) > 0) {
            submitJob(cell, pickDaemon(cell), keyNumber(++jobs), makeJob(cell));
        } else if (jobs > 0 && pick(cell, 0, 3) == 0) {
            cancelJobAt(cell,
                        pickDaemon(cell),
                        keyNumber(static_cast<std::uint64_t>(pick(cell, 1, static_cast<std::int64_t>(jobs)))));
        } else {
            injectFault(cell);
        }
    }
    endFaults(cell);
    const auto allOver = [&] {
        for (const auto &[key, job] : cell.jobs) {
            const auto phase = storedPhase(cell, key);
            if (job.acknowledged && (!phase || !isFinal(*phase))) {
                return false;
            }
        }
        return true;
    };
    if (!runUntil(cell, 90000, allOver)) {
        for (const auto &[key, job] : cell.jobs) {
            const auto phase = storedPhase(cell, key);
            if (job.acknowledged && (!phase || !isFinal(*phase))) {
                cell.broken.push_back("an accepted job is not over: " + key.value);
            }
        }
    }
    runFor(cell, 13000);
    return cell.broken;
}

} // namespace

TEST_CASE("a cell keeps its promises under random faults")
{
    const std::uint64_t first = parameter("seed", 1);
    const std::uint64_t cases = parameter("max_success", 60);
    for (std::uint64_t seed = first; seed < first + cases; ++seed) {
        INFO("seed " << seed);
        const std::vector<std::string> broken = play(seed);
        CAPTURE(broken);
        CHECK(broken.empty());
        if (!broken.empty()) {
            break;
        }
    }
}
