// One version of the cell's configuration: the work to run, the policy of each kind, the teams and
// the limits of the fleet. It is immutable and freed when the last part that uses it lets go.
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

/// How a worker is chosen among those that fit.
enum class placement_rule {
    Pack, ///< The fullest worker that fits, so that others stay empty.
    Spread, ///< The rack, then the worker, with the fewest tasks of the same job.
    FirstFit, ///< The first worker by name that fits; the baseline for measurements.
};

/// Order of jobs of one kind and team.
enum class queue_order {
    FirstInFirstOut,
    ShortestFirst, ///< By declared run time, then by arrival.
};

/// How one kind of work is treated.
struct kind_policy {
    int priority = 0; ///< 0 to 9; a higher one is served first.
    queue_order order = queue_order::FirstInFirstOut;
    placement_rule placement = placement_rule::Pack;
    std::uint32_t queueLimit = 10000; ///< Tasks of this kind that may wait in one data centre.
    int guaranteedPercent = 0; ///< Share of each data centre's processors that other kinds cannot take while it waits.
    int capPercent = 100; ///< Share of each data centre's processors that this kind may hold.
    bool preemptible = false; ///< May be checkpointed and requeued for work of higher priority.
    std::uint32_t preemptionLimit = 3; ///< Preemptions of one job before it is left to finish.
    milliseconds taskLease{60000}; ///< A worker stops a task whose lease was not renewed for so long.
    std::uint32_t attempts = 3; ///< Attempts at a repeatable task before its job fails.
};

/// One team: where its requests are decided and what it may hold.
struct team_settings {
    team_id name;
    data_centre_id home; ///< Cannot be changed by a later version.
    std::uint32_t weight = 1; ///< Relative share among teams of the same priority, 1 to 1000.
    std::optional<resources> quota; ///< Most that all running tasks of the team may hold; absent means no quota.
};

/// One declared piece of work. Callers submit jobs of it by name; services are started by the system.
struct work_settings {
    work_id name;
    team_id team;
    work_kind kind = work_kind::Batch;
    std::uint32_t tasks = 1; ///< Tasks of a job, or replicas of a service; 1 to 10000.
    resources need; ///< Of one task.
    milliseconds runTime{60000}; ///< Declared run time of one task; a service ignores it.
    bool repeatable = false; ///< If false, a task that may have started is never started again.
};

/// Limits of the fleet.
struct fleet_limits {
    int processorPercent = 100; ///< Share of a VM's processors that tasks may hold.
    int memoryPercent = 100; ///< Share of a VM's memory that tasks may hold.
    int quarantinePercent = 25; ///< Highest share of a data centre's workers quarantined for failing tasks.
    std::uint32_t slotsPerWorker = 8; ///< Tasks on one worker at the same time.
};

/// A whole checked configuration.
struct configuration : boost::intrusive_ref_counter<configuration> {
    config_version version;
    std::string text; ///< The YAML text as applied.
    std::string cell;
    std::vector<data_centre_id> dataCentres;
    milliseconds retention{86400000}; ///< Furthest that a job's expiry may lie ahead.
    fleet_limits limits;
    std::array<kind_policy, allWorkKinds.size()> policies;
    std::vector<team_settings> teams;
    std::vector<work_settings> work;
};

/// Shared, immutable configuration.
using configuration_ptr = boost::intrusive_ptr<const configuration>;

/// Policy of a kind.
const kind_policy &policyOf(const configuration &settings, work_kind kind);

/// Team of that name, or null.
const team_settings *findTeam(const configuration &settings, const team_id &name);

/// Work declaration of that name, or null.
const work_settings *findWork(const configuration &settings, const work_id &name);

} // namespace sesamespar
