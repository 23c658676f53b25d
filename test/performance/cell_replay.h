// Replays a load pattern through the decisions of a cell's leader in simulated time: arrivals, advice, placement, ends
// and failures, without store, network or threads. Reports the share of the jobs' value that was earned.
#pragma once

#include "term/cell_policy.h"

#include <chrono>
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
    double taskLimit = 1;
    double meanMs = 1000;
    double durationLimitMs = 4000;
    double meanCores = 1;
    double coreLimit = 4;
    double gangShare = 0; ///< Share of the jobs that are gangs.
    double estimateError = 0; ///< An estimate is off by a factor of up to one plus this, in either direction.
    double failureShare = 0; ///< Share of the runs that fail.
    double alwaysFailsShare = 0; ///< Share of the jobs of which every run fails.
    std::uint32_t attempts = 3;
    double stretch = 2;
    std::int64_t targetMs = 1000;
    double jobValue = 1; ///< Value of a job of mean size that is completed in time.
    double lateValueShare = 0.2; ///< Share of the value that is left within three times the objective.
    double adviceMs = 0; ///< Time of the advisor for one request.
    double adviceMsForWorker = 0; ///< Additional time for each worker of the request.
    double suitableShare = 1; ///< Share of the workers that may run a step.
    double taskSpread = 0; ///< Standard deviation of the durations of a step's tasks, as a share of their mean.
    double tailShare = 0; ///< Share of the tasks that take `tailFactor` times as long; of the jobs, for gangs.
    double tailFactor = 1;
};

/// A higher arrival rate of a queue for a time.
struct replay_burst {
    std::string queue; ///< Empty for all.
    std::int64_t atMs = 0;
    std::int64_t forMs = 0;
    double factor = 1;
};

/// Faulty or slow workers for a time.
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
    std::vector<double> workerSpeeds; ///< Of the workers in turn; empty if all have speed 1.
    std::int64_t coresPerWorker = 16;
    std::size_t advisors = 7; ///< Machines that call the advisor, each with one request at a time.
    std::int64_t ticketMs = 1500; ///< Validity of the advisor's tickets.
    std::int64_t lengthMs = 34000;
    std::int64_t passMs = 25; ///< Interval of the placement passes.
    /// If not 0, a job arrives whenever fewer jobs than this have waiting tasks, instead of at the rate of its queue.
    std::size_t waitingJobs = 0;
};

/// Results of one queue.
struct replay_figures {
    std::string queue;
    double attainable = 0; ///< Value of all jobs that can succeed.
    double earned = 0;
    std::size_t jobs = 0; ///< Number of jobs that can succeed.
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t largestJobs = 0; ///< The largest tenth of `jobs`, by their work.
    std::size_t largestServed = 0; ///< Number of these that were completed within three times their objective.
    double largestAttainable = 0;
    double largestEarned = 0;
    bool uneven = false; ///< The leader considered the workers of the cell uneven at some time.
    /// Longest time in which a job had no run although it fitted twice over on its suitable workers and less than half
    /// of the cell was in use.
    std::int64_t longestIdleWaitMs = 0;
    std::int64_t longestFinalIdleWaitMs = 0; ///< The same, of the waits that last beyond the end of the arrivals.
};

/// Cost of a placement pass.
struct pass_cost {
    std::int64_t atMs = 0;
    std::size_t waitingJobs = 0; ///< Jobs with waiting tasks before the pass.
    std::size_t placedTasks = 0;
    std::chrono::nanoseconds processorTime{0}; ///< Of the thread.
    std::uint64_t allocations = 0; ///< On the heap.
};

/// Records the passes of a replay.
struct pass_meter {
    std::uint64_t (*countAllocations)() = nullptr; ///< Number of allocations of the process so far.
    std::vector<pass_cost> passes;
};

/// Replays the load with a policy. With arrivals at the rates of the queues, the jobs depend only on the load and the
/// seed, not on the policy. The meter may be null.
std::vector<replay_figures>
replayLoad(const replay_load &load, const cell_policy &policy, std::uint64_t seed, pass_meter *meter = nullptr);

/// Share of the value that was earned, over all queues.
double earnedShare(const std::vector<replay_figures> &figures);

/// The loads of the two sites, with the bursts of their peak days.
replay_load paguriLoad();
replay_load pompamassettoLoad();

/// The loads of the two sites after their growth to 350 workers, with the bursts of their peak days.
replay_load grownPaguriLoad();
replay_load grownPompamassettoLoad();

/// The loads of two deployments of 350 workers of unequal speeds, with the bursts of their peak days. Durations of the
/// first have a tail.
replay_load tailedUnevenLoad();
replay_load largeUnevenLoad();

} // namespace sesamespar::measure
