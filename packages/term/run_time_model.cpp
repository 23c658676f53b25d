#include "term/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sesamespar {

namespace {

/// Weight of the newest sample once there are many: a change of the work is followed within about 50 tasks.
constexpr double leastWeight = 0.02;
/// Deviation from the mean, in standard deviations, beyond which a sample counts as this far.
constexpr double farthestDeviation = 2;
/// Number of samples from which on the spread of the samples is known well enough to bound their deviations.
constexpr std::uint64_t samplesForSpread = 10;
/// Lower bound of a variance: no predictor is trusted to better than a tenth.
constexpr double leastVariance = 0.01;
/// Variance of a predictor before its spread is known: a factor of two.
constexpr double unknownVariance = 0.48;
/// Factor by which the weights of the ratios decay with each sample.
constexpr float ratioDecay = 0.99F;
constexpr double classesPerOctave = 4;
constexpr double middleClass = (ratioClasses - 1) / 2.0;

double logOf(milliseconds duration)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(duration.count(), 1)));
}

double varianceOf(const log_statistics &statistics)
{
    return statistics.samples < samplesForSpread ? std::max(statistics.variance, unknownVariance)
                                                 : std::max(statistics.variance, leastVariance);
}

/// Mean of predictions, weighted by the inverse of their variances.
struct combined_prediction {
    double weights = 0;
    double weightedSum = 0;

    void add(double logDuration, double variance)
    {
        weights += 1 / variance;
        weightedSum += logDuration / variance;
    }
};

/// Logarithm of the expected duration.
double predictLog(const run_time_model &model, milliseconds estimate, const step_durations &step)
{
    if (model.durations.samples == 0 && step.count == 0) {
        return logOf(estimate);
    }
    combined_prediction combined;
    if (model.durations.samples > 0) {
        combined.add(model.durations.mean, varianceOf(model.durations));
    }
    if (estimate.count() > 0) {
        combined.add(logOf(estimate) + model.corrections.mean, varianceOf(model.corrections));
    }
    if (step.count > 0) {
        combined.add(step.logSum / step.count, varianceOf(model.withinStep) / step.count);
    }
    return combined.weightedSum / combined.weights;
}

std::size_t classOf(double logRatio)
{
    const double position = middleClass + std::round(logRatio / std::log(2.0) * classesPerOctave);
    return static_cast<std::size_t>(std::clamp(position, 0.0, static_cast<double>(ratioClasses - 1)));
}

} // namespace

void addSample(log_statistics &statistics, double logSample)
{
    ++statistics.samples;
    if (statistics.samples == 1) {
        statistics.mean = logSample;
        return;
    }
    const double weight = std::max(1 / static_cast<double>(statistics.samples), leastWeight);
    double deviation = logSample - statistics.mean;
    if (statistics.samples > samplesForSpread) {
        const double bound = farthestDeviation * std::sqrt(std::max(statistics.variance, leastVariance));
        deviation = std::clamp(deviation, -bound, bound);
    }
    statistics.mean += weight * deviation;
    statistics.variance += weight * (deviation * deviation - statistics.variance);
}

milliseconds predictDuration(const run_time_model &model, milliseconds estimate, const step_durations &step)
{
    return milliseconds(static_cast<std::int64_t>(std::round(std::exp(predictLog(model, estimate, step)))));
}

milliseconds durationQuantile(const run_time_model &model, milliseconds expected, double quantile)
{
    const double total = std::accumulate(model.ratios.begin(), model.ratios.end(), 0.0);
    if (total <= 0) {
        return expected;
    }
    double sum = 0;
    std::size_t index = 0;
    while (index + 1 < ratioClasses && sum + model.ratios[index] < quantile * total) {
        sum += model.ratios[index];
        ++index;
    }
    const double ratio = std::exp2((static_cast<double>(index) - middleClass) / classesPerOctave);
    return milliseconds(static_cast<std::int64_t>(ratio * static_cast<double>(expected.count())));
}

void learnDuration(run_time_model &model, milliseconds estimate, step_durations &step, milliseconds took)
{
    const double logTook = logOf(took);
    for (float &weight : model.ratios) {
        weight *= ratioDecay;
    }
    model.ratios[classOf(logTook - predictLog(model, estimate, step))] += 1;
    if (step.count > 0) {
        addSample(model.withinStep, logTook - step.logSum / step.count);
    }
    addSample(model.durations, logTook);
    if (estimate.count() > 0) {
        addSample(model.corrections, logTook - logOf(estimate));
    }
    step.logSum += logTook;
    ++step.count;
}

} // namespace sesamespar
