// Measurements of one daemon: histograms of times, counters and gauges by name, rendered as text lines.
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

/// Most counters and values; what is noted under further names only counts as "metrics_dropped".
constexpr std::size_t maxMetricNames = 512;
/// Most histograms, which take 2 KB each.
constexpr std::size_t maxHistograms = 64;

/// The measurements. Opaque, since histograms need large library headers; used by the control thread only.
struct metrics;

/// Frees the measurements.
struct metrics_deleter {
    void operator()(metrics *state) const;
};
using metrics_ptr = std::unique_ptr<metrics, metrics_deleter>;

/// Makes empty measurements.
metrics_ptr makeMetrics();

/// Adds an empty histogram, so that its name is there before the first time is noted.
void declareTime(metrics &state, std::string_view name);

/// Notes a time in the histogram of that name. The name may carry labels, as a counter's may.
void recordTime(metrics &state, std::string_view name, fractional_milliseconds time);

/// Adds to a counter. The name may carry labels: answers{status="done"}.
void addCount(metrics &state, std::string_view name, std::uint64_t amount = 1);

/// Sets a value that may rise and fall, such as a queue length.
void setValue(metrics &state, std::string_view name, double value);

/// Renders the text format that Prometheus reads, version 0.0.4. A histogram NAME has the cumulative counts
/// NAME_bucket{le="MILLISECONDS"}, NAME_sum and NAME_count, and beside them the gauges NAME_max, NAME_p50 and NAME_p99
/// for people without a collector. A quantile is at most 13% above the true one and never above the max.
std::string renderMetrics(const metrics &state);

} // namespace sesamespar
