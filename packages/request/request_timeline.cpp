#include "request/request_timeline.h"

#include <algorithm>
#include <array>
#include <set>

namespace sesamespar {

namespace {

/// Events of a whole daemon that may have delayed a request or dropped its log lines.
constexpr std::array<std::string_view, 10> daemonEvents{"term_begun",
                                                        "term_ended",
                                                        "cell_recovered",
                                                        "store_lost",
                                                        "store_regained",
                                                        "intake_store_lost",
                                                        "intake_store_regained",
                                                        "draining",
                                                        "queue_refuses",
                                                        "log_lines_left_out"};
/// Events of a worker that may have delayed or ended its runs.
constexpr std::array<std::string_view, 7> workerEvents{"worker_lost",
                                                       "worker_regained",
                                                       "worker_restarted",
                                                       "worker_leases_lapsed",
                                                       "worker_unlisted",
                                                       "worker_avoided",
                                                       "worker_slow"};
/// Time before a request's first line and after its last line that its timeline covers. The cause of a delay, such as
/// the loss of the store, may precede the request.
constexpr std::int64_t marginMs = 2000;

template<typename Names>
bool isOneOf(const Names &names, std::string_view event)
{
    return std::find(names.begin(), names.end(), event) != names.end();
}

bool namesRequest(const log_line &line, std::string_view request)
{
    return fieldOf(line, "job") == request;
}

/// Adds the workers of a list such as `w1*3,w2`, where `*3` counts tasks.
void addWorkers(std::set<std::string> &workers, const std::string &list)
{
    std::size_t begin = 0;
    while (begin < list.size()) {
        const std::size_t end = std::min(list.find(',', begin), list.size());
        const std::string entry = list.substr(begin, end - begin);
        workers.insert(entry.substr(0, entry.find('*')));
        begin = end + 1;
    }
}

std::set<std::string> workersIn(const std::vector<log_line> &own)
{
    std::set<std::string> workers;
    for (const log_line &line : own) {
        addWorkers(workers, fieldOf(line, "worker"));
        addWorkers(workers, fieldOf(line, "workers"));
    }
    return workers;
}

const log_line *findEvent(const std::vector<log_line> &lines, std::string_view event)
{
    const auto found =
        std::find_if(lines.begin(), lines.end(), [event](const log_line &line) { return line.event == event; });
    return found == lines.end() ? nullptr : &*found;
}

std::size_t countEvents(const std::vector<log_line> &lines, std::string_view event)
{
    return static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [event](const log_line &line) { return line.event == event; }));
}

std::size_t countPlaced(const std::vector<log_line> &own)
{
    std::size_t placed = 0;
    for (const log_line &line : own) {
        if (line.event == "placed") {
            placed += static_cast<std::size_t>(std::strtoull(fieldOf(line, "tasks").c_str(), nullptr, 10));
        }
    }
    return placed;
}

bool wasAccepted(const std::vector<log_line> &own)
{
    return std::any_of(own.begin(), own.end(), [](const log_line &line) {
        const std::string outcome = fieldOf(line, "outcome");
        return line.event == "job_submitted" && (outcome == "accepted" || outcome == "known");
    });
}

std::string outcomeOf(const std::vector<log_line> &own)
{
    if (const log_line *end = findEvent(own, "job_final")) {
        return fieldOf(*end, "state") + " " + fieldOf(*end, "age_ms") + " ms after it was accepted";
    }
    if (findEvent(own, "job_known") != nullptr || wasAccepted(own)) {
        return "accepted, not final in these lines";
    }
    if (findEvent(own, "store_lost_refusal") != nullptr) {
        return "refused, because a daemon had lost the store";
    }
    if (findEvent(own, "job_refused") != nullptr) {
        return "refused, because the cell had too much work";
    }
    if (findEvent(own, "job_above_limit") != nullptr) {
        return "refused, because one of its steps exceeds the limit of its organisation";
    }
    if (findEvent(own, "key_rejected") != nullptr) {
        return "rejected, because it had no API key that was valid for its queue";
    }
    if (const log_line *malformed = findEvent(own, "job_malformed")) {
        return "refused as malformed: " + fieldOf(*malformed, "problem");
    }
    if (const log_line *submitted = findEvent(own, "job_submitted")) {
        return "answered as " + fieldOf(*submitted, "outcome");
    }
    return own.empty() ? "not found" : "never answered in these lines";
}

std::vector<std::string> findMissing(const request_timeline &timeline)
{
    const std::vector<log_line> &own = timeline.own;
    if (own.empty()) {
        return {"no line names the request: it reached no daemon, or the lines of the daemon that it reached are not "
                "among these"};
    }
    std::vector<std::string> missing;
    const bool known = findEvent(own, "job_known") != nullptr;
    if (known && findEvent(own, "job_submitted") == nullptr) {
        missing.emplace_back("the response to the caller: the daemon stopped before it responded, or its lines are "
                             "not among these");
    }
    if (!known && wasAccepted(own)) {
        missing.emplace_back("a leader that read the accepted job from the store");
    }
    const std::size_t placed = countPlaced(own);
    const std::size_t ended = countEvents(own, "run_ended");
    if (known && placed == 0 && findEvent(own, "job_final") == nullptr) {
        missing.emplace_back("a worker for its tasks: nothing was placed");
    }
    if (ended < placed) {
        missing.push_back("the ends of " + std::to_string(placed - ended) + " of " + std::to_string(placed)
                          + " placed runs");
    }
    if (known && findEvent(own, "job_final") == nullptr) {
        missing.emplace_back("the end of the job");
    }
    for (const log_line &line : timeline.around) {
        if (line.event == "log_lines_left_out") {
            missing.push_back(fieldOf(line, "count") + " lines that " + line.source + " left out");
        }
    }
    return missing;
}

} // namespace

bool concernsRequest(const log_line &line, std::string_view request)
{
    return namesRequest(line, request) || isOneOf(daemonEvents, line.event) || isOneOf(workerEvents, line.event);
}

request_timeline traceRequest(std::string_view request, std::vector<log_line> lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const log_line &left, const log_line &right) {
        return left.timeMs < right.timeMs;
    });
    request_timeline timeline;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(timeline.own), [request](const log_line &line) {
        return namesRequest(line, request);
    });
    if (!timeline.own.empty()) {
        const std::int64_t from = timeline.own.front().timeMs - marginMs;
        const std::int64_t to = timeline.own.back().timeMs + marginMs;
        const std::set<std::string> workers = workersIn(timeline.own);
        std::copy_if(lines.begin(), lines.end(), std::back_inserter(timeline.around), [&](const log_line &line) {
            const bool relevant = isOneOf(daemonEvents, line.event)
                || (isOneOf(workerEvents, line.event) && workers.contains(fieldOf(line, "worker")));
            return relevant && !namesRequest(line, request) && line.timeMs >= from && line.timeMs <= to;
        });
    }
    timeline.outcome = outcomeOf(timeline.own);
    timeline.missing = findMissing(timeline);
    return timeline;
}

} // namespace sesamespar
