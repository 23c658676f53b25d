// Plays a load pattern through the decisions of a cell's leader in simulated time: arrivals, advice, placement, ends
// and failures, without store, network or threads. Tells how much of what the work is worth was earned.
#pragma once

#include "term/cell_policy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sesamespar::measure {

/// One kind of job. Widths, durations and sizes are drawn around their means.
struct replay_queue {
    std::string name;
    int priority = 0;
    double jobsPerSecond = 0;
    double meanTasks = 1;
    double mostTasks = 1;
    double meanMs = 1000;
    double mostMs = 4000;
    double meanCores = 1;
    double mostCores = 4;
    double gangShare = 0; ///< Share of the jobs that are gangs.
    double estimateError = 0; ///< An estimate is off by up to this factor less one, either way.
    double failureShare = 0; ///< Of the runs.
    double failsAlwaysShare = 0; ///< Of the jobs: every run fails.
    std::uint32_t attempts = 3;
    double stretch = 2;
    std::int64_t targetMs = 1000;
    double worth = 1; ///< Of a job of mean work, in time.
    double lateWorth = 0.2; ///< Within three times the objective.
    double adviceMs = 0; ///< Of one question.
    double adviceMsForWorker = 0;
    double suitableShare = 1; ///< Share of the workers that may run a step.
};

/// More of a queue's jobs for a while.
struct replay_burst {
    std::string queue; ///< Empty for all.
    std::int64_t atMs = 0;
    std::int64_t forMs = 0;
    double factor = 1;
};

/// Workers that behave badly for a while.
struct replay_fault {
    std::int64_t atMs = 0;
    std::int64_t forMs = 0;
    double share = 0; ///< Of the workers.
    bool failsAll = false; ///< Otherwise work on them takes `slowdown` times as long.
    double slowdown = 1;
};

/// A load pattern.
struct replay_load {
    std::string name;
    std::vector<replay_queue> queues;
    std::vector<replay_burst> bursts;
    std::vector<replay_fault> faults;
    std::size_t workers = 48;
    std::int64_t coresPerWorker = 16;
    std::size_t advisors = 7; ///< Machines that put questions, each one at a time.
    std::int64_t lengthMs = 34000;
};

/// What came of one queue.
struct replay_figures {
    std::string queue;
    double owed = 0; ///< Worth of all jobs that could be done.
    double earned = 0;
    std::size_t jobs = 0; ///< That could be done.
    std::size_t inTime = 0;
    std::size_t late = 0;
};

/// Plays the load with a policy. The same seed gives the same jobs, whatever the policy.
std::vector<replay_figures> playLoad(const replay_load &load, const cell_policy &policy, std::uint64_t seed);

/// Share of the worth that was earned, over all queues.
double earnedShare(const std::vector<replay_figures> &figures);

/// The loads of the two sites, with the bursts of their busy days.
replay_load paguriLoad();
replay_load pompamassettoLoad();

} // namespace sesamespar::measure
