// Learns from finished runs how long the tasks of a queue take. Numbers only; a model has a fixed size.
#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace sesamespar {

/// Moving mean and variance of the logarithms of positive samples. Samples far from the mean count as less far, so that
/// a tail of durations that are several times as long moves neither much, while a lasting change is still followed.
struct log_statistics {
    double mean = 0;
    double variance = 0;
    double samples = 0; ///< Sum of the weights of all samples.
};

/// Adds the logarithm of a sample. `weight` is its share of an independent sample, in (0, 1].
void addSample(log_statistics &statistics, double logSample, double weight);

/// Number of classes of the ratio of the actual to the predicted duration, each a factor of 2^(1/4) wide.
constexpr std::size_t ratioClasses = 33;

/// What was learned of the durations of a queue's tasks on a worker of mean speed.
struct run_time_model {
    log_statistics durations; ///< In milliseconds.
    log_statistics corrections; ///< Ratio of the duration to the caller's estimate.
    log_statistics
        withinStep; ///< Ratio of the duration of a task to the mean of the tasks of its step that ended before.
    /// Weights of the ratios of the actual to the predicted duration, older ones with less weight. The classes in the
    /// middle hold predictions that were right.
    std::array<float, ratioClasses> ratios{};
};

/// Durations of the tasks of one step that have ended.
struct step_durations {
    double logSum = 0; ///< Sum of the logarithms of the durations in milliseconds.
    std::uint32_t count = 0;
};

/// Expected duration of a task. Combines the durations of the queue's tasks, the caller's estimate, and the tasks of
/// the same step that have ended, each weighted by how well it has predicted before. Without any sample it is the
/// estimate.
milliseconds predictDuration(const run_time_model &model, milliseconds estimate, const step_durations &step);

/// True if enough steps of the queue have ended to tell how well each predictor does.
bool isKnown(const run_time_model &model);

/// Duration that a share `quantile` of the tasks with that expected duration does not exceed.
milliseconds durationQuantile(const run_time_model &model, milliseconds expected, double quantile);

/// Learns from a task that has taken `took` on a worker of mean speed, and adds it to its step. The step has `stepRuns`
/// runs, which all together count as one sample of the queue, since their durations and their estimate agree.
void learnDuration(
    run_time_model &model, milliseconds estimate, step_durations &step, milliseconds took, std::uint32_t stepRuns);

} // namespace sesamespar
