// A fleet that finishes each task after its run time, in simulated time, and a mix of work drawn with a fixed seed.
// It drives a scheduler's functions directly; there are no messages, leases or failures.
#pragma once

#include "../fixtures/scheduler_fixture.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace sesamespar::measure {

/// Classes of work that the tables tell apart.
enum class work_class {
    Query, ///< Availability checks.
    Booking, ///< Manifests and bookings: short, not repeatable.
    Batch, ///< Overnight batch.
    Gang,
    Service,
};
constexpr std::size_t workClasses = 5;
std::string nameOf(work_class single);

/// Offered load of the classes as shares of the fleet's processors, and sizes of the machines.
struct deployment {
    std::string name;
    int workers = 17;
    resources capacity;
    std::array<double, workClasses> load{};
    std::int64_t scale = 1; ///< Factor on the sizes of batch, gang and service tasks.
};

deployment paguri(int workers);
deployment pompamassetto(int workers);

/// A part of the run in which one class arrives ten times as often.
struct flood {
    bool active = false;
    work_class kind = work_class::Query;
};

/// Functions of the scheduler under measurement.
struct policy_under_test {
    std::string name;
    std::function<bool(const job_offer &)> admit;
    std::function<void(const job_offer &, const std::vector<task_index> &, time_point)> enqueue;
    std::function<schedule_result(time_point)> schedule;
    std::function<void(const task_key &)> release;
};

/// The default policy of the scheduler, on a fleet.
policy_under_test makeDefault(const deployment &target);

/// Strict first-in-first-out and first fit by name, without kinds, teams or limits but the queue bound of a kind.
/// With `skip`, up to 100 jobs behind one that does not fit are tried.
policy_under_test makeBaseline(const deployment &target, bool skip);

/// What a run showed. Times are in seconds of simulated time.
struct run_result {
    std::array<std::vector<double>, workClasses> waits; ///< Of tasks that became ready in the measured part.
    std::array<std::size_t, workClasses> starts{}; ///< In the measured part.
    std::array<std::size_t, workClasses> refused{};
    std::array<std::size_t, workClasses> leftWaiting{}; ///< Ready in the measured part and not started at its end.
    std::size_t preemptions = 0;
    double reserved = 0; ///< Mean share of all processors that tasks held.
    double reservedOfUsed = 0; ///< Mean share of the processors of workers with tasks.
    double stranded = 0; ///< Mean share of processors free on workers without a free slot or a GiB of memory.
};

/// Runs a mix on a fleet. The measured part is [60 s, 240 s), which is also when a flood lasts.
run_result runMix(const deployment &target, const policy_under_test &policy, const flood &extra, std::uint32_t seed);

} // namespace sesamespar::measure
