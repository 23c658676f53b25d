// Timeline of a request from the logs of several daemons. Guards against lines that are misparsed, sorted wrongly or
// omitted, which would point an engineer to the wrong cause.
#include "request/request_timeline.h"

#include "base/log_line.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

const std::string request = "f90fe8b5cccbfffb";

std::vector<log_line> parseAll(const std::vector<std::string> &texts)
{
    std::vector<log_line> lines;
    for (const std::string &text : texts) {
        auto line = parseLogLine(text);
        REQUIRE(line);
        lines.push_back(std::move(*line));
    }
    return lines;
}

/// Lines of three daemons, not sorted by time. A worker is lost while it runs a task of the job.
std::vector<std::string> linesOfLateJob()
{
    return {
        "d2 time_ms=1100 level=info event=job_known job=f90fe8b5cccbfffb queue=q tasks=2 revision=9 age_ms=24",
        "d1 time_ms=1090 level=info event=job_submitted job=f90fe8b5cccbfffb queue=q outcome=accepted took_ms=9",
        "d2 time_ms=1150 level=info event=placed job=f90fe8b5cccbfffb queue=q step=0 tasks=2 workers=w1,w7",
        "d2 time_ms=1200 level=info event=run_ended job=f90fe8b5cccbfffb task=0 run=1 worker=w1 how=done",
        "d2 time_ms=3000 level=warning event=worker_lost worker=w7 runs=1 problem=\"no answer\"",
        "d2 time_ms=3100 level=warning event=worker_lost worker=w8 runs=1 problem=\"no answer\"",
        "d2 time_ms=9000 level=warning event=run_ended job=f90fe8b5cccbfffb task=1 run=1 worker=w7 how=lapsed",
        "d2 time_ms=9010 level=info event=placed job=f90fe8b5cccbfffb queue=q step=0 tasks=1 workers=w1",
        "d2 time_ms=9900 level=info event=run_ended job=f90fe8b5cccbfffb task=1 run=2 worker=w1 how=done",
        "d2 time_ms=9900 level=info event=job_final job=f90fe8b5cccbfffb queue=q state=completed age_ms=8824",
        "d3 time_ms=900000 level=info event=term_begun daemon=d3 fence=77",
        "d2 time_ms=1120 level=info event=job_known job=00000000cccbfffb queue=q tasks=2 revision=9 age_ms=24",
    };
}

std::vector<std::string> eventsOf(const std::vector<log_line> &lines)
{
    std::vector<std::string> events;
    events.reserve(lines.size());
    for (const log_line &line : lines) {
        events.push_back(line.event);
    }
    return events;
}

/// Returns the lines without those of one event.
std::vector<log_line> without(std::vector<log_line> lines, const std::string &event)
{
    std::erase_if(lines, [&event](const log_line &line) { return line.event == event; });
    return lines;
}

} // namespace

TEST_CASE("a line is parsed into its source, time and unescaped values")
{
    const auto line = parseLogLine("[12.5 front-1] time_ms=1700000000123 level=warning event=store_lost prefix=cell/ "
                                   "problem=\"a \\\"b\\\" = c\"\n");
    REQUIRE(line);
    CHECK(line->source == "front-1");
    CHECK(line->timeMs == 1700000000123);
    CHECK(line->event == "store_lost");
    CHECK(fieldOf(*line, "prefix") == "cell/");
    CHECK(fieldOf(*line, "problem") == "a \"b\" = c");
    CHECK(fieldOf(*line, "absent").empty());
}

TEST_CASE("text that is not a log line is ignored")
{
    CHECK_FALSE(parseLogLine(""));
    CHECK_FALSE(parseLogLine("terminate called after throwing"));
    CHECK_FALSE(parseLogLine("level=info event="));
    CHECK(parseLogLine("event=started daemon=\"")->event == "started");
}

TEST_CASE("the timeline of a late job is sorted by time and includes events of its own workers only")
{
    const request_timeline timeline = traceRequest(request, parseAll(linesOfLateJob()));
    CHECK(timeline.outcome == "completed 8824 ms after it was accepted");
    CHECK(eventsOf(timeline.own)
          == std::vector<std::string>{
              "job_submitted", "job_known", "placed", "run_ended", "run_ended", "placed", "run_ended", "job_final"});
    REQUIRE(eventsOf(timeline.around) == std::vector<std::string>{"worker_lost"});
    CHECK(fieldOf(timeline.around.front(), "worker") == "w7");
    CHECK(timeline.missing.empty());
}

TEST_CASE("the timeline names information that the lines lack")
{
    const std::vector<log_line> all = parseAll(linesOfLateJob());
    CHECK(traceRequest("1111111111111111", all).outcome == "not found");
    CHECK(traceRequest("1111111111111111", all).missing.size() == 1);
    CHECK(traceRequest(request, without(all, "job_submitted")).missing.size() == 1);
    CHECK(traceRequest(request, without(all, "job_final")).missing == std::vector<std::string>{"the end of the job"});
    CHECK(traceRequest(request, without(all, "run_ended")).missing
          == std::vector<std::string>{"the ends of 3 of 3 placed runs"});
    const auto unread =
        traceRequest(request,
                     parseAll({"d1 time_ms=5 event=job_submitted job=f90fe8b5cccbfffb queue=q outcome=accepted",
                               "d1 time_ms=9 level=warning event=log_lines_left_out count=12"}));
    CHECK(unread.outcome == "accepted, not final in these lines");
    CHECK(
        unread.missing
        == std::vector<std::string>{"a leader that read the accepted job from the store", "12 lines that d1 left out"});
}

TEST_CASE("a refusal is reported with its reason")
{
    const auto outcome = [](const std::string &line) {
        return traceRequest(request, parseAll({line})).outcome;
    };
    CHECK(outcome("time_ms=5 event=store_lost_refusal job=f90fe8b5cccbfffb")
          == "refused, because a daemon had lost the store");
    CHECK(outcome("time_ms=5 event=job_refused job=f90fe8b5cccbfffb wait_ms=9000")
          == "refused, because the cell had too much work");
    CHECK(outcome("time_ms=5 event=job_above_limit job=f90fe8b5cccbfffb organisation=a")
          == "refused, because one of its steps exceeds the limit of its organisation");
    CHECK(outcome("time_ms=5 event=key_rejected job=f90fe8b5cccbfffb has_key=1")
          == "rejected, because it had no API key that was valid for its queue");
    CHECK(outcome("time_ms=5 event=job_malformed job=f90fe8b5cccbfffb problem=\"no steps\"")
          == "refused as malformed: no steps");
    CHECK(outcome("time_ms=5 event=job_submitted job=f90fe8b5cccbfffb outcome=unknown") == "answered as unknown");
}
