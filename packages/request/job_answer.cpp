#include "request/job_answer.h"

#include <array>

namespace sesamespar {

namespace {

constexpr std::array<std::string_view, 10> statusNames{
    "accepted", "done", "failed", "cancelled", "refused", "conflict", "expired", "lost", "not_found", "unknown"};

} // namespace

std::string_view answerStatusName(answer_status status)
{
    return statusNames.at(static_cast<std::size_t>(status));
}

std::optional<answer_status> answerStatusFromName(std::string_view name)
{
    for (std::size_t index = 0; index < statusNames.size(); ++index) {
        if (statusNames.at(index) == name) {
            return static_cast<answer_status>(index);
        }
    }
    return std::nullopt;
}

} // namespace sesamespar
