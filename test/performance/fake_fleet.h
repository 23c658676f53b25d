// Discrete-event simulation of a fleet that runs a random mix of work with a given seed. It calls the functions of the
// scheduler directly; there are no messages, leases or failures.
#pragma once

#include "../fixtures/scheduler_fixture.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace sesamespar::measure {

/// Classes of work that are reported separately.
enum class work_class {
    Query, ///< Availability checks.
    Booking, ///< Manifests and bookings: short, not repeatable.
    Batch, ///< Overnight batch.
    Gang,
    Service,
};
constexpr std::size_t workClasses = 5;
std::string nameOf(work_class workClass);

/// Size of a fleet, and the load that is offered to it.
struct deployment {
    std::string name;
    int workers = 17;
    resources capacity; ///< Of each worker.
    std::array<double, workClasses> load{}; ///< Shares of the fleet's processors.
    std::int64_t scale = 1; ///< Factor on the sizes of batch, gang and service tasks.
};

deployment paguri(int workers);
deployment pompamassetto(int workers);

/// Tenfold arrival rate of one class during the measured interval.
struct flood {
    bool active = false;
    work_class kind = work_class::Query;
};

/// Functions of the scheduler that is measured.
struct policy_under_test {
    std::string name;
    std::function<bool(const job_offer &)> admit;
    std::function<void(const job_offer &, const std::vector<task_index> &, time_point)> enqueue;
    std::function<schedule_result(time_point)> schedule;
    std::function<void(const task_key &)> release;
};

/// Creates the scheduler with its default policy.
policy_under_test makeDefault(const deployment &target);

/// Creates the baseline: strict first-in-first-out order and first fit by worker name, without kinds, teams or limits
/// except for the queue limit of a kind. With `skip`, a pass continues after jobs that do not fit, up to 100 of them.
policy_under_test makeBaseline(const deployment &target, bool skip);

/// Results of a run. Times are in seconds of simulated time.
struct run_result {
    std::array<std::vector<double>, workClasses> waits; ///< Of tasks that became ready in the measured interval.
    std::array<std::size_t, workClasses> starts{}; ///< In the measured interval.
    std::array<std::size_t, workClasses> refused{};
    std::array<std::size_t, workClasses> leftWaiting{}; ///< Ready in the measured interval, not started at the end.
    std::size_t preemptions = 0;
    double reserved = 0; ///< Mean share of all processors that is reserved for tasks.
    double reservedOfUsed = 0; ///< The same, of the processors of workers with tasks.
    double stranded = 0; ///< Mean share of processors free on workers without a free slot or a GiB of memory.
};

/// Runs a mix of work on a fleet. The measured interval is [60 s, 240 s); a flood lasts for the same interval.
run_result
runMix(const deployment &target, const policy_under_test &policy, const flood &floodSettings, std::uint32_t seed);

} // namespace sesamespar::measure
