#include "process/metrics.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <sstream>

namespace sesamespar {

namespace {

/// 1 microsecond to about 28 hours; 20 bins to a factor of ten keep quantiles within 13%.
constexpr double leastTime = 1e-3;
constexpr double mostTime = 1e8;
constexpr unsigned timeBins = 220;

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto makeHistogram()
{
    return boost::histogram::make_histogram(log_axis(timeBins, leastTime, mostTime));
}

/// Distribution of a time.
struct distribution {
    decltype(makeHistogram()) histogram = makeHistogram();
    std::uint64_t count = 0;
    double longest = 0;
};

void note(distribution &times, fractional_milliseconds time)
{
    // Not a number and negative values come from clocks that were misread; they count as 0.
    const double value = time.count() > 0 ? time.count() : 0;
    times.histogram(std::max(value, leastTime));
    ++times.count;
    times.longest = std::max(times.longest, value);
}

/// Upper edge of the bin that holds the quantile, at most the longest time.
double quantile(const distribution &times, double share)
{
    const double wanted = share * static_cast<double>(times.count);
    double seen = 0;
    const auto &axis = times.histogram.axis();
    for (int index = 0; index < axis.size(); ++index) {
        seen += times.histogram.at(index);
        if (seen >= wanted && seen > 0) {
            return std::min(axis.bin(index).upper(), times.longest);
        }
    }
    return times.longest;
}

using sorted_values = std::map<std::string, double, std::less<>>;

void appendDistribution(std::ostringstream &text,
                        const std::string &name,
                        const std::string &label,
                        const distribution &times)
{
    const auto line = [&](const std::string &suffix, double value) {
        text << name << suffix << label << ' ' << value << '\n';
    };
    line("_count", static_cast<double>(times.count));
    line("_max", times.longest);
    line("_p50", quantile(times, 0.5));
    line("_p99", quantile(times, 0.99));
}

} // namespace

/// All measurements.
struct metrics {
    std::array<distribution, allWorkKinds.size()> waits;
    distribution decisions;
    distribution requests;
    sorted_values counts;
    sorted_values values;
    std::uint64_t dropped = 0; ///< Measurements whose name found no room.
};

namespace {

/// Entry of that name, or null if there is no room for another name.
double *entryOf(metrics &state, sorted_values &entries, std::string_view name)
{
    const auto found = entries.find(name);
    if (found != entries.end()) {
        return &found->second;
    }
    if (state.counts.size() + state.values.size() >= maxMetricNames) {
        ++state.dropped;
        return nullptr;
    }
    return &entries.emplace(std::string(name), 0).first->second;
}

void appendEntries(std::ostringstream &text, const sorted_values &entries)
{
    for (const auto &[name, value] : entries) {
        text << name << ' ' << value << '\n';
    }
}

} // namespace

void metrics_deleter::operator()(metrics *state) const
{
    delete state;
}

metrics_ptr makeMetrics()
{
    return metrics_ptr(new metrics);
}

void noteWait(metrics &state, work_kind kind, fractional_milliseconds time)
{
    note(state.waits.at(kindIndex(kind)), time);
}

void noteDecision(metrics &state, fractional_milliseconds time)
{
    note(state.decisions, time);
}

void noteRequest(metrics &state, fractional_milliseconds time)
{
    note(state.requests, time);
}

void addCount(metrics &state, std::string_view name, std::uint64_t amount)
{
    if (double *entry = entryOf(state, state.counts, name)) {
        *entry += static_cast<double>(amount);
    }
}

void setValue(metrics &state, std::string_view name, double value)
{
    if (double *entry = entryOf(state, state.values, name)) {
        *entry = value;
    }
}

std::string renderMetrics(const metrics &state)
{
    std::ostringstream text;
    // Whole numbers up to 2^53 are written with all their digits.
    text.precision(16);
    appendEntries(text, state.counts);
    appendEntries(text, state.values);
    if (state.dropped > 0) {
        text << "metrics_dropped " << state.dropped << '\n';
    }
    text.precision(6);
    appendDistribution(text, "decision_ms", "", state.decisions);
    appendDistribution(text, "request_ms", "", state.requests);
    for (const work_kind kind : allWorkKinds) {
        const std::string label = "{kind=\"" + std::string(workKindName(kind)) + "\"}";
        appendDistribution(text, "wait_ms", label, state.waits.at(kindIndex(kind)));
    }
    return text.str();
}

} // namespace sesamespar
