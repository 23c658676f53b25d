// Measurements of one daemon: distributions of times, and counters by name, rendered as text lines.
#pragma once

#include "base/time.h"
#include "version/work_kind.h"

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

/// The measurements. Opaque, since histograms need large library headers; used by the control thread only.
struct metrics;

/// Frees the measurements.
struct metrics_deleter {
    void operator()(metrics *state) const;
};
using metrics_ptr = std::unique_ptr<metrics, metrics_deleter>;

/// Makes empty measurements.
metrics_ptr makeMetrics();

/// Notes how long a task waited from its job's acceptance to its start.
void noteWait(metrics &state, work_kind kind, fractional_milliseconds time);

/// Notes how long one decision pass took.
void noteDecision(metrics &state, fractional_milliseconds time);

/// Notes how long a caller's request took at this front end.
void noteRequest(metrics &state, fractional_milliseconds time);

/// Adds to a counter. The name may carry labels: answers{status="done"}.
void addCount(metrics &state, std::string_view name, std::uint64_t amount = 1);

/// Sets a value that may rise and fall, such as a queue length.
void setValue(metrics &state, std::string_view name, double value);

/// Renders NAME{LABEL="VALUE"} VALUE lines: counters and values by name, then times with a count, max, p50 and
/// p99. A quantile is at most 13% above the true one and never above the max.
std::string renderMetrics(const metrics &state);

} // namespace sesamespar
