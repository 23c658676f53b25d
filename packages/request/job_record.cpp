#include "request/job_record.h"

#include <algorithm>
#include <array>

namespace sesamespar {

namespace {

constexpr std::array<std::string_view, 7> stateNames{
    "waiting", "claimed", "running", "succeeded", "failed", "cancelled", "lost"};

} // namespace

std::string_view taskStateName(task_state state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::optional<task_state> taskStateFromName(std::string_view name)
{
    for (std::size_t index = 0; index < stateNames.size(); ++index) {
        if (stateNames.at(index) == name) {
            return static_cast<task_state>(index);
        }
    }
    return std::nullopt;
}

bool isFinal(task_state state)
{
    return state >= task_state::Succeeded;
}

bool isFinished(const job_record &record)
{
    return std::all_of(
        record.tasks.begin(), record.tasks.end(), [](const task_record &task) { return isFinal(task.state); });
}

} // namespace sesamespar
