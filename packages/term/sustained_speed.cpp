#include "term/sustained_speed.h"

#include "base/log.h"

#include <algorithm>
#include <cmath>

namespace sesamespar {

namespace {

/// Weight of the newest sample once there are many, about the runs of a worker in 20 s.
constexpr double leastWeight = 0.05;
/// Samples of speed 1 that each worker starts with, so that the first real ones do not decide alone.
constexpr double assumedSamples = 2;
/// Weight of the newest sample in the mean of the cell.
constexpr double cellWeight = 0.005;
/// Measured speeds beyond this factor from the worker's sustained speed are discarded: a task of the tail of the
/// durations, or a run on a worker that is several times slower for a time, says nothing about it. A sixth of the
/// workers that are 6.5 times slower would otherwise make a cell of equal workers uneven. A bound around the mean of
/// the cell would discard more of the slow samples of slow workers than of their fast ones, and measure a ratio of 2.1
/// where the speeds are 0.6 and 1.6.
constexpr double farthestRatio = 3;
/// Lower bound of a speed, for its logarithm.
constexpr double slowestSpeed = 0.001;
/// Samples from which on a worker counts as measured.
constexpr double samplesForMeasured = 5;
/// Workers below which a fifth is a single worker.
constexpr std::size_t leastMeasured = 5;
/// Ratios of the upper to the lower fifth at which a cell becomes uneven, and below which it becomes even again. With
/// equal workers the noise of the samples gives 1.4.
constexpr double unevenAbove = 2.0;
constexpr double evenBelow = 1.7;
constexpr double lowerFifth = 0.2;
constexpr double upperFifth = 0.8;
/// Multiple of its expected duration that a task must have time for on a worker that is fast enough: durations differ
/// from the expected ones by a factor of two at most in nine of ten tasks.
constexpr double timeMargin = 2;
/// Width of a class of speeds, within which the order of free capacity decides.
constexpr double speedClass = 1.25;
/// Lower bounds of the speed and of the class that a step may need.
constexpr double leastNeeded = 0.01;
constexpr int slowestClass = -20;
/// Added to the rank of a worker that is too slow.
constexpr int tooSlow = 100;

int classOf(double logSpeed)
{
    return static_cast<int>(std::lround(logSpeed / std::log(speedClass)));
}

} // namespace

double sustainedSpeed(const cell_worker &worker)
{
    return std::exp(worker.logSpeed);
}

void learnSpeed(
    cell_state &state, cell_worker &worker, const cell_job &job, std::uint32_t step, const measured_work &work)
{
    const run_time_model &model = job.history->runTimes;
    if (work.share <= 0 || work.tookMs <= 0 || !isKnown(model)) {
        return;
    }
    // Without the ended tasks of the step: those on fast workers end first.
    const milliseconds expected = predictDuration(model, job.accepted.job.steps[step].estimate, {});
    const double speed = work.share * static_cast<double>(expected.count()) / work.tookMs;
    const double relative = std::log(std::max(speed, slowestSpeed)) - state.meanLogSpeed;
    const double bound = std::log(farthestRatio);
    state.speedSamples += work.share;
    // Samples far from the mean move it as well, since it may be wrong itself.
    state.meanLogSpeed += work.share * std::max(1 / (state.speedSamples + assumedSamples), cellWeight)
        * std::clamp(relative, -bound, bound);
    if (std::abs(relative - worker.logSpeed) > bound) {
        return;
    }
    worker.speedSamples += work.share;
    const double weight = work.share * std::max(1 / (worker.speedSamples + assumedSamples), leastWeight);
    worker.logSpeed += weight * (relative - worker.logSpeed);
}

void assessUnevenness(cell_state &state)
{
    std::vector<double> speeds;
    for (const cell_worker *worker : state.slots) {
        if (worker != nullptr && worker->speedSamples >= samplesForMeasured) {
            speeds.push_back(worker->logSpeed);
        }
    }
    if (speeds.size() < leastMeasured || 2 * speeds.size() < state.workers.size()) {
        return;
    }
    const auto quantile = [&speeds](double share) {
        const auto nth = speeds.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(speeds.size() - 1));
        std::nth_element(speeds.begin(), nth, speeds.end());
        return *nth;
    };
    const double ratio = std::exp(quantile(upperFifth) - quantile(lowerFifth));
    const bool uneven = ratio >= (state.unevenWorkers ? evenBelow : unevenAbove);
    if (uneven != state.unevenWorkers) {
        log_event("workers_uneven").with("uneven", uneven).with("ratio", ratio).with("measured", speeds.size());
    }
    state.unevenWorkers = uneven;
}

speed_preference speedPreference(const cell_state &state, const waiting_step &waiting, utc_time now)
{
    speed_preference preference;
    preference.leastClass = slowestClass;
    if (isDeferrable(waiting)) {
        return preference;
    }
    const auto expected = static_cast<double>(expectedDuration(state, *waiting.job, waiting.step).count());
    const double timeLeft = static_cast<double>(waiting.forecast.latestStart.value - now.value) + expected;
    const double needed = timeMargin * expected / std::max(timeLeft, 1.0);
    preference.fastestFirst = needed >= 1;
    preference.leastClass = std::max(slowestClass, classOf(std::log(std::max(needed, leastNeeded))));
    return preference;
}

int speedRank(const speed_preference &preference, const cell_worker &worker)
{
    const int speed = classOf(worker.logSpeed);
    if (preference.fastestFirst) {
        return -speed;
    }
    return speed >= preference.leastClass ? speed : tooSlow - speed;
}

} // namespace sesamespar
