#include "version/work_kind.h"

namespace sesamespar {

namespace {

constexpr std::array<std::string_view, allWorkKinds.size()> kindNames{"service", "batch", "gang", "query"};

} // namespace

std::string_view workKindName(work_kind kind)
{
    return kindNames.at(kindIndex(kind));
}

std::optional<work_kind> workKindFromName(std::string_view name)
{
    for (const work_kind kind : allWorkKinds) {
        if (workKindName(kind) == name) {
            return kind;
        }
    }
    return std::nullopt;
}

} // namespace sesamespar
