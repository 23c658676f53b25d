// Tests metrics and their text format. Guards against quantiles that hide slow requests, and against unbounded memory
// use by metric names that are made from input.
#include "base/metrics.h"

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

TEST_CASE("quantiles are close to the exact values and never lower")
{
    const auto state = makeMetrics();
    for (int ms = 1; ms <= 1000; ++ms) {
        recordTime(*state, "request_ms", fractional_milliseconds(ms));
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
        recordTime(*state, "decision_ms", fractional_milliseconds(0.02));
    }
    recordTime(*state, "decision_ms", fractional_milliseconds(50));
    CHECK(valueOf(*state, "decision_ms_p50") < 0.03);
    CHECK(valueOf(*state, "decision_ms_p99") < 0.03);
    CHECK(valueOf(*state, "decision_ms_max") == 50);
}

TEST_CASE("times of different labels are counted separately")
{
    const auto state = makeMetrics();
    declareTime(*state, "wait_ms{kind=\"query\"}");
    declareTime(*state, "wait_ms{kind=\"batch\"}");
    recordTime(*state, "wait_ms{kind=\"query\"}", fractional_milliseconds(3));
    CHECK(valueOf(*state, "wait_ms_count{kind=\"query\"}") == 1);
    CHECK(valueOf(*state, "wait_ms_p99{kind=\"query\"}") == 3);
    CHECK(valueOf(*state, "wait_ms_count{kind=\"batch\"}") == 0);
    CHECK(valueOf(*state, "wait_ms_p99{kind=\"batch\"}") == 0);
}

TEST_CASE("times outside the range are counted at its ends")
{
    const auto state = makeMetrics();
    recordTime(*state, "request_ms", fractional_milliseconds(-5));
    recordTime(*state, "request_ms", fractional_milliseconds(0));
    recordTime(*state, "request_ms", fractional_milliseconds(std::numeric_limits<double>::quiet_NaN()));
    CHECK(valueOf(*state, "request_ms_count") == 3);
    CHECK(valueOf(*state, "request_ms_max") == 0);
    CHECK(valueOf(*state, "request_ms_p99") == 0);
    recordTime(*state, "request_ms", fractional_milliseconds(1e12));
    CHECK(valueOf(*state, "request_ms_max") == 1e12);
    CHECK(valueOf(*state, "request_ms_p99") == 1e12);
}

TEST_CASE("buckets are cumulative, and the last bucket counts all times")
{
    // A collector computes quantiles from the buckets, so a time in a wrong bucket would hide slow calls.
    const auto state = makeMetrics();
    for (const double ms : {0.00001, 0.5, 3.0, 3.0, 40.0, 1e9}) {
        recordTime(*state, "call_ms{call=\"read\"}", fractional_milliseconds(ms));
    }
    CHECK(valueOf(*state, "call_ms_bucket{call=\"read\",le=\"0.1\"}") == 1);
    CHECK(valueOf(*state, "call_ms_bucket{call=\"read\",le=\"1\"}") == 2);
    CHECK(valueOf(*state, "call_ms_bucket{call=\"read\",le=\"10\"}") == 4);
    CHECK(valueOf(*state, "call_ms_bucket{call=\"read\",le=\"100\"}") == 5);
    CHECK(valueOf(*state, "call_ms_bucket{call=\"read\",le=\"1e+05\"}") == 5);
    CHECK(valueOf(*state, "call_ms_bucket{call=\"read\",le=\"+Inf\"}") == 6);
    CHECK(valueOf(*state, "call_ms_count{call=\"read\"}") == 6);
    CHECK(valueOf(*state, "call_ms_sum{call=\"read\"}") == Approx(1e9 + 46.50001));
}

TEST_CASE("the type of each metric family is written once, before its lines")
{
    const auto state = makeMetrics();
    addCount(*state, "answers{status=\"done\"}");
    addCount(*state, "answers{status=\"lost\"}");
    recordTime(*state, "call_ms", fractional_milliseconds(1));
    const std::string text = renderMetrics(*state);
    CHECK(text.starts_with("# TYPE answers counter\nanswers{status=\"done\"} 1\nanswers{status=\"lost\"} 1\n"));
    CHECK(text.find("# TYPE call_ms histogram\ncall_ms_bucket{le=") != std::string::npos);
    CHECK(text.find("# TYPE call_ms_p99 gauge\ncall_ms_p99 1\n") != std::string::npos);
}

TEST_CASE("the number of histograms is bounded")
{
    const auto state = makeMetrics();
    for (std::size_t index = 0; index < maxHistograms + 3; ++index) {
        recordTime(*state, "time" + std::to_string(index), fractional_milliseconds(1));
    }
    CHECK(valueOf(*state, "metrics_dropped") == 3);
    CHECK(valueOf(*state, "time0_count") == 1);
}

TEST_CASE("counters accumulate, values are replaced, and large numbers are written with all digits")
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
