// The kinds of work, each with a scheduling policy of its own.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace sesamespar {

/// Kind of a work declaration.
enum class work_kind {
    Service, ///< Long-running tasks that are restarted when they end.
    Batch, ///< Independent tasks that may wait.
    Gang, ///< Jobs whose tasks must all run at the same time.
    Query, ///< Short, urgent tasks such as availability checks.
};

/// All kinds, in the order of their enumerators.
constexpr std::array<work_kind, 4> allWorkKinds{
    work_kind::Service, work_kind::Batch, work_kind::Gang, work_kind::Query};

/// Index of a kind in arrays with one entry per kind.
constexpr std::size_t kindIndex(work_kind kind)
{
    return static_cast<std::size_t>(kind);
}

/// Name of a kind in files and responses: service, batch, gang or query.
std::string_view workKindName(work_kind kind);

/// Returns the kind of that name, or nullopt.
std::optional<work_kind> workKindFromName(std::string_view name);

} // namespace sesamespar
