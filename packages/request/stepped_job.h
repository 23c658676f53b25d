// A job as a caller submits it: steps, each with tasks of equal size.
#pragma once

#include "base/findings.h"
#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sesamespar {

/// Largest payload of a job in bytes.
constexpr std::size_t maxPayloadBytes = 4000;
/// Maximum number of steps of a job; callers send up to four.
constexpr std::size_t maxSteps = 64;
/// Maximum number of tasks of a job over all steps. The widest step that callers send has 60 tasks.
constexpr std::size_t maxTasks = 2000;

/// A step of `count` equal tasks, which may start once all tasks of the steps in `after` are done.
struct job_step {
    std::uint32_t count = 0;
    resources need; ///< Resources of one task.
    milliseconds estimate{0}; ///< Estimated duration of one task; the actual duration differs by up to 90%.
    std::vector<std::uint32_t> after; ///< Numbers of earlier steps, from 0.
    bool checkpointing = false; ///< Tasks write checkpoints and resume from the last one.
    bool gang = false; ///< All tasks start and end together.
    bool sameRack = false; ///< The tasks run slower if they are spread over several racks.
    bool speculative = false; ///< Copies of a task may run in parallel.
    std::string requiredLabel; ///< Label that a worker must have; empty for no requirement.
    std::string dataRack; ///< Rack of the input data; the tasks run slower elsewhere. Empty for no preference.
    std::uint32_t maxPerWorker = 0; ///< Maximum number of tasks of the step on one worker; 0 for no limit.
};

/// A job without its key, as in the body of a submission.
struct stepped_job {
    std::string payload;
    std::vector<job_step> steps;
};

/// Checks sizes, counts and the order of steps. Findings name the field but have no file or line.
findings checkSteppedJob(const stepped_job &job);

/// Total number of tasks of all steps.
std::size_t countTasks(const stepped_job &job);

/// True for 16 hexadecimal digits in lower or upper case.
bool isJobKey(const std::string &text);

} // namespace sesamespar
