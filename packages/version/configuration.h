// One version of the cell's configuration: the work to run, the policy of each kind of work, the teams and
// the limits of the fleet. It is immutable, reference-counted and freed with its last user.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "version/work_kind.h"

#include <array>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sesamespar {

/// Selects one of the workers with enough free capacity.
enum class placement_rule {
    Pack, ///< The worker with the least free capacity, so that others stay empty.
    Spread, ///< The rack, then the worker, with the fewest tasks of the same job.
    FirstFit, ///< The first such worker by name; the baseline for measurements.
};

/// Order of the queued jobs of one kind and team.
enum class queue_order {
    FirstInFirstOut,
    ShortestFirst, ///< By declared run time, then by arrival.
};

/// Scheduling policy of one kind of work.
struct kind_policy {
    int priority = 0; ///< 0 to 9; higher values are served first.
    queue_order order = queue_order::FirstInFirstOut;
    placement_rule placement = placement_rule::Pack;
    std::uint32_t queueLimit = 10000; ///< Tasks of this kind that may wait in one data centre.
    int guaranteedPercent = 0; ///< Processor share of a data centre reserved for this kind while it has waiting tasks.
    int capPercent = 100; ///< Share of each data centre's processors that this kind may hold.
    bool preemptible = false; ///< May be checkpointed and requeued for work of higher priority.
    std::uint32_t preemptionLimit = 3; ///< Preemptions after which a job is no longer preempted.
    milliseconds taskLease{60000}; ///< A worker stops a task whose lease was not renewed for this time.
    std::uint32_t attempts = 3; ///< Attempts at a repeatable task before its job fails.
};

/// One team: the data centre that schedules its jobs, its weight and its quota.
struct team_settings {
    team_id name;
    data_centre_id home; ///< Data centre that schedules the team's jobs; later versions cannot change it.
    std::uint32_t weight = 1; ///< Relative share among teams of the same priority, 1 to 1000.
    std::optional<resources> quota; ///< Limit for all running tasks of the team together; absent means no limit.
};

/// One work declaration. Callers submit jobs of it by name; the scheduler starts services itself.
struct work_settings {
    work_id name;
    team_id team;
    work_kind kind = work_kind::Batch;
    std::uint32_t tasks = 1; ///< Tasks of a job, or replicas of a service; 1 to 10000.
    resources need; ///< Resources of one task.
    milliseconds runTime{60000}; ///< Declared run time of one task; ignored for services.
    bool repeatable = false; ///< If false, a task that may have started is never started again.
};

/// Limits of the fleet.
struct fleet_limits {
    int processorPercent = 100; ///< Share of a VM's processors available to tasks.
    int memoryPercent = 100; ///< Share of a VM's memory available to tasks.
    int quarantinePercent = 25; ///< Highest share of a data centre's workers quarantined for failing tasks.
    std::uint32_t slotsPerWorker = 8; ///< Limit of concurrent tasks on one worker.
};

/// A complete, validated configuration.
struct configuration : boost::intrusive_ref_counter<configuration> {
    config_version version;
    std::string text; ///< The YAML text that was applied.
    std::string cell;
    std::vector<data_centre_id> dataCentres;
    milliseconds retention{86400000}; ///< Longest time from now to the expiry of a new job.
    fleet_limits limits;
    std::array<kind_policy, allWorkKinds.size()> policies;
    std::vector<team_settings> teams;
    std::vector<work_settings> work;
};

/// Shared, immutable configuration.
using configuration_ptr = boost::intrusive_ptr<const configuration>;

const kind_policy &policyOf(const configuration &settings, work_kind kind);

/// Returns the team of that name, or null.
const team_settings *findTeam(const configuration &settings, const team_id &name);

/// Returns the work declaration of that name, or null.
const work_settings *findWork(const configuration &settings, const work_id &name);

} // namespace sesamespar
