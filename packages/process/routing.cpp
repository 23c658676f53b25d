#include "process/routing.h"

#include <algorithm>
#include <sstream>

namespace sesamespar {

namespace {

/// Delay before a call is sent again. A decision takes milliseconds, so an answer that is missing after the first delay
/// was probably lost.
constexpr backoff_settings resendBackoff{milliseconds(400), milliseconds(2000)};
/// Delay before a call is sent again after a daemon answered that it does not lead.
constexpr backoff_settings redirectBackoff{milliseconds(50), milliseconds(1000)};
/// Interval of checks for a leader while none is known; a heartbeat usually arrives first.
constexpr milliseconds leaderRecheck{200};
/// Interval of polls for the outcome of an accepted job.
constexpr backoff_settings pollInterval{milliseconds(1200), milliseconds(1200)};
/// Time over which requests are spread when a leader has changed.
constexpr backoff_settings redirectSpread{milliseconds(50), milliseconds(50)};
/// Suggested delay before the caller retries; the jitter shortens it by at most half.
constexpr backoff_settings callerRetryDelay{milliseconds(2000), milliseconds(2000)};
/// Most bytes of a leader's reason that are quoted; decoders accept reasons of at most 1024 bytes.
constexpr std::size_t maxQuoteBytes = 512;
/// Prefix of the keys of jobs that the system starts for services.
constexpr std::string_view reservedPrefix = "service:";

template<typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

const job_id &idOf(const job_call &call)
{
    return std::visit(overloaded{[](const submit_request &submit) -> const job_id & { return submit.job.id; },
                                 [](const auto &other) -> const job_id & {
                                     return other.id;
                                 }},
                      call);
}

milliseconds waitOf(const job_call &call)
{
    const auto wait = std::visit(overloaded{[](const cancel_request &) { return milliseconds(0); },
                                            [](const auto &other) {
                                                return other.wait;
                                            }},
                                 call);
    return std::clamp(wait, milliseconds(0), maxWait);
}

bool isSubmit(const job_call &call)
{
    return std::holds_alternative<submit_request>(call);
}

/// Copies a call with the time left as its wait.
job_call withWait(const job_call &call, milliseconds left)
{
    job_call copy = call;
    std::visit(overloaded{[](cancel_request &) {},
                          [&](auto &other) {
                              other.wait = left;
                          }},
               copy);
    return copy;
}

milliseconds waitLeft(const open_request &request, time_point now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(request.waitUntil - now);
    return std::max(left, milliseconds(0));
}

bool isAccepted(const open_request &request)
{
    return request.latest && request.latest->status == answer_status::Accepted;
}

job_answer makeAnswer(const job_call &call, answer_status status, std::string reason, milliseconds retryAfter)
{
    job_answer answer;
    answer.status = status;
    answer.id = idOf(call);
    answer.reason = std::move(reason);
    answer.retryAfter = retryAfter;
    return answer;
}

/// Answer to a call that this front end did not send on. Only submissions are refused: for a status query or a
/// cancellation, "refused" would mean that the job itself had not run.
job_answer notSentAnswer(const job_call &call, std::string reason, milliseconds retryAfter)
{
    const auto status = isSubmit(call) ? answer_status::Refused : answer_status::Unknown;
    return makeAnswer(call, status, std::move(reason), retryAfter);
}

std::string describeBadName(const char *what, const std::string &value)
{
    std::ostringstream text;
    text << what << " is " << value.size() << " bytes long, 1 to " << maxNameBytes << " are allowed";
    return text.str();
}

bool isBadName(const std::string &value)
{
    return value.empty() || value.size() > maxNameBytes;
}

std::string describeUndeclared(const char *what, const std::string &name, const configuration &settings)
{
    std::ostringstream text;
    text << what << " \"" << name << "\" is not declared in configuration version " << settings.version;
    return text.str();
}

/// Reason why the declared work does not allow the submission, or an empty text.
std::string workProblem(const job_request &job, const configuration &settings)
{
    const work_settings *work = findWork(settings, job.work);
    if (work == nullptr) {
        return describeUndeclared("work", job.work.value, settings);
    }
    if (work->team != job.id.team) {
        return "work \"" + job.work.value + "\" belongs to another team";
    }
    if (work->kind == work_kind::Service) {
        return "work \"" + job.work.value + "\" is a service, which the system starts by itself";
    }
    return {};
}

/// Reason why a submission can never be accepted, or an empty text.
std::string submitProblem(const job_request &job, const configuration &settings, utc_time now)
{
    if (isBadName(job.id.key.value)) {
        return describeBadName("key", job.id.key.value);
    }
    if (job.id.key.value.rfind(reservedPrefix, 0) == 0) {
        return "keys that begin with \"service:\" are reserved";
    }
    if (job.payload.size() > maxPayloadBytes) {
        std::ostringstream text;
        text << "payload has " << job.payload.size() << " bytes, at most " << maxPayloadBytes << " are allowed";
        return text.str();
    }
    if (job.expires.value - maxClockSkew.count() > now.value + settings.retention.count()) {
        std::ostringstream text;
        text << "expires is more than " << settings.retention.count() << " ms in the future";
        return text.str();
    }
    return workProblem(job, settings);
}

milliseconds retryDelayForCaller(routing &state)
{
    return backoffDelay(callerRetryDelay, 0, *state.random);
}

/// Answer to a call that cannot be sent on, or nothing if it can.
std::optional<job_answer>
checkCall(routing &state, const job_call &call, const configuration_ptr &settings, utc_time now)
{
    if (state.drainUntil) {
        return notSentAnswer(
            call, "this daemon is shutting down; this request was not sent on", retryDelayForCaller(state));
    }
    if (!settings) {
        return notSentAnswer(
            call, "this daemon has no configuration yet; this request was not sent on", retryDelayForCaller(state));
    }
    const job_id &id = idOf(call);
    if (findTeam(*settings, id.team) == nullptr) {
        return notSentAnswer(call, describeUndeclared("team", id.team.value, *settings), milliseconds(0));
    }
    if (const auto *submit = std::get_if<submit_request>(&call)) {
        if (submit->job.expires <= now) {
            return makeAnswer(call, answer_status::Expired, "the expiry of the request has passed", milliseconds(0));
        }
        auto problem = submitProblem(submit->job, *settings, now);
        if (!problem.empty()) {
            return notSentAnswer(call, std::move(problem), milliseconds(0));
        }
    }
    if (state.open.size() >= maxOpenRequests) {
        return notSentAnswer(call,
                             "too many requests are open at this daemon; this request was not sent on",
                             retryDelayForCaller(state));
    }
    return std::nullopt;
}

void schedule(routing &state, const correlation_id &correlation, open_request &request, time_point next)
{
    state.due.erase({request.next, correlation});
    request.next = std::min(next, request.deadline);
    state.due.emplace(request.next, correlation);
}

void finish(routing &state, const correlation_id &correlation, job_answer answer, outbox &out)
{
    const auto found = state.open.find(correlation);
    answer.id = idOf(found->second.call);
    out.emplace_back(answer_front_end{found->second.id, std::move(answer)});
    state.due.erase({found->second.next, correlation});
    state.open.erase(found);
}

/// Final answer to a request whose deadline has passed.
job_answer lastAnswer(routing &state, const open_request &request)
{
    if (request.latest) {
        return *request.latest;
    }
    if (request.sends == 0) {
        return notSentAnswer(request.call,
                             "no leader of data centre " + request.home.value
                                 + " is known; this request was not sent on",
                             retryDelayForCaller(state));
    }
    return makeAnswer(request.call,
                      answer_status::Unknown,
                      "the leader of data centre " + request.home.value + " did not answer in time",
                      retryDelayForCaller(state));
}

void sendCall(routing &state,
              const correlation_id &correlation,
              open_request &request,
              const daemon_id &leader,
              time_point now,
              outbox &out)
{
    out.emplace_back(send_peer{leader, forward_request{correlation, withWait(request.call, waitLeft(request, now))}});
    request.sentTo = leader;
    ++request.sends;
    schedule(state, correlation, request, now + backoffDelay(resendBackoff, request.retries, *state.random));
}

void sendPoll(routing &state,
              const correlation_id &correlation,
              open_request &request,
              const daemon_id &leader,
              time_point now,
              outbox &out)
{
    const status_request poll{idOf(request.call), waitLeft(request, now)};
    out.emplace_back(send_peer{leader, forward_request{correlation, poll}});
    request.sentTo = leader;
    schedule(state, correlation, request, now + backoffDelay(pollInterval, 0, *state.random));
}

/// Repeats a call to the leader that it was last sent to, if the leader can answer and the retry budget allows it.
void repeatCall(routing &state,
                const correlation_id &correlation,
                open_request &request,
                const daemon_id &leader,
                bool complete,
                time_point now,
                outbox &out)
{
    if (request.latest && !complete) {
        // The leader answered Unknown and will do so again until it is complete.
        schedule(state, correlation, request, now + leaderRecheck);
        return;
    }
    ++request.retries;
    if (!takeRetryToken(state.budget)) {
        ++state.withheldRetries;
        schedule(state, correlation, request, now + backoffDelay(resendBackoff, request.retries, *state.random));
        return;
    }
    sendCall(state, correlation, request, leader, now, out);
}

void advance(routing &state, const correlation_id &correlation, const membership &view, time_point now, outbox &out)
{
    open_request &request = state.open.at(correlation);
    if (now >= request.deadline) {
        finish(state, correlation, lastAnswer(state, request), out);
        return;
    }
    const auto leader = leaderOf(view, request.home, now);
    if (!leader) {
        schedule(state, correlation, request, now + leaderRecheck);
    } else if (isAccepted(request)) {
        sendPoll(state, correlation, request, *leader, now, out);
    } else if (request.sentTo != leader) {
        // The first send to a new leader does not use the retry budget, since leaders change rarely.
        sendCall(state, correlation, request, *leader, now, out);
    } else {
        repeatCall(state, correlation, request, *leader, isCompleteLeader(view, *leader, now), now, out);
    }
}

/// True for the statuses that mean that the submission was not run.
bool meansNotRun(answer_status status)
{
    return status == answer_status::Refused || status == answer_status::Conflict || status == answer_status::Expired;
}

void onNotRun(
    routing &state, const correlation_id &correlation, open_request &request, const job_answer &answer, outbox &out)
{
    const bool certain = isSubmit(request.call) ? request.sends == 1 : answer.status != answer_status::Refused;
    if (certain) {
        finish(state, correlation, answer, out);
        return;
    }
    auto unknown =
        makeAnswer(request.call,
                   answer_status::Unknown,
                   "the leader answered \"" + std::string(answerStatusName(answer.status))
                       + "\", but the request was sent more than once: " + answer.reason.substr(0, maxQuoteBytes),
                   answer.retryAfter);
    if (!isSubmit(request.call)) {
        unknown.reason = answer.reason;
    }
    finish(state, correlation, std::move(unknown), out);
}

void onAccepted(routing &state,
                const correlation_id &correlation,
                open_request &request,
                const job_answer &answer,
                time_point now,
                outbox &out)
{
    if (now >= request.waitUntil) {
        finish(state, correlation, answer, out);
        return;
    }
    const bool first = !isAccepted(request);
    request.latest = answer;
    request.deadline = request.waitUntil;
    const auto poll = now + backoffDelay(pollInterval, 0, *state.random);
    schedule(state, correlation, request, first ? poll : std::min(request.next, poll));
}

void onJobAnswer(routing &state,
                 const correlation_id &correlation,
                 open_request &request,
                 const job_answer &answer,
                 time_point now,
                 outbox &out)
{
    if (answer.status == answer_status::Accepted) {
        onAccepted(state, correlation, request, answer, now, out);
        return;
    }
    if (answer.status == answer_status::Unknown) {
        if (!isAccepted(request)) {
            request.latest = answer;
        }
        return;
    }
    if (answer.status == answer_status::NotFound) {
        // For a submission, NotFound is the answer to a poll by a leader that has not read all records yet.
        if (!isSubmit(request.call) && !isAccepted(request)) {
            finish(state, correlation, answer, out);
        }
        return;
    }
    if (!meansNotRun(answer.status)) {
        finish(state, correlation, answer, out);
    } else if (!isAccepted(request)) {
        onNotRun(state, correlation, request, answer, out);
    }
}

void onNotLeader(
    routing &state, const correlation_id &correlation, open_request &request, const daemon_id &sender, time_point now)
{
    if (request.sentTo != sender || isAccepted(request)) {
        return;
    }
    const auto resendAt = now + backoffDelay(redirectBackoff, request.retries, *state.random);
    schedule(state, correlation, request, std::min(request.next, resendAt));
}

known_leader currentLeader(const membership &view, const data_centre_id &home, time_point now)
{
    known_leader current;
    current.name = leaderOf(view, home, now);
    current.complete = current.name && isCompleteLeader(view, *current.name, now);
    return current;
}

/// Current leaders of the data centres whose leader has changed or has become complete since the last call.
std::map<data_centre_id, known_leader> changedLeaders(routing &state, const membership &view, time_point now)
{
    std::map<data_centre_id, known_leader> changed;
    for (auto &[home, known] : state.leaders) {
        auto current = currentLeader(view, home, now);
        if (current.name && current != known) {
            changed[home] = current;
        }
        known = std::move(current);
    }
    return changed;
}

/// True if the request should be sent to the leader now: the leader has not been sent the request yet, or it answered
/// Unknown before it was complete.
bool benefitsFromResend(const known_leader &leader, const open_request &request)
{
    return request.sentTo != leader.name || (leader.complete && request.latest && !isAccepted(request));
}

} // namespace

routing makeRouting(std::mt19937_64 &random)
{
    routing state;
    state.random = &random;
    state.lastCorrelation = random();
    return state;
}

void startRequest(routing &state,
                  front_end_request_id id,
                  const job_call &call,
                  const configuration_ptr &settings,
                  const membership &view,
                  const clock_reading &now,
                  outbox &out)
{
    if (auto answer = checkCall(state, call, settings, now.utc)) {
        out.emplace_back(answer_front_end{id, std::move(*answer)});
        return;
    }
    addRetryTokens(state.budget);
    const correlation_id correlation(++state.lastCorrelation);
    open_request request;
    request.id = id;
    request.call = call;
    request.home = findTeam(*settings, idOf(call).team)->home;
    request.waitUntil = now.monotonic + waitOf(call);
    request.deadline = std::max(request.waitUntil, now.monotonic + minAcceptanceTime);
    request.next = now.monotonic;
    state.due.emplace(request.next, correlation);
    if (state.leaders.count(request.home) == 0) {
        state.leaders[request.home] = currentLeader(view, request.home, now.monotonic);
    }
    state.open.emplace(correlation, std::move(request));
    advance(state, correlation, view, now.monotonic, out);
}

void onForwardAnswer(
    routing &state, const daemon_id &sender, const forward_answer &answer, const clock_reading &now, outbox &out)
{
    const auto found = state.open.find(answer.correlation);
    if (found == state.open.end()) {
        ++state.droppedAnswers;
        return;
    }
    open_request &request = found->second;
    if (answer.notLeader) {
        onNotLeader(state, answer.correlation, request, sender, now.monotonic);
    } else if (answer.answer.id != idOf(request.call)) {
        ++state.droppedAnswers;
    } else {
        onJobAnswer(state, answer.correlation, request, answer.answer, now.monotonic, out);
    }
}

void onLeaderChange(routing &state, const membership &view, const clock_reading &now)
{
    const auto changed = changedLeaders(state, view, now.monotonic);
    if (changed.empty()) {
        return;
    }
    for (auto &[correlation, request] : state.open) {
        const auto leader = changed.find(request.home);
        if (leader != changed.end() && benefitsFromResend(leader->second, request)) {
            const auto resendAt = now.monotonic + backoffDelay(redirectSpread, 0, *state.random);
            schedule(state, correlation, request, std::min(request.next, resendAt));
        }
    }
}

void startDraining(routing &state, time_point limit, const clock_reading &now)
{
    state.drainUntil = std::max(limit, now.monotonic);
    for (auto &[correlation, request] : state.open) {
        request.deadline = std::min(request.deadline, *state.drainUntil);
        request.waitUntil = std::min(request.waitUntil, request.deadline);
        schedule(state, correlation, request, request.next);
    }
}

std::size_t openRequests(const routing &state)
{
    return state.open.size();
}

time_point nextWake(const routing &state)
{
    return state.due.empty() ? time_point::max() : state.due.begin()->first;
}

void onTick(routing &state, const membership &view, const clock_reading &now, outbox &out)
{
    // Each request that is due is handled once: advance() removes it or schedules it later than now.
    while (!state.due.empty() && state.due.begin()->first <= now.monotonic) {
        const correlation_id correlation = state.due.begin()->second;
        advance(state, correlation, view, now.monotonic, out);
    }
}

} // namespace sesamespar
