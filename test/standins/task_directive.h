// What a task's payload tells the stand-in of a worker to do with the task.
#pragma once

#include "base/time.h"
#include "base/units.h"

#include <optional>
#include <string>

namespace sesamespar::standins {

/// Behaviour of one task.
struct task_directive {
    std::optional<milliseconds> runTime; ///< Absent: the declared run time.
    bool fails = false; ///< Ends as failed instead of succeeded.
    std::string result = "ok"; ///< Reported at the end.
    std::optional<millicores> use; ///< Measured use of processors. Absent: the declared need.
};

/// Reads run_ms, fail, result and use_millicores from a payload: a JSON object, or words KEY=VALUE
/// separated by spaces. Everything else is ignored, since payloads are opaque to the platform.
task_directive parseTaskDirective(const std::string &payload);

} // namespace sesamespar::standins
