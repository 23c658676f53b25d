// The kinds of work that policies tell apart.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace sesamespar {

/// Kind of a work declaration. Each kind has a policy of its own in the configuration.
enum class work_kind {
    Service, ///< Long-running tasks that are restarted when they end.
    Batch, ///< Tasks that run on their own and may wait.
    Gang, ///< Jobs that need all their tasks at once.
    Query, ///< Short, urgent tasks such as availability checks.
};

/// All kinds, in the order of their enumerators.
constexpr std::array<work_kind, 4> allWorkKinds{
    work_kind::Service, work_kind::Batch, work_kind::Gang, work_kind::Query};

/// Position of a kind in arrays that hold one entry for each kind.
constexpr std::size_t kindIndex(work_kind kind)
{
    return static_cast<std::size_t>(kind);
}

/// Name of a kind in files and answers: service, batch, gang, query.
std::string_view workKindName(work_kind kind);

/// Kind of that name, or nothing.
std::optional<work_kind> workKindFromName(std::string_view name);

} // namespace sesamespar
