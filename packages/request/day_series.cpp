#include "request/day_series.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace sesamespar {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;
/// Longest gap between consecutive lines of one series. Across a longer gap, a line has a corrupt time or belongs to
/// another day.
constexpr std::int64_t longestGapMs = 60000;

constexpr std::array<std::string_view, 9> incidentEvents{"term_begun",
                                                         "term_ended",
                                                         "draining",
                                                         "store_lost",
                                                         "worker_lost",
                                                         "worker_leases_lapsed",
                                                         "worker_restarted",
                                                         "worker_avoided",
                                                         "worker_slow"};

std::uint64_t numberOf(const log_line &line, std::string_view key)
{
    return std::strtoull(fieldOf(line, key).c_str(), nullptr, 10);
}

void addUse(day_second &entry, const log_line &line)
{
    entry.waiting = numberOf(line, "pending");
    entry.running = numberOf(line, "runs");
    const auto capacity = static_cast<double>(numberOf(line, "millicores"));
    entry.usedShare = capacity > 0 ? static_cast<double>(numberOf(line, "reserved_millicores")) / capacity : 0;
}

void addLine(day_second &entry, const log_line &line, std::map<std::string, int> &incidents)
{
    const std::string outcome = fieldOf(line, "outcome");
    if (line.event == "cell_use") {
        addUse(entry, line);
    } else if (line.event == "store_lost_refusal" || line.event == "job_refused" || line.event == "job_above_limit"
               || outcome == "refused") {
        ++entry.refused;
    } else if (line.event == "job_submitted" && outcome == "unknown") {
        ++entry.unknown;
    } else if (line.event == "job_final" && fieldOf(line, "state") == "completed") {
        ++entry.completed;
    } else if (std::find(incidentEvents.begin(), incidentEvents.end(), line.event) != incidentEvents.end()) {
        ++incidents[line.event];
    }
}

using line_list = std::vector<const log_line *>;

/// Returns the longest part of the lines, which are sorted by time, without a gap above longestGapMs.
line_list longestSpan(const line_list &lines)
{
    std::size_t spanBegin = 0;
    std::size_t bestBegin = 0;
    std::size_t bestLength = 0;
    for (std::size_t index = 0; index < lines.size(); ++index) {
        if (index > 0 && lines[index]->timeMs - lines[index - 1]->timeMs > longestGapMs) {
            spanBegin = index;
        }
        if (index + 1 - spanBegin > bestLength) {
            bestBegin = spanBegin;
            bestLength = index + 1 - spanBegin;
        }
    }
    const auto first = lines.begin() + static_cast<std::ptrdiff_t>(bestBegin);
    return {first, first + static_cast<std::ptrdiff_t>(bestLength)};
}

/// Copies the previous second's use into seconds without a report; the leader reports only about once a second.
void fillGaps(day_series &series, const std::vector<bool> &reported)
{
    for (std::size_t index = 1; index < series.seconds.size(); ++index) {
        if (!reported[index]) {
            series.seconds[index].waiting = series.seconds[index - 1].waiting;
            series.seconds[index].running = series.seconds[index - 1].running;
            series.seconds[index].usedShare = series.seconds[index - 1].usedShare;
        }
    }
}

} // namespace

day_series summarizeDay(const std::vector<log_line> &lines)
{
    line_list timed;
    for (const log_line &line : lines) {
        if (line.timeMs > 0) {
            timed.push_back(&line);
        }
    }
    std::stable_sort(timed.begin(), timed.end(), [](const log_line *left, const log_line *right) {
        return left->timeMs < right->timeMs;
    });
    timed = longestSpan(timed);
    day_series series;
    if (timed.empty()) {
        return series;
    }
    series.startMs = timed.front()->timeMs;
    series.seconds.resize(
        static_cast<std::size_t>((timed.back()->timeMs - series.startMs) / millisecondsPerSecond + 1));
    std::vector<bool> reported(series.seconds.size(), false);
    std::vector<std::map<std::string, int>> incidents(series.seconds.size());
    for (const log_line *line : timed) {
        const auto index = static_cast<std::size_t>((line->timeMs - series.startMs) / millisecondsPerSecond);
        addLine(series.seconds[index], *line, incidents[index]);
        reported[index] = reported[index] || line->event == "cell_use";
    }
    for (std::size_t index = 0; index < incidents.size(); ++index) {
        for (const auto &[event, count] : incidents[index]) {
            series.seconds[index].incidents.push_back(count == 1 ? event : event + " x" + std::to_string(count));
        }
    }
    fillGaps(series, reported);
    return series;
}

} // namespace sesamespar
