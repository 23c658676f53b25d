#include "term/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sesamespar {

namespace {

/// Weight of the newest sample once there are many: a change of the work is followed within about 50 steps.
constexpr double leastWeight = 0.04;
/// Deviation from the mean, in standard deviations, beyond which a sample counts as this far.
constexpr double farthestDeviation = 3;
/// Least deviation that counts as far: a factor of 2.5. After many equal samples the spread is small, and a lasting
/// change by a factor of three was followed by half only after 60 samples.
constexpr double leastFar = 0.92;
/// Number of samples from which on the spread of the samples is known well enough to bound their deviations.
constexpr double samplesForSpread = 10;
/// Lower bound of a variance: no predictor is trusted to better than a tenth.
constexpr double leastVariance = 0.01;
/// Variance of a predictor before its spread is known: a factor of two.
constexpr double unknownVariance = 0.48;
/// Factor from the expected duration beyond which a task counts as this far in the mean of its step: a task of a tail
/// says little about the others.
constexpr double farthestInStep = 2;
/// Factor by which the weights of the ratios decay with each step.
constexpr double ratioDecay = 0.99;
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

void addSample(log_statistics &statistics, double logSample, double weight)
{
    statistics.samples += weight;
    const double share = weight * std::max(1 / statistics.samples, leastWeight);
    if (statistics.samples <= weight) {
        statistics.mean = logSample;
        return;
    }
    double deviation = logSample - statistics.mean;
    if (statistics.samples > samplesForSpread) {
        const double bound = std::max(farthestDeviation * std::sqrt(statistics.variance), leastFar);
        deviation = std::clamp(deviation, -bound, bound);
    }
    statistics.mean += share * deviation;
    statistics.variance += share * (deviation * deviation - statistics.variance);
}

milliseconds predictDuration(const run_time_model &model, milliseconds estimate, const step_durations &step)
{
    return milliseconds(static_cast<std::int64_t>(std::round(std::exp(predictLog(model, estimate, step)))));
}

bool isKnown(const run_time_model &model)
{
    return model.durations.samples >= samplesForSpread;
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

void learnDuration(
    run_time_model &model, milliseconds estimate, step_durations &step, milliseconds took, std::uint32_t stepRuns)
{
    const double logTook = logOf(took);
    const double logExpected = predictLog(model, estimate, step);
    const double weight = 1 / static_cast<double>(std::max<std::uint32_t>(stepRuns, 1));
    const auto decay = static_cast<float>(std::pow(ratioDecay, weight));
    for (float &ratioWeight : model.ratios) {
        ratioWeight *= decay;
    }
    model.ratios[classOf(logTook - logExpected)] += static_cast<float>(weight);
    if (step.count > 0) {
        addSample(model.withinStep, logTook - step.logSum / step.count, 1);
    }
    addSample(model.durations, logTook, weight);
    if (estimate.count() > 0) {
        addSample(model.corrections, logTook - logOf(estimate), weight);
    }
    const double bound = std::log(farthestInStep);
    step.logSum += isKnown(model) ? std::clamp(logTook, logExpected - bound, logExpected + bound) : logTook;
    ++step.count;
}

} // namespace sesamespar
