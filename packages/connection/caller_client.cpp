#include "connection/caller_client.h"

#include "connection/codec.h"
#include "connection/http_call.h"
#include "connection/json_text.h"

#include <algorithm>
#include <functional>
#include <random>
#include <thread>

namespace sesamespar {

struct caller_client {
    caller_client_settings settings;
    std::vector<http_endpoint_ptr> endpoints; ///< One for each daemon if connections are reused.
};

void caller_client_deleter::operator()(caller_client *client) const
{
    delete client;
}

namespace {

/// Shortest timeout of an attempt. No retry starts if less time is left before the deadline of the call.
constexpr milliseconds minAttemptTime{100};

/// Progress of a call over its attempts.
struct retry_state {
    caller_client &client;
    time_point deadline;
    std::size_t daemon = 0; ///< Index of the daemon for the next attempt, modulo the number of daemons.
    unsigned attempts = 0;
    bool uncertain = false; ///< An attempt may have taken effect.
    std::string problem; ///< Why the latest inconclusive attempt failed.
};

milliseconds remaining(const retry_state &retry)
{
    const auto left = std::chrono::duration_cast<milliseconds>(retry.deadline - std::chrono::steady_clock::now());
    return std::max(left, milliseconds(0));
}

retry_state startRetries(caller_client &client, milliseconds wait)
{
    return {client, std::chrono::steady_clock::now() + client.settings.limit + wait};
}

std::mt19937_64 &randomGenerator()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return generator;
}

/// Sleeps for the backoff delay, at least `minDelay`. Returns false at once if the deadline leaves no time for a retry.
bool sleepBeforeRetry(retry_state &retry, milliseconds minDelay)
{
    const auto delay =
        std::max(minDelay, backoffDelay(retry.client.settings.backoff, retry.attempts - 1, randomGenerator()));
    if (remaining(retry) < delay + minAttemptTime) {
        return false;
    }
    std::this_thread::sleep_for(delay);
    return true;
}

/// Makes one attempt at the next daemon. Records whether an attempt without an answer, or one that the library made
/// before the answered one, may have taken effect.
http_outcome attemptCall(retry_state &retry, const http_call &call, milliseconds wait)
{
    caller_client &client = retry.client;
    const std::size_t index = retry.daemon++ % client.settings.daemons.size();
    ++retry.attempts;
    const auto idleTimeout =
        std::clamp(client.settings.attemptTimeout + wait, minAttemptTime, remaining(retry) + minAttemptTime);
    const bool reused = client.settings.reuseConnections;
    const http_endpoint_ptr endpoint = reused
        ? client.endpoints[index]
        : makeHttpEndpoint(client.settings.daemons[index], client.settings.secret, idleTimeout);
    http_outcome outcome = performCall(*endpoint, call, reused);
    retry.uncertain = retry.uncertain || outcome.resent;
    if (outcome.delivery != call_delivery::Answered) {
        retry.uncertain = retry.uncertain || outcome.delivery == call_delivery::Uncertain;
        retry.problem = client.settings.daemons[index].value + ": " + outcome.problem;
    }
    return outcome;
}

/// Error message of a daemon's answer.
std::string errorText(const http_outcome &outcome)
{
    const auto message = jsonString(outcome.body, "error");
    return message ? *message : "the daemon answered with HTTP status " + std::to_string(outcome.status);
}

/// Error for a status that means that the daemon did not act on the request; nothing for any other status.
std::optional<error> rejectionFor(const http_outcome &outcome)
{
    switch (outcome.status) {
    case 401:
    case 403:
        return makeError(error_kind::Unauthorized, "the daemon does not accept the secret");
    case 404:
        return makeError(error_kind::NotFound, errorText(outcome));
    case 400:
    case 405:
    case 409:
    case 411:
    case 413:
    case 414:
    case 415:
    case 422:
    case 431:
        return makeError(error_kind::InvalidInput, errorText(outcome));
    case 429:
    case 503:
        return makeError(error_kind::Overloaded, errorText(outcome));
    default:
        return std::nullopt;
    }
}

/// True if the answer determines the outcome of the call. `uncertain`: an earlier attempt may have taken effect.
bool isConclusive(answer_status status, bool uncertain)
{
    switch (status) {
    case answer_status::Unknown:
        return false;
    case answer_status::Refused:
        // Only this attempt is known not to have run; an earlier attempt may still be in transit.
        return !uncertain;
    default:
        return true;
    }
}

job_answer unknownAnswer(const job_id &id, std::string reason)
{
    job_answer answer;
    answer.status = answer_status::Unknown;
    answer.id = id;
    answer.reason = std::move(reason);
    return answer;
}

/// Error of a call whose attempts ended without a conclusive answer.
error exhaustedError(const retry_state &retry)
{
    if (retry.uncertain) {
        return makeError(error_kind::Unknown,
                         "no conclusive answer before the deadline; last problem: " + retry.problem);
    }
    return makeError(error_kind::Unreachable, "no daemon could be reached; last problem: " + retry.problem);
}

/// Answer or error of a call about a job whose attempts ended without a conclusive answer.
result<job_answer> exhaustedAnswer(const retry_state &retry, const job_id &id)
{
    if (retry.uncertain) {
        return unknownAnswer(id, exhaustedError(retry).message);
    }
    return exhaustedError(retry);
}

using make_call = std::function<http_call(milliseconds wait)>;

/// Calls the daemons in turn until an answer is conclusive or the deadline is reached.
result<job_answer> callJob(caller_client &client, const job_id &id, milliseconds wait, const make_call &make)
{
    retry_state retry = startRetries(client, wait);
    const time_point waitEnd = std::chrono::steady_clock::now() + wait;
    milliseconds retryDelay{0};
    do {
        const auto left = std::chrono::duration_cast<milliseconds>(waitEnd - std::chrono::steady_clock::now());
        const milliseconds waitLeft = std::max(left, milliseconds(0));
        const http_outcome outcome = attemptCall(retry, make(waitLeft), waitLeft);
        retryDelay = milliseconds(0);
        if (outcome.delivery != call_delivery::Answered) {
            continue;
        }
        const auto answer = decodeJobAnswer(outcome.body);
        if (answer && isConclusive(answer.value().status, retry.uncertain)) {
            if (answer.value().status == answer_status::Expired && retry.uncertain) {
                return unknownAnswer(id, "the request expired before the outcome of an earlier attempt was known");
            }
            return answer.value();
        }
        if (answer) {
            // After an answer of `unknown` this attempt may have been recorded.
            retry.uncertain = true;
            retry.problem = answer.value().reason;
            retryDelay = answer.value().retryAfter;
        } else if (const auto rejection = rejectionFor(outcome); rejection && !retry.uncertain) {
            // An overloaded or stopping daemon did not accept the request; each of the other daemons is tried once.
            if (rejection->kind != error_kind::Overloaded || retry.attempts >= client.settings.daemons.size()) {
                return *rejection;
            }
            retry.problem = rejection->message;
        } else {
            retry.uncertain = true;
            retry.problem = errorText(outcome);
        }
    } while (sleepBeforeRetry(retry, retryDelay));
    return exhaustedAnswer(retry, id);
}

std::string jobPath(const job_id &id)
{
    return "/v1/jobs/" + encodeSegment(id.team.value) + '/' + encodeSegment(id.key.value);
}

/// Calls the daemons in turn until one answers with success or rejects the call. For idempotent calls.
result<std::string> callUntilAnswered(caller_client &client, const http_call &call)
{
    retry_state retry = startRetries(client, milliseconds(0));
    do {
        const http_outcome outcome = attemptCall(retry, call, milliseconds(0));
        if (outcome.delivery != call_delivery::Answered) {
            continue;
        }
        if (outcome.status >= 200 && outcome.status < 300) {
            return outcome.body;
        }
        const auto rejection = rejectionFor(outcome);
        if (rejection && !retry.uncertain) {
            return *rejection;
        }
        retry.uncertain = true;
        retry.problem = errorText(outcome);
    } while (sleepBeforeRetry(retry, milliseconds(0)));
    return exhaustedError(retry);
}

apply_outcome applyResult(apply_outcome::kind kind, const http_outcome &outcome)
{
    apply_outcome applied;
    applied.outcome = kind;
    applied.version = config_version(jsonNumber(outcome.body, "version").value_or(0));
    applied.problems = jsonFindings(outcome.body).value_or(findings{});
    applied.message = kind == apply_outcome::kind::Applied ? "" : errorText(outcome);
    return applied;
}

/// Interprets an answer to PUT /v1/configuration.
apply_outcome readApplyAnswer(const http_outcome &outcome)
{
    using kind = apply_outcome::kind;
    const bool hasVersion = jsonNumber(outcome.body, "version").has_value();
    if (outcome.status == 200 && hasVersion) {
        return applyResult(kind::Applied, outcome);
    }
    if (outcome.status == 400 && jsonFindings(outcome.body)) {
        return applyResult(kind::Invalid, outcome);
    }
    if (outcome.status == 409 && hasVersion) {
        return applyResult(kind::Conflict, outcome);
    }
    const auto rejection = rejectionFor(outcome);
    apply_outcome refused = applyResult(rejection ? kind::Refused : kind::Unknown, outcome);
    if (rejection) {
        refused.message = rejection->message;
    }
    return refused;
}

/// Reads the active configuration after an attempt with an unknown outcome. The outcome is `Applied` if the active text
/// is the one that was sent, and `Unknown` otherwise.
apply_outcome verifyByReadingBack(caller_client &client, const std::string &text, std::string problem)
{
    apply_outcome outcome;
    outcome.message = std::move(problem);
    const auto inForce = fetchConfiguration(client);
    if (inForce && inForce.value().text == text) {
        outcome.outcome = apply_outcome::kind::Applied;
        outcome.version = inForce.value().version;
    }
    return outcome;
}

} // namespace

result<caller_client_ptr> makeCallerClient(caller_client_settings settings)
{
    if (settings.daemons.empty()) {
        return makeError(error_kind::InvalidInput, "no daemon address is given");
    }
    const bool printable =
        std::all_of(settings.secret.begin(), settings.secret.end(), [](char c) { return c > ' ' && c < 0x7F; });
    if (settings.secret.empty() || !printable) {
        return makeError(error_kind::InvalidInput,
                         "the secret is not valid, expected one or more printable ASCII characters without spaces");
    }
    caller_client_ptr client(new caller_client{std::move(settings), {}});
    for (const address &daemon : client->settings.daemons) {
        const auto endpoint = makeHttpEndpoint(daemon, client->settings.secret, client->settings.attemptTimeout);
        if (!endpoint) {
            return makeError(error_kind::InvalidInput, '"' + daemon.value + "\" is not an address, expected HOST:PORT");
        }
        if (client->settings.reuseConnections) {
            client->endpoints.push_back(endpoint);
        }
    }
    return client;
}

result<job_answer> submitJob(caller_client &client, const submit_request &request)
{
    return callJob(client, request.job.id, request.wait, [&](milliseconds wait) {
        const submit_request shortened{request.job, wait};
        return http_call{"POST", "/v1/jobs", encodeSubmitRequest(shortened), "application/json"};
    });
}

result<job_answer> queryJob(caller_client &client, const status_request &request)
{
    return callJob(client, request.id, request.wait, [&](milliseconds wait) {
        return http_call{"GET", jobPath(request.id) + "?wait_ms=" + std::to_string(wait.count()), "", ""};
    });
}

result<job_answer> cancelJob(caller_client &client, const cancel_request &request)
{
    return callJob(client, request.id, milliseconds(0), [&](milliseconds) {
        return http_call{"DELETE", jobPath(request.id), "", ""};
    });
}

result<configuration_text> fetchConfiguration(caller_client &client)
{
    const auto body = callUntilAnswered(client, {"GET", "/v1/configuration", "", ""});
    if (!body) {
        return body.error();
    }
    const auto version = jsonNumber(body.value(), "version");
    const auto text = jsonString(body.value(), "text");
    if (!version || !text) {
        return makeError(error_kind::Unknown, "the daemon's answer is not a configuration");
    }
    return configuration_text{config_version(*version), *text};
}

apply_outcome putConfiguration(caller_client &client, const std::string &text, std::optional<config_version> expected)
{
    const std::string query = expected ? "?expected=" + std::to_string(expected->value) : std::string();
    const http_call call{"PUT", "/v1/configuration" + query, text, "application/yaml"};
    retry_state retry = startRetries(client, milliseconds(0));
    do {
        const http_outcome outcome = attemptCall(retry, call, milliseconds(0));
        if (outcome.delivery == call_delivery::Answered) {
            apply_outcome read = readApplyAnswer(outcome);
            const bool conclusive = read.outcome == apply_outcome::kind::Applied
                || (!retry.uncertain && read.outcome != apply_outcome::kind::Unknown);
            if (conclusive) {
                return read;
            }
            retry.uncertain = true;
            retry.problem = read.message;
        }
    } while ((expected || !retry.uncertain) && sleepBeforeRetry(retry, milliseconds(0)));
    if (retry.uncertain) {
        return verifyByReadingBack(client, text, retry.problem);
    }
    apply_outcome notApplied;
    notApplied.outcome = apply_outcome::kind::Refused;
    notApplied.message = exhaustedError(retry).message;
    return notApplied;
}

result<std::string> drainVm(caller_client &client, const worker_id &vm)
{
    return callUntilAnswered(client, {"POST", "/v1/drain/" + encodeSegment(vm.value), "", ""});
}

result<std::string> fetchNodes(caller_client &client)
{
    return callUntilAnswered(client, {"GET", "/v1/nodes", "", ""});
}

result<std::string> fetchDump(caller_client &client)
{
    return callUntilAnswered(client, {"GET", "/v1/dump", "", ""});
}

result<std::string> fetchMetrics(caller_client &client)
{
    return callUntilAnswered(client, {"GET", "/v1/metrics", "", ""});
}

} // namespace sesamespar
