// State of a daemon as leader, or candidate for it, of its data centre. One control thread owns it; the
// modules around it are free functions over it.
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

/// Whether a daemon leads its data centre.
enum class leader_phase {
    Standby, ///< Another daemon leads or may lead.
    TakingOver, ///< Takes the workers over and reads their tasks and records.
    Leading, ///< Was complete at least once and decides.
};

/// Counters of what the leader did, for the metrics.
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

/// Sample of how long a task waited from its acceptance or requeue to its start command.
struct wait_sample {
    work_kind kind = work_kind::Batch;
    milliseconds waited{0};
};

/// An attempt whose outcome is recorded, at the worker that still knows it.
struct ended_attempt {
    worker_id worker;
    task_id task;
};

/// All state of the leader's role.
struct leader {
    daemon_id holder; ///< Name under which it holds leases; differs in each run of the process.
    data_centre_id dataCentre;
    timing_settings timing;
    std::mt19937_64 random;

    leader_phase phase = leader_phase::Standby;
    epoch_number epoch; ///< Of the present takeover.
    std::uint64_t recordCounter = 0; ///< Counts record revisions under the epoch.
    std::uint64_t callSerial = 0; ///< Never reused, so that late replies of an earlier takeover are told apart.
    time_point takeoverAt; ///< When the present takeover began.
    std::optional<time_point> incompleteSince; ///< Absent while complete.
    time_point noTakeoverBefore; ///< Until when it leaves a takeover to other daemons.
    bool archiveRead = false; ///< The archive was read in this takeover.
    bool releasing = false; ///< Finishes calls under way in order to release the leases.
    time_point releaseLimit; ///< When they are released in any case.
    config_version seenVersion; ///< Highest configuration that a worker has heard of.
    roster_revision seenRoster; ///< Highest VM list that a worker has heard of.

    configuration_ptr settings; ///< Null until a configuration is known.
    worker_table table;
    job_table jobs;
    scheduler_ptr decisions;
    std::map<worker_id, rack_id> markedHolders; ///< Workers that the newest copy marker lists.
    record_revision markerRevision; ///< Of that marker.
    std::set<job_id> jobsMissingCopies; ///< Jobs that lack a copy because no worker could take it.
    std::vector<worker_id> recordPair; ///< Workers that take the copies of jobs that arrive in this pass.
    std::multimap<time_point, task_key> delayedTasks; ///< Tasks that wait for their next attempt.
    std::multimap<time_point, ended_attempt> delayedForgets; ///< Ended attempts that workers may forget at that time.
    std::unordered_set<job_id> dirtyJobs; ///< Jobs to look at before the effects go out.
    std::set<worker_id> dirtyWorkers; ///< Workers with queued writes or commands.
    std::map<job_id, job_record> unreconciled; ///< Records read during the takeover, newest revision each.
    std::map<job_id, std::vector<record_copy>> unreconciledCopies; ///< Where they were found.
    std::vector<job_record> toArchive; ///< Records for the archive, taken by the daemon after each event.
    std::vector<wait_sample> waits; ///< Taken by the daemon for the metrics.
    leader_counters counters;
    bool scheduleNeeded = false;
};

/// Makes the state of a daemon that does not lead.
leader makeLeader(const daemon_settings &settings, incarnation_id incarnation);

/// True if the leader may accept new jobs: it holds and has read enough workers, and knows the newest
/// configuration and VM list that any of them has heard of.
bool isComplete(const leader &state, time_point now);

} // namespace sesamespar
