// One term of the leader of a cell: it reads jobs and runs from the store, places waiting work, writes each run to the
// store before its start, and stores how runs end. All of it runs on the control thread. A term ends when another
// daemon takes over, when this daemon receives a stop request, or with the process.
#pragma once

#include "base/strong_value.h"
#include "connection/cell_context.h"
#include "connection/store_mirror.h"
#include "request/cell_load.h"
#include "term/cell_state.h"
#include "term/long_request_limit.h"
#include "term/worker_dispatch.h"
#include "term/worker_reports.h"

#include <functional>
#include <memory>
#include <set>

namespace sesamespar {

/// State of the calls to one worker.
struct worker_session {
    timer nextPoll;
    bool polling = false;
    bool noWait = true; ///< The next poll requests an immediate report.
};

/// Daemon that calls the advisor on behalf of the leader.
struct advice_proxy {
    address at; ///< Empty for the leader itself.
    double backlogMs = 0; ///< Expected time of the advisor for the unanswered requests of this proxy.
    time_point avoidedUntil; ///< In uptime; no requests before, unless it responds.
    bool reachable = true; ///< False while the link to the daemon passes nothing.
};

/// A request to the advisor without a response yet. It is sent through one proxy, and through more while none responds.
struct open_advice_request {
    advice_request request;
    double costMs = 0; ///< Expected time of the advisor.
    bool isLong = false; ///< See takesLong of job_placement.h.
    unsigned rounds = 0; ///< Number of times it was sent, through one or more proxies each time.
    std::size_t openAttempts = 0;
    std::vector<daemon_id> tried; ///< Proxies, in the order of the attempts.
    time_point dueAt; ///< In uptime; it is repeated afterwards.
};

/// Identifies an open request within a term.
using advice_request_number = strong_value<struct advice_request_number_tag, std::uint64_t>;

/// A request that was sent through one proxy. It outlives the request, so that a late response still shows that the
/// proxy responds.
struct advice_attempt {
    advice_request_number request;
    daemon_id proxy;
    double costMs = 0; ///< Part of the proxy's backlog.
    time_point sentAt; ///< In uptime.
    time_point dueAt; ///< In uptime; the response is overdue afterwards.
    bool overdue = false;
};

/// A final job whose progress the store keeps for status queries of callers.
struct finished_job {
    job_phase phase = job_phase::Completed;
    utc_time ended;
    bool cancelStored = false; ///< The store also keeps a cancellation, for example of a withdrawn job.
};

/// Placement passes since the last report.
struct pass_figures {
    std::size_t count = 0;
    time_point::duration total{0};
};

/// State of the term.
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
    bool recovered = false; ///< All jobs and their progress have been read.
    bool workersListed = false;
    bool configured = false; ///< A configuration was adopted; without one the limits of organisations are unknown.
    bool ended = false;
    time_point termConfirmedAt; ///< When the latest applied transaction was sent, in uptime.

    std::shared_ptr<store_mirror> jobs;
    follow_handle workerList;
    std::map<job_key, std::pair<job_progress, store_revision>> recoveredProgress;
    std::map<job_key, finished_job> finished; ///< Final jobs whose progress is kept.

    unsigned openCommits = 0;
    timer commitTimer;
    bool commitScheduled = false;
    time_point commitAfter; ///< In uptime; no transaction before. Set after a failed one.

    std::map<worker_id, worker_session> sessions;
    worker_dispatch dispatch;
    std::map<daemon_id, advice_proxy> proxies;
    std::map<advice_request_number, open_advice_request> adviceRequests;
    std::map<correlation_id, advice_attempt> adviceAttempts;
    advice_request_number lastAdviceRequest;
    short_request_use shortRequests; ///< Limits the long requests; see long_request_limit.h.

    cell_load load;
    bool loadWriting = false;
    time_point nextLoadAt; ///< In uptime.
    timer upkeepTimer;
    bool placementDue = false;
    timer placementTimer;
    time_point nextPlacementAt; ///< In uptime; no placement pass before.
    pass_figures passes;
};

/// Begins a term. `fence` is the revision at which the term's key was written.
std::shared_ptr<cell_leader> beginTerm(cell_context &context,
                                       fencing_token fence,
                                       std::function<void(const char *reason)> stepDown,
                                       const clock_reading &now);

/// Ends the term: sends nothing more and ignores outstanding responses.
void endTerm(cell_leader &leader, const char *reason);

/// Runs after each batch of events: places waiting work, sends stops, writes changed progress.
void settleTerm(const std::shared_ptr<cell_leader> &leader, const clock_reading &now);

/// State of a job for callers: a final state only after it has been stored. Empty if the job is unknown to this term or
/// the jobs have not been read yet.
std::optional<job_phase> visiblePhase(const cell_leader &leader, const job_key &key);

/// Adopts a version of the configuration: the organisations with their limits and shares.
void adoptConfiguration(cell_leader &leader, const cell_configuration &configuration);

/// Sets the daemons that serve as advice proxies, besides the leader itself, and as executors.
void setDaemons(cell_leader &leader, const std::map<daemon_id, address> &daemons, const clock_reading &now);

/// Notes that the link to a daemon passes nothing, or that it passes data again. What waits for an unreachable daemon
/// is given to others at once.
void setReachable(cell_leader &leader, const address &at, bool reachable, const clock_reading &now);

} // namespace sesamespar
