// The front end's side of callers' requests: checks them, hands them to the leader of the team's home data
// centre, repeats them until an answer comes, and answers each caller exactly once.
#pragma once

#include "base/backoff.h"
#include "connection/event.h"
#include "process/membership.h"
#include "version/configuration.h"
#include "version/daemon_settings.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace sesamespar {

/// Most requests that wait for an answer at the same time.
constexpr std::size_t maxOpenRequests = 8192;
/// Shortest time that is given to the acceptance of a request, whatever its caller's wait is.
constexpr milliseconds shortestAcceptance{3000};
/// Longest time that a request is held open.
constexpr milliseconds longestWait{60000};
/// How far clocks may be apart.
constexpr milliseconds clockTolerance{30000};

/// A request that its caller waits for.
struct open_request {
    front_end_request_id id;
    job_call call;
    data_centre_id home;
    time_point waitUntil; ///< When the caller's own wait ends.
    time_point deadline; ///< When it is answered in any case; not before waitUntil.
    time_point next; ///< When it is sent on or polled again, or given up.
    std::optional<daemon_id> sentTo; ///< Daemon that it was sent to last.
    unsigned sends = 0; ///< Times that the call itself, not a poll, was sent on.
    unsigned retries = 0; ///< For the backoff.
    std::optional<job_answer> latest; ///< Newest answer that does not end the request: Accepted or Unknown.
};

/// Leader of a data centre as requests were last sent on by it.
struct known_leader {
    std::optional<daemon_id> name;
    bool complete = false;

    bool operator==(const known_leader &) const = default;
};

/// State of routing at one front end.
struct routing {
    std::mt19937_64 *random = nullptr; ///< Outlives this struct.
    retry_budget budget{512, 512, 0.2}; ///< Of all requests together.
    std::uint64_t lastCorrelation = 0; ///< Starts at random, so that answers to a former process match nothing.
    std::unordered_map<correlation_id, open_request> open;
    std::set<std::pair<time_point, correlation_id>> due; ///< One entry for each open request, at its `next`.
    std::map<data_centre_id, known_leader> leaders; ///< As onLeaderChange() last saw them.
    std::optional<time_point> drainUntil; ///< Set while draining: no request is held longer.
    std::uint64_t droppedAnswers = 0; ///< Answers whose request was gone.
    std::uint64_t withheldRetries = 0; ///< Retries that the budget did not allow.
};

/// Makes the state without open requests.
routing makeRouting(std::mt19937_64 &random);

/// Checks a caller's request and sends it on, or answers it at once. `settings` may be null.
void startRequest(routing &state,
                  front_end_request_id id,
                  const job_call &call,
                  const configuration_ptr &settings,
                  const membership &view,
                  const clock_reading &now,
                  outbox &out);

/// Handles an answer; one whose request is gone is dropped. An answer that says that the request was not run
/// only counts if the request was sent once: a second copy on its way could still be taken, so the caller
/// is told Unknown then.
void onForwardAnswer(
    routing &state, const daemon_id &sender, const forward_answer &answer, const clock_reading &now, outbox &out);

/// Makes the requests due whose leader has changed or became complete, spread over a short time. Called after
/// a heartbeat and when this daemon begins or ceases to lead; cheap if nothing has changed.
void onLeaderChange(routing &state, const membership &view, const clock_reading &now);

/// Takes no new requests from now on, and answers the open ones until `limit`.
void startDraining(routing &state, time_point limit, const clock_reading &now);

/// Number of requests whose callers wait.
std::size_t openRequests(const routing &state);

/// Time at which onTick() has something to do; time_point::max() if nothing waits.
time_point nextWake(const routing &state);

/// Repeats, polls and gives up requests that are due.
void onTick(routing &state, const membership &view, const clock_reading &now, outbox &out);

} // namespace sesamespar
