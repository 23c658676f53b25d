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
    std::vector<http_endpoint_ptr> kept; ///< One for each daemon if connections are reused.
};

void caller_client_deleter::operator()(caller_client *client) const
{
    delete client;
}

namespace {

/// Shortest time that is given to an attempt before the limit of the call.
constexpr milliseconds leastAttempt{100};

/// A call with its retries.
struct call_series {
    caller_client &client;
    time_point deadline;
    std::size_t daemon = 0; ///< Where the next attempt goes.
    unsigned attempts = 0;
    bool uncertain = false; ///< An attempt may have taken effect.
    std::string problem; ///< Of the latest attempt that was not conclusive.
};

milliseconds remaining(const call_series &series)
{
    const auto left = std::chrono::duration_cast<milliseconds>(series.deadline - std::chrono::steady_clock::now());
    return std::max(left, milliseconds(0));
}

call_series startSeries(caller_client &client, milliseconds wait)
{
    return {client, std::chrono::steady_clock::now() + client.settings.limit + wait};
}

std::mt19937_64 &randomSource()
{
    thread_local std::mt19937_64 source{std::random_device{}()};
    return source;
}

/// Sleeps before a retry. False if the limit of the call leaves no time for one.
bool pauseBeforeRetry(call_series &series, milliseconds atLeast)
{
    const auto delay =
        std::max(atLeast, backoffDelay(series.client.settings.backoff, series.attempts - 1, randomSource()));
    if (remaining(series) < delay + leastAttempt) {
        return false;
    }
    std::this_thread::sleep_for(delay);
    return true;
}

/// Makes one attempt at the next daemon and notes whether it may have taken effect without an answer.
http_outcome attemptCall(call_series &series, const http_call &call, milliseconds wait)
{
    caller_client &client = series.client;
    const std::size_t index = series.daemon++ % client.settings.daemons.size();
    ++series.attempts;
    const auto silence =
        std::clamp(client.settings.attemptTimeout + wait, leastAttempt, remaining(series) + leastAttempt);
    const bool reused = client.settings.reuseConnections;
    const http_endpoint_ptr endpoint =
        reused ? client.kept[index] : makeHttpEndpoint(client.settings.daemons[index], client.settings.secret, silence);
    http_outcome outcome = performCall(*endpoint, call, reused);
    if (outcome.delivery != call_delivery::Answered) {
        series.uncertain = series.uncertain || outcome.delivery == call_delivery::Uncertain;
        series.problem = client.settings.daemons[index].value + ": " + outcome.problem;
    }
    return outcome;
}

/// Message that a daemon gives for an error.
std::string errorText(const http_outcome &outcome)
{
    const auto message = jsonString(outcome.body, "error");
    return message ? *message : "the daemon answered with HTTP status " + std::to_string(outcome.status);
}

/// Statuses by which a daemon says that it did not act on the request.
std::optional<error> rejectionOf(const http_outcome &outcome)
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

/// True if the answer settles what became of the job, given whether an earlier attempt may have been recorded.
bool isConclusive(answer_status status, bool uncertain)
{
    switch (status) {
    case answer_status::Unknown:
        return false;
    case answer_status::Refused:
        // Says only that this attempt was not run; an earlier one may still be on its way.
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

/// Error for a series that ended without a conclusive answer.
error exhaustedError(const call_series &series)
{
    if (series.uncertain) {
        return makeError(error_kind::Unknown, "no conclusive answer within the limit; last: " + series.problem);
    }
    return makeError(error_kind::Unreachable, "no daemon could be reached; last: " + series.problem);
}

/// Answer for a series that ended without a conclusive one.
result<job_answer> exhausted(const call_series &series, const job_id &id)
{
    if (series.uncertain) {
        return unknownAnswer(id, exhaustedError(series).message);
    }
    return exhaustedError(series);
}

using make_call = std::function<http_call(milliseconds wait)>;

/// Calls daemon after daemon until an answer is conclusive or the limit is reached.
result<job_answer> callJob(caller_client &client, const job_id &id, milliseconds wait, const make_call &make)
{
    call_series series = startSeries(client, wait);
    const time_point waitEnd = std::chrono::steady_clock::now() + wait;
    milliseconds pause{0};
    do {
        const auto left = std::chrono::duration_cast<milliseconds>(waitEnd - std::chrono::steady_clock::now());
        const milliseconds waitLeft = std::max(left, milliseconds(0));
        const http_outcome outcome = attemptCall(series, make(waitLeft), waitLeft);
        pause = milliseconds(0);
        if (outcome.delivery != call_delivery::Answered) {
            continue;
        }
        const auto answer = decodeJobAnswer(outcome.body);
        if (answer && isConclusive(answer.value().status, series.uncertain)) {
            if (answer.value().status == answer_status::Expired && series.uncertain) {
                return unknownAnswer(id, "the request expired before the outcome of an earlier attempt was known");
            }
            return answer.value();
        }
        if (answer) {
            // An answer of `unknown` leaves open whether this attempt was recorded.
            series.uncertain = true;
            series.problem = answer.value().reason;
            pause = answer.value().retryAfter;
        } else if (const auto rejection = rejectionOf(outcome); rejection && !series.uncertain) {
            // A daemon that is full or about to leave has not taken the request; each other one is tried once.
            if (rejection->kind != error_kind::Overloaded || series.attempts >= client.settings.daemons.size()) {
                return *rejection;
            }
            series.problem = rejection->message;
        } else {
            series.uncertain = true;
            series.problem = errorText(outcome);
        }
    } while (pauseBeforeRetry(series, pause));
    return exhausted(series, id);
}

std::string jobPath(const job_id &id)
{
    return "/v1/jobs/" + encodeSegment(id.team.value) + '/' + encodeSegment(id.key.value);
}

/// Calls daemon after daemon until one answers with success or rejects the call. For calls that may be repeated.
result<std::string> callUntilAnswered(caller_client &client, const http_call &call)
{
    call_series series = startSeries(client, milliseconds(0));
    do {
        const http_outcome outcome = attemptCall(series, call, milliseconds(0));
        if (outcome.delivery != call_delivery::Answered) {
            continue;
        }
        if (outcome.status >= 200 && outcome.status < 300) {
            return outcome.body;
        }
        const auto rejection = rejectionOf(outcome);
        if (rejection && !series.uncertain) {
            return *rejection;
        }
        series.uncertain = true;
        series.problem = errorText(outcome);
    } while (pauseBeforeRetry(series, milliseconds(0)));
    return exhaustedError(series);
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

/// Reads one answer to PUT /v1/configuration.
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
    const auto rejection = rejectionOf(outcome);
    apply_outcome refused = applyResult(rejection ? kind::Refused : kind::Unknown, outcome);
    if (rejection) {
        refused.message = rejection->message;
    }
    return refused;
}

/// Tells by reading back whether a text came into force after an attempt with an unknown outcome.
apply_outcome readBack(caller_client &client, const std::string &text, std::string problem)
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
        return makeError(error_kind::InvalidInput, "the secret is empty or has spaces or other characters");
    }
    caller_client_ptr client(new caller_client{std::move(settings), {}});
    for (const address &daemon : client->settings.daemons) {
        const auto endpoint = makeHttpEndpoint(daemon, client->settings.secret, client->settings.attemptTimeout);
        if (!endpoint) {
            return makeError(error_kind::InvalidInput, '"' + daemon.value + "\" is not an address");
        }
        if (client->settings.reuseConnections) {
            client->kept.push_back(endpoint);
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
    call_series series = startSeries(client, milliseconds(0));
    do {
        const http_outcome outcome = attemptCall(series, call, milliseconds(0));
        if (outcome.delivery == call_delivery::Answered) {
            apply_outcome read = readApplyAnswer(outcome);
            const bool settled = read.outcome == apply_outcome::kind::Applied
                || (!series.uncertain && read.outcome != apply_outcome::kind::Unknown);
            if (settled) {
                return read;
            }
            series.uncertain = true;
            series.problem = read.message;
        }
    } while ((expected || !series.uncertain) && pauseBeforeRetry(series, milliseconds(0)));
    if (series.uncertain) {
        return readBack(client, text, series.problem);
    }
    apply_outcome unreachable;
    unreachable.outcome = apply_outcome::kind::Refused;
    unreachable.message = exhaustedError(series).message;
    return unreachable;
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
