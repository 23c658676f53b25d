// One term of the leader of a cell: it reads jobs and runs, places what waits, notes each run before it starts it,
// and keeps the ends. All of it runs on the control thread. A term ends when another daemon has taken over, when this
// daemon is told to stop, or with the process.
#pragma once

#include "connection/cell_context.h"
#include "connection/store_mirror.h"
#include "request/cell_load.h"
#include "term/cell_state.h"
#include "term/worker_reports.h"

#include <functional>
#include <memory>
#include <set>

namespace sesamespar {

/// Calls to one worker.
struct worker_session {
    timer nextPoll;
    bool polling = false;
    bool noWait = true; ///< The next poll is answered at once.
};

/// Daemon that asks the advisor on behalf of the leader.
struct advice_proxy {
    address at; ///< Empty for the leader itself.
    double backlogMs = 0; ///< Time that the advisor needs for what was handed over and is not answered.
    time_point avoidedUntil; ///< In uptime.
};

/// A question handed over.
struct open_advice_request {
    advice_request request;
    daemon_id proxy;
    double costMs = 0;
    time_point sentAt; ///< In uptime.
    time_point dueAt; ///< In uptime.
};

/// A final job whose progress the store keeps for callers that ask.
struct finished_job {
    job_phase phase = job_phase::Completed;
    utc_time ended;
};

/// The term.
struct cell_leader : std::enable_shared_from_this<cell_leader> {
    explicit cell_leader(cell_context &daemonContext)
        : context(daemonContext)
    {
    }

    cell_context &context;
    fencing_token fence; ///< Also the revision of the term's key.
    time_point beganAt; ///< In uptime.
    std::function<void(const char *reason)> stepDown;

    cell_state state;
    bool recovered = false; ///< All jobs and their progress were read.
    bool workersListed = false;
    bool ended = false;
    time_point termConfirmedAt; ///< When the latest transaction that the store applied was sent, in uptime.

    std::shared_ptr<store_mirror> jobs;
    follow_handle workerList;
    std::map<job_key, std::pair<job_progress, store_revision>> recoveredProgress;
    std::map<job_key, finished_job> finished; ///< Final jobs whose progress is kept.

    unsigned openCommits = 0;
    timer commitTimer;
    bool commitScheduled = false;
    time_point commitAfter; ///< In uptime; no transaction before, after a fault.

    std::map<worker_id, worker_session> sessions;
    std::map<daemon_id, advice_proxy> proxies;
    std::map<correlation_id, open_advice_request> adviceRequests;

    cell_load load;
    bool loadWriting = false;
    time_point nextLoadAt; ///< In uptime.
    timer upkeepTimer;
    bool placementDue = false;
};

/// Begins a term. `fence` is the revision at which the term's key was written.
std::shared_ptr<cell_leader> beginTerm(cell_context &context,
                                       fencing_token fence,
                                       std::function<void(const char *reason)> stepDown,
                                       const clock_reading &now);

/// Ends the term: nothing is sent any more and answers under way are ignored.
void endTerm(cell_leader &leader, const char *reason);

/// Runs after each batch of events: places what waits, writes what has changed, sends stops.
void settleTerm(const std::shared_ptr<cell_leader> &leader, const clock_reading &now);

/// State of a job as callers may be told it: a final state only once the store holds it. Nothing if this term does not
/// know the job.
std::optional<job_phase> visiblePhase(const cell_leader &leader, const job_key &key);

/// Sets the daemons that ask the advisor on behalf of the leader, besides itself.
void setAdviceProxies(cell_leader &leader, const std::map<daemon_id, address> &daemons);

} // namespace sesamespar
