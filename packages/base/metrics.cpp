#include "base/metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <sstream>

namespace sesamespar {

namespace {

/// Range of the histograms: 1 microsecond to about 28 hours. 20 bins to a factor of ten keep quantiles within 13%.
constexpr double minTimeMs = 1e-3;
constexpr double maxTimeMs = 1e8;
constexpr unsigned timeBins = 220;
/// Bins between two rendered bounds: five bounds to a factor of ten.
constexpr int binsPerBound = 4;
/// Rendered bounds: from 0.1 ms, shorter than any call, to 100 s, longer than any deadline.
constexpr int firstBound = 40;
constexpr int lastBound = 160;

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto makeHistogram()
{
    return boost::histogram::make_histogram(log_axis(timeBins, minTimeMs, maxTimeMs));
}

/// Distribution of a duration, in milliseconds.
struct distribution {
    decltype(makeHistogram()) histogram = makeHistogram();
    std::uint64_t count = 0;
    double sum = 0;
    double longest = 0;
};

void record(distribution &times, fractional_milliseconds time)
{
    // NaN and negative durations come from misread clocks and count as 0.
    const double value = time.count() > 0 ? time.count() : 0;
    times.histogram(std::max(value, minTimeMs));
    ++times.count;
    times.sum += value;
    times.longest = std::max(times.longest, value);
}

/// Upper edge of the bin that holds the quantile, at most the longest time.
double quantile(const distribution &times, double share)
{
    const double rank = share * static_cast<double>(times.count);
    double cumulative = 0;
    const auto &axis = times.histogram.axis();
    for (int index = 0; index < axis.size(); ++index) {
        cumulative += times.histogram.at(index);
        if (cumulative >= rank && cumulative > 0) {
            return std::min(axis.bin(index).upper(), times.longest);
        }
    }
    return times.longest;
}

using sorted_values = std::map<std::string, double, std::less<>>;

/// A metric's name and its labels, without the braces.
struct split_name {
    std::string family;
    std::string labels;
};

split_name splitName(const std::string &name)
{
    const auto brace = name.find('{');
    if (brace == std::string::npos) {
        return {name, {}};
    }
    return {name.substr(0, brace), name.substr(brace + 1, name.size() - brace - 2)};
}

/// Writes the type of a family once, before its first line.
void writeType(std::ostringstream &text, std::string &written, const std::string &family, const char *type)
{
    if (written != family) {
        text << "# TYPE " << family << ' ' << type << '\n';
        written = family;
    }
}

void writeLine(std::ostringstream &text, const std::string &name, const std::string &labels, double value)
{
    text << name;
    if (!labels.empty()) {
        text << '{' << labels << '}';
    }
    text << ' ' << value << '\n';
}

void writeBuckets(std::ostringstream &text, const split_name &name, const distribution &times)
{
    const std::string labels = name.labels.empty() ? std::string() : name.labels + ',';
    const auto &axis = times.histogram.axis();
    double below = times.histogram.at(-1);
    int next = 0;
    for (int bound = firstBound; bound <= lastBound; bound += binsPerBound) {
        for (; next < bound; ++next) {
            below += times.histogram.at(next);
        }
        std::ostringstream edge;
        edge.precision(3);
        edge << axis.bin(bound).lower();
        writeLine(text, name.family + "_bucket", labels + "le=\"" + edge.str() + '"', below);
    }
    writeLine(text, name.family + "_bucket", labels + "le=\"+Inf\"", static_cast<double>(times.count));
}

using named_times = std::map<std::string, distribution, std::less<>>;

void appendHistograms(std::ostringstream &text, const named_times &all)
{
    std::string written;
    for (const auto &[fullName, times] : all) {
        const split_name name = splitName(fullName);
        writeType(text, written, name.family, "histogram");
        writeBuckets(text, name, times);
        writeLine(text, name.family + "_sum", name.labels, times.sum);
        writeLine(text, name.family + "_count", name.labels, static_cast<double>(times.count));
    }
}

/// Writes one statistic of each histogram as a gauge.
void appendStatistics(std::ostringstream &text,
                      const named_times &all,
                      const std::string &suffix,
                      double (*statistic)(const distribution &))
{
    std::string written;
    for (const auto &[fullName, times] : all) {
        const split_name name = splitName(fullName);
        writeType(text, written, name.family + suffix, "gauge");
        writeLine(text, name.family + suffix, name.labels, statistic(times));
    }
}

} // namespace

/// All metrics.
struct metrics {
    named_times times;
    sorted_values counts;
    sorted_values values;
    std::uint64_t dropped = 0; ///< Measurements under names beyond the limits.
};

namespace {

/// Finds or adds the entry of that name. Returns null if it is new and there are maxMetricNames already.
double *findOrAddValue(metrics &state, sorted_values &entries, std::string_view name)
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

void appendEntries(std::ostringstream &text, const sorted_values &entries, const char *type)
{
    std::string written;
    for (const auto &[fullName, value] : entries) {
        const split_name name = splitName(fullName);
        writeType(text, written, name.family, type);
        writeLine(text, name.family, name.labels, value);
    }
}

/// Finds or adds the histogram of that name. Returns null if it is new and there are maxHistograms already.
distribution *findOrAddHistogram(metrics &state, std::string_view name)
{
    const auto found = state.times.find(name);
    if (found != state.times.end()) {
        return &found->second;
    }
    if (state.times.size() >= maxHistograms) {
        ++state.dropped;
        return nullptr;
    }
    return &state.times.emplace(std::string(name), distribution()).first->second;
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

void declareTime(metrics &state, std::string_view name)
{
    findOrAddHistogram(state, name);
}

void recordTime(metrics &state, std::string_view name, fractional_milliseconds time)
{
    if (distribution *times = findOrAddHistogram(state, name)) {
        record(*times, time);
    }
}

void addCount(metrics &state, std::string_view name, std::uint64_t amount)
{
    if (double *entry = findOrAddValue(state, state.counts, name)) {
        *entry += static_cast<double>(amount);
    }
}

void setValue(metrics &state, std::string_view name, double value)
{
    if (double *entry = findOrAddValue(state, state.values, name)) {
        *entry = value;
    }
}

std::string renderMetrics(const metrics &state)
{
    std::ostringstream text;
    // Whole numbers up to 2^53 are written with all their digits.
    text.precision(16);
    appendEntries(text, state.counts, "counter");
    appendEntries(text, state.values, "gauge");
    if (state.dropped > 0) {
        text << "# TYPE metrics_dropped counter\nmetrics_dropped " << state.dropped << '\n';
    }
    appendHistograms(text, state.times);
    text.precision(6);
    appendStatistics(text, state.times, "_max", [](const distribution &times) { return times.longest; });
    appendStatistics(text, state.times, "_p50", [](const distribution &times) { return quantile(times, 0.5); });
    appendStatistics(text, state.times, "_p99", [](const distribution &times) { return quantile(times, 0.99); });
    return text.str();
}

} // namespace sesamespar
