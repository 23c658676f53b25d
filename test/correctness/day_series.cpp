// Time series built from log lines. Guards against lines that are counted in the wrong second, and against one line
// with a wrong time that stretches the series over years.
#include "request/day_series.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

std::vector<log_line> parseAll(const std::vector<std::string> &texts)
{
    std::vector<log_line> lines;
    lines.reserve(texts.size());
    for (const std::string &text : texts) {
        lines.push_back(parseLogLine(text).value());
    }
    return lines;
}

} // namespace

TEST_CASE("each line counts in its own second")
{
    const day_series series = summarizeDay(parseAll({
        "time_ms=10900 event=job_submitted job=a outcome=unknown",
        "time_ms=10000 event=cell_use millicores=1000 reserved_millicores=250 runs=3 pending=4",
        "time_ms=10500 event=store_lost_refusal job=b",
        "time_ms=12100 event=job_refused job=c",
        "time_ms=12200 event=job_final job=a state=completed",
        "time_ms=12300 event=job_final job=d state=failed",
        "time_ms=12400 event=worker_lost worker=w1",
        "time_ms=12500 event=worker_lost worker=w2",
        "time_ms=12999 event=term_begun fence=7",
    }));
    CHECK(series.startMs == 10000);
    REQUIRE(series.seconds.size() == 3);
    CHECK(series.seconds[0].waiting == 4);
    CHECK(series.seconds[0].running == 3);
    CHECK(series.seconds[0].usedShare == Approx(0.25));
    CHECK(series.seconds[0].refused == 1);
    CHECK(series.seconds[0].unknown == 1);
    CHECK(series.seconds[1].waiting == 4);
    CHECK(series.seconds[2].refused == 1);
    CHECK(series.seconds[2].completed == 1);
    CHECK(series.seconds[2].incidents == std::vector<std::string>{"term_begun", "worker_lost x2"});
}

TEST_CASE("lines without a time or with a distant time are ignored")
{
    CHECK(summarizeDay({}).seconds.empty());
    CHECK(summarizeDay(parseAll({"event=started daemon=d"})).seconds.empty());
    // A line that was interleaved with another process's output was once read with a time years away.
    const day_series series = summarizeDay(parseAll({"time_ms=177 event=job_refused job=c",
                                                     "time_ms=1773237041000 event=job_refused job=a",
                                                     "time_ms=1773237043000 event=job_refused job=b",
                                                     "time_ms=9773237041000 event=job_refused job=d"}));
    REQUIRE(series.seconds.size() == 3);
    CHECK(series.seconds.front().refused == 1);
    CHECK(series.seconds.back().refused == 1);
}
