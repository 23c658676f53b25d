#include "job_commands.h"

#include "base/rfc3339.h"
#include "call_daemon.h"
#include "connection/codec.h"
#include "submit_description.h"
#include "version/unit_syntax.h"
#include "version/yaml_document.h"
#include "version/yaml_reader.h"

#include <iostream>

namespace sesamespar {

namespace {

exit_status exitStatusOf(answer_status status)
{
    switch (status) {
    case answer_status::Accepted:
    case answer_status::Done:
    case answer_status::Failed:
    case answer_status::Cancelled:
        return exit_status::Done;
    case answer_status::Refused:
    case answer_status::Conflict:
    case answer_status::Expired:
    case answer_status::NotFound:
        return exit_status::Refused;
    case answer_status::Lost:
    case answer_status::Unknown:
        break;
    }
    return exit_status::Unknown;
}

/// Replaces control characters by spaces, so that a task's result is printed on one line.
std::string oneLine(std::string text)
{
    for (char &c : text) {
        if (static_cast<unsigned char>(c) < ' ' || c == 0x7F) {
            c = ' ';
        }
    }
    return text;
}

void printTable(const job_answer &answer)
{
    std::cout << answer.id << ": " << answerStatusName(answer.status) << '\n';
    if (!answer.reason.empty()) {
        std::cout << "reason: " << oneLine(answer.reason) << '\n';
    }
    if (answer.retryAfter > milliseconds(0)) {
        std::cout << "retry after: " << formatDuration(answer.retryAfter) << '\n';
    }
    for (const task_record &task : answer.tasks) {
        std::cout << "task " << task.index << ": " << taskStateName(task.state);
        if (task.attempt.value > 0) {
            std::cout << ", attempt " << task.attempt << " on " << task.worker;
        }
        std::cout << (task.result.empty() ? "" : ", result: " + oneLine(task.result)) << '\n';
    }
}

/// Prints the answer to stdout. If the outcome is unknown, also prints `retryHint` to stderr.
exit_status
printJobAnswer(const command_options &options, const result<job_answer> &answer, const std::string &retryHint)
{
    if (!answer) {
        printError("the request failed and nothing was changed: " + answer.error().message);
        return exit_status::Refused;
    }
    if (options.json) {
        printText(encodeJobAnswer(answer.value()));
    } else {
        printTable(answer.value());
    }
    const exit_status status = exitStatusOf(answer.value().status);
    if (status == exit_status::Unknown) {
        printError((answer.value().status == answer_status::Lost ? "a task may have run and will not run again; "
                                                                 : "the outcome is unknown; ")
                   + retryHint);
    }
    return status;
}

/// Parses TEAM/KEY. Prints an error and returns nullopt on failure.
std::optional<job_id> parseJobId(const std::string &text)
{
    const std::size_t slash = text.find('/');
    const std::string team = text.substr(0, slash);
    const std::string key = slash == std::string::npos ? "" : text.substr(slash + 1);
    if (!isDeclaredName(team) || !isKey(key)) {
        printError(quoteForMessage(text) + " is not TEAM/KEY, expected the name of a team, a slash and a key");
        return std::nullopt;
    }
    return job_id{team_id(team), idempotency_key(key)};
}

std::string statusHint(const job_id &id)
{
    return "query the outcome with: sesamespar status " + id.team.value + '/' + id.key.value;
}

std::string resubmitHint(const std::string &file, const job_request &job)
{
    return "the same request may be sent again under the same key and expiry: sesamespar submit " + file + " --key "
        + job.id.key.value + " --expires " + formatRfc3339(job.expires) + "; or " + statusHint(job.id);
}

} // namespace

exit_status runSubmit(const command_options &options)
{
    const std::string &file = options.arguments.front();
    const auto text = readInput(file, maxYamlBytes);
    if (!text) {
        return exit_status::Invalid;
    }
    const parsed_description parsed = parseDescription(*text, file, {options.key, options.expires}, readClocks().utc);
    if (!parsed.request) {
        std::cerr << formatFindings(parsed.problems);
        return exit_status::Invalid;
    }
    const caller_client_ptr client = openClient(options);
    if (!client) {
        return exit_status::Invalid;
    }
    const job_request &job = parsed.request->job;
    // Printed before the request is sent, so that the same request can be repeated even if this process is killed.
    std::cerr << "submitting " << job.id << ", expires " << formatRfc3339(job.expires) << '\n';
    return printJobAnswer(options, submitJob(*client, *parsed.request), resubmitHint(file, job));
}

exit_status runStatus(const command_options &options)
{
    const auto id = parseJobId(options.arguments.front());
    const caller_client_ptr client = id ? openClient(options) : nullptr;
    if (!client) {
        return exit_status::Invalid;
    }
    return printJobAnswer(options, queryJob(*client, {*id, options.wait}), statusHint(*id));
}

exit_status runCancel(const command_options &options)
{
    const auto id = parseJobId(options.arguments.front());
    const caller_client_ptr client = id ? openClient(options) : nullptr;
    if (!client) {
        return exit_status::Invalid;
    }
    const std::string repeatHint = "the cancellation may be repeated: sesamespar cancel " + options.arguments.front();
    return printJobAnswer(options, cancelJob(*client, {*id}), repeatHint);
}

} // namespace sesamespar
