// State of a daemon as leader, or candidate for leader, of its data centre. The control thread owns the state;
// the modules of this folder are free functions over it.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "connection/event.h"
#include "term/job_table.h"
#include "term/scheduler.h"
#include "term/worker_table.h"
#include "version/configuration.h"
#include "version/daemon_settings.h"

#include <map>
#include <optional>
#include <random>
#include <unordered_set>
#include <vector>

namespace sesamespar {

/// Role of a daemon in its data centre.
enum class leader_phase {
    Standby, ///< Another daemon leads or may lead.
    TakingOver, ///< Acquires control leases and reads the tasks and records of the workers.
    Leading, ///< Was complete at least once since its takeover; decides about jobs.
};

/// Counters for the metrics.
struct leader_counters {
    std::uint64_t takeovers = 0;
    std::uint64_t stepDowns = 0;
    std::uint64_t submitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t placements = 0;
    std::uint64_t recordWrites = 0;
    std::uint64_t tasksSucceeded = 0;
    std::uint64_t tasksFailed = 0;
    std::uint64_t tasksLost = 0;
    std::uint64_t tasksRestarted = 0;
    std::uint64_t orphansStopped = 0;
};

/// Time that a task waited from its acceptance or requeue until its start command.
struct wait_sample {
    work_kind kind = work_kind::Batch;
    milliseconds waited{0};
};

/// An attempt whose outcome is recorded, and the worker that still keeps that outcome.
struct ended_attempt {
    worker_id worker;
    task_id task;
};

/// All state of the leader role.
struct leader {
    daemon_id holder; ///< Name under which this daemon holds leases; unique to each run of the process.
    data_centre_id dataCentre;
    timing_settings timing;
    std::mt19937_64 random;

    leader_phase phase = leader_phase::Standby;
    epoch_number epoch; ///< Epoch of the current takeover.
    std::uint64_t recordCounter = 0; ///< Counts record revisions under the epoch.
    std::uint64_t callSerial = 0; ///< Never reused, so that late replies of an earlier takeover are recognised.
    time_point takeoverAt; ///< When the current takeover began.
    std::optional<time_point> incompleteSince; ///< Absent while complete.
    time_point noTakeoverBefore; ///< Gives another daemon time to take over first.
    bool archiveRead = false; ///< The archive has been read since the current takeover began.
    bool releasing = false; ///< Finishes the calls under way, then releases the leases.
    time_point releaseLimit; ///< Latest time at which the leases are released.
    config_version seenVersion; ///< Highest configuration version that a worker has reported.
    roster_revision seenRoster; ///< Highest VM list revision that a worker has reported.

    configuration_ptr settings; ///< Null until a configuration is known.
    worker_table table;
    job_table jobs;
    scheduler_ptr decisions;
    std::map<worker_id, rack_id> markedHolders; ///< Workers listed in the newest copy marker.
    record_revision markerRevision; ///< Revision of the newest copy marker.
    std::set<job_id> jobsMissingCopies; ///< Jobs with fewer than two copies because no worker could store one.
    std::vector<worker_id> recordPair; ///< Workers that store the copies of jobs that arrive in this pass.
    std::multimap<time_point, task_key> delayedTasks; ///< Tasks by the time of their next attempt.
    std::multimap<time_point, ended_attempt> delayedForgets; ///< Ended attempts, by the time of the forget command.
    std::unordered_set<job_id> dirtyJobs; ///< Jobs to advance before the effects are sent.
    std::set<worker_id> dirtyWorkers; ///< Workers with queued writes or commands.
    std::map<job_id, job_record> unreconciled; ///< Newest revision of each record read during the takeover.
    std::map<job_id, std::vector<record_copy>>
        unreconciledCopies; ///< Workers that hold the newest revision of those records.
    std::vector<job_record> toArchive; ///< Records for the archive, taken by the daemon after each event.
    std::vector<wait_sample> waits; ///< Taken by the daemon for the metrics.
    leader_counters counters;
    bool scheduleNeeded = false;
};

/// Makes the state of a daemon on standby.
leader makeLeader(const daemon_settings &settings, incarnation_id incarnation);

/// True if the leader may accept new jobs: it holds, and has read, workers in enough racks, and has the newest
/// configuration and VM list that any of these workers has reported.
bool isComplete(const leader &state, time_point now);

} // namespace sesamespar
