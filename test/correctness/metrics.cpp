// Measurements and their text form. Guards against quantiles that hide slow requests, and against a label
// taken from input that fills the memory.
#include "process/metrics.h"

#include <catch2/catch.hpp>
#include <limits>
#include <sstream>

using namespace sesamespar;

namespace {

/// Value of the line with that name, or a negative number if there is none.
double valueOf(const metrics &state, const std::string &name)
{
    std::istringstream lines(renderMetrics(state));
    std::string line;
    while (std::getline(lines, line)) {
        const auto space = line.rfind(' ');
        if (line.substr(0, space) == name) {
            return std::stod(line.substr(space + 1));
        }
    }
    return -1;
}

} // namespace

TEST_CASE("quantiles are close to the true ones and never too low")
{
    const auto state = makeMetrics();
    for (int ms = 1; ms <= 1000; ++ms) {
        noteRequest(*state, fractional_milliseconds(ms));
    }
    CHECK(valueOf(*state, "request_ms_count") == 1000);
    CHECK(valueOf(*state, "request_ms_max") == 1000);
    CHECK(valueOf(*state, "request_ms_p50") >= 500);
    CHECK(valueOf(*state, "request_ms_p50") <= 565);
    CHECK(valueOf(*state, "request_ms_p99") >= 990);
    CHECK(valueOf(*state, "request_ms_p99") <= 1000);
}

TEST_CASE("one slow request among a hundred shows in the maximum")
{
    const auto state = makeMetrics();
    for (int index = 0; index < 99; ++index) {
        noteDecision(*state, fractional_milliseconds(0.02));
    }
    noteDecision(*state, fractional_milliseconds(50));
    CHECK(valueOf(*state, "decision_ms_p50") < 0.03);
    CHECK(valueOf(*state, "decision_ms_p99") < 0.03);
    CHECK(valueOf(*state, "decision_ms_max") == 50);
}

TEST_CASE("kinds are kept apart")
{
    const auto state = makeMetrics();
    noteWait(*state, work_kind::Query, fractional_milliseconds(3));
    CHECK(valueOf(*state, "wait_ms_count{kind=\"query\"}") == 1);
    CHECK(valueOf(*state, "wait_ms_p99{kind=\"query\"}") == 3);
    CHECK(valueOf(*state, "wait_ms_count{kind=\"batch\"}") == 0);
    CHECK(valueOf(*state, "wait_ms_p99{kind=\"batch\"}") == 0);
}

TEST_CASE("times outside the range are counted at its ends")
{
    const auto state = makeMetrics();
    noteRequest(*state, fractional_milliseconds(-5));
    noteRequest(*state, fractional_milliseconds(0));
    noteRequest(*state, fractional_milliseconds(std::numeric_limits<double>::quiet_NaN()));
    CHECK(valueOf(*state, "request_ms_count") == 3);
    CHECK(valueOf(*state, "request_ms_max") == 0);
    CHECK(valueOf(*state, "request_ms_p99") == 0);
    noteRequest(*state, fractional_milliseconds(1e12));
    CHECK(valueOf(*state, "request_ms_max") == 1e12);
    CHECK(valueOf(*state, "request_ms_p99") == 1e12);
}

TEST_CASE("counters add up, values are replaced, and large numbers keep their digits")
{
    const auto state = makeMetrics();
    addCount(*state, "answers{status=\"done\"}");
    addCount(*state, "answers{status=\"done\"}", 2);
    setValue(*state, "queue", 7);
    setValue(*state, "queue", 5.5);
    addCount(*state, "bytes", 123456789012);
    CHECK(valueOf(*state, "answers{status=\"done\"}") == 3);
    CHECK(valueOf(*state, "queue") == 5.5);
    CHECK(renderMetrics(*state).find("bytes 123456789012\n") != std::string::npos);
}

TEST_CASE("the number of names is bounded")
{
    const auto state = makeMetrics();
    for (std::size_t index = 0; index < maxMetricNames + 10; ++index) {
        addCount(*state, "name" + std::to_string(index));
    }
    setValue(*state, "one_more", 1);
    addCount(*state, "name0");
    CHECK(valueOf(*state, "name0") == 2);
    CHECK(valueOf(*state, "one_more") == -1);
    CHECK(valueOf(*state, "metrics_dropped") == 11);
}
