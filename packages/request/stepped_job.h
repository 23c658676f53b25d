// A job of steps, each with tasks of one size, as a caller hands it in.
#pragma once

#include "base/findings.h"
#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sesamespar {

/// Most bytes of a job's payload.
constexpr std::size_t maxPayloadBytes = 4000;
/// Most steps of a job; callers send up to four.
constexpr std::size_t maxSteps = 64;
/// Most tasks of a job over all steps. The widest step that callers send has 60 tasks.
constexpr std::size_t maxTasks = 2000;

/// One step: `count` equal tasks that may start once all tasks of the steps in `after` are done.
struct job_step {
    std::uint32_t count = 0;
    resources need; ///< Of one task.
    milliseconds estimate{0}; ///< Rough duration of one task; off by up to nine tenths.
    std::vector<std::uint32_t> after; ///< Numbers of earlier steps, from 0.
    bool checkpointing = false; ///< A task resumes from its last checkpoint.
    bool gang = false; ///< All tasks run at the same time and end together.
    bool sameRack = false; ///< The tasks are slower if they run on more than one rack.
    bool speculative = false; ///< Copies of a task may run in parallel.
    std::string requiredLabel; ///< Label that the worker must have; empty for none.
    std::string dataRack; ///< Rack on which the tasks are not slowed down; empty for none.
    std::uint32_t maxPerWorker = 0; ///< Most tasks of the step on one worker; 0 for no limit.
};

/// What callers ask for.
struct stepped_job {
    std::string payload;
    std::vector<job_step> steps;
};

/// Checks sizes, counts and the order of steps. Findings name the field, without file and line.
findings checkSteppedJob(const stepped_job &job);

/// Number of tasks of all steps.
std::size_t countTasks(const stepped_job &job);

/// True for 16 hexadecimal digits in lower or upper case.
bool isJobKey(const std::string &text);

} // namespace sesamespar
