// Directives in a task's payload that set how the stand-in worker simulates the task.
#pragma once

#include "base/time.h"
#include "base/units.h"

#include <optional>
#include <string>

namespace sesamespar::standins {

/// Simulated behaviour of one task.
struct task_directive {
    std::optional<milliseconds> runTime; ///< Absent: the declared run time applies.
    bool fails = false; ///< The task ends as failed instead of succeeded.
    std::string result = "ok"; ///< Result reported when the task ends.
    std::optional<millicores> use; ///< Reported processor use. Absent: the declared requirement.
};

/// Reads run_ms, fail, result and use_millicores from a payload, which is a JSON object or a list of KEY=VALUE pairs
/// separated by spaces. Other content is ignored, since payloads are opaque to the platform.
task_directive parseTaskDirective(const std::string &payload);

} // namespace sesamespar::standins
