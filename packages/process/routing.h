// Routes callers' requests at the front end: checks them, forwards them to the leader of the team's home data centre,
// repeats them until an answer arrives, and answers each caller exactly once.
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

/// Most requests that can be open at the same time; further requests are not sent on.
constexpr std::size_t maxOpenRequests = 8192;
/// Time within which a request can be accepted, even if its caller's wait is shorter.
constexpr milliseconds minAcceptanceTime{3000};
/// Longest time that a request is held open.
constexpr milliseconds maxWait{60000};
/// Largest difference between the clocks of two machines that is tolerated.
constexpr milliseconds maxClockSkew{30000};

/// A request whose caller waits for an answer.
struct open_request {
    front_end_request_id id;
    job_call call;
    data_centre_id home;
    time_point waitUntil; ///< When the caller's own wait ends.
    time_point deadline; ///< When the request is answered in any case; not before waitUntil.
    time_point next; ///< When the next send, poll or final answer is due.
    std::optional<daemon_id> sentTo; ///< Daemon that received the last send or poll.
    unsigned sends = 0; ///< How often the call itself was sent; polls are not counted.
    unsigned retries = 0; ///< Number of retries, for the backoff.
    std::optional<job_answer> latest; ///< Newest answer that does not end the request: Accepted or Unknown.
};

/// Leader of a data centre as onLeaderChange() last saw it.
struct known_leader {
    std::optional<daemon_id> name;
    bool complete = false;

    bool operator==(const known_leader &) const = default;
};

/// State of routing at one front end.
struct routing {
    std::mt19937_64 *random = nullptr; ///< Outlives this struct.
    retry_budget budget{512, 512, 0.2}; ///< Shared by all requests.
    std::uint64_t lastCorrelation = 0; ///< Starts at random, so that answers to a former process match no request.
    std::unordered_map<correlation_id, open_request> open;
    std::set<std::pair<time_point, correlation_id>> due; ///< One entry for each open request, at its `next`.
    std::map<data_centre_id, known_leader> leaders; ///< By home data centre of the requests so far.
    std::optional<time_point> drainUntil; ///< Set while draining: all requests are answered by then.
    std::uint64_t droppedAnswers = 0; ///< Answers that matched no open request.
    std::uint64_t withheldRetries = 0; ///< Retries that the budget did not allow.
};

/// Makes the state of a front end without open requests.
routing makeRouting(std::mt19937_64 &random);

/// Checks a caller's request and sends it on, or answers it at once. `settings` may be null.
void startRequest(routing &state,
                  front_end_request_id id,
                  const job_call &call,
                  const configuration_ptr &settings,
                  const membership &view,
                  const clock_reading &now,
                  outbox &out);

/// Handles an answer; answers that match no open request are dropped. An answer saying that the request was not run is
/// passed on only if the request was sent once. After several sends the caller gets Unknown, because another copy may
/// still be accepted.
void onForwardAnswer(
    routing &state, const daemon_id &sender, const forward_answer &answer, const clock_reading &now, outbox &out);

/// Schedules the requests whose leader has changed or has become complete, spread over a short time. Called after each
/// heartbeat and when this daemon begins or ceases to lead; cheap if nothing has changed.
void onLeaderChange(routing &state, const membership &view, const clock_reading &now);

/// Accepts no new requests from now on, and answers all open requests by `limit`.
void startDraining(routing &state, time_point limit, const clock_reading &now);

/// Number of open requests.
std::size_t openRequests(const routing &state);

/// Time at which the next open request is due; time_point::max() if there is none.
time_point nextWake(const routing &state);

/// Sends, polls or finally answers each request that is due.
void onTick(routing &state, const membership &view, const clock_reading &now, outbox &out);

} // namespace sesamespar
