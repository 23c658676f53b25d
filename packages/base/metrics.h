// Metrics of one daemon: histograms of durations, counters and gauges by name, rendered as text.
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sesamespar {

/// Duration in milliseconds with a fraction.
using fractional_milliseconds = std::chrono::duration<double, std::milli>;

/// Maximum number of counters and gauges. Measurements under further names are dropped and counted in
/// "metrics_dropped".
constexpr std::size_t maxMetricNames = 512;
/// Maximum number of histograms. Each takes 2 KB.
constexpr std::size_t maxHistograms = 64;

/// All metrics of the daemon. Opaque, because histograms need large library headers. Used by the control thread only.
struct metrics;

/// Deletes the opaque metrics.
struct metrics_deleter {
    void operator()(metrics *state) const;
};
using metrics_ptr = std::unique_ptr<metrics, metrics_deleter>;

/// Makes an empty set of metrics.
metrics_ptr makeMetrics();

/// Adds an empty histogram, so that it is rendered before the first duration is recorded.
void declareTime(metrics &state, std::string_view name);

/// Records a duration in the histogram of that name. The name may carry labels, like that of a counter.
void recordTime(metrics &state, std::string_view name, fractional_milliseconds time);

/// Adds to a counter. The name may carry labels: answers{status="done"}.
void addCount(metrics &state, std::string_view name, std::uint64_t amount = 1);

/// Sets a gauge: a value that may rise and fall, such as a queue length.
void setValue(metrics &state, std::string_view name, double value);

/// Renders the text format that Prometheus reads, version 0.0.4. A histogram NAME has the cumulative counts
/// NAME_bucket{le="MILLISECONDS"}, NAME_sum and NAME_count, and also the gauges NAME_max, NAME_p50 and NAME_p99 for
/// use without a collector. A quantile is at most 13% above the true one and never above the max.
std::string renderMetrics(const metrics &state);

} // namespace sesamespar
