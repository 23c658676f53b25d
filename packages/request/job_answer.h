// What a caller is told about a job.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "request/job_record.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// Meaning of an answer.
enum class answer_status {
    Accepted, ///< Recorded; it will run or be reported as failed. The tasks show how far it is.
    Done, ///< Every task succeeded.
    Failed, ///< At least one task failed for good; the tasks tell which ran.
    Cancelled, ///< Cancelled; the tasks tell which of them ran before.
    Refused, ///< Not run and not recorded; the reason and a time to retry after are given.
    Conflict, ///< The key is in use with other content; this request was not run.
    Expired, ///< The request's expiry has passed; this request was not run and no earlier outcome is kept.
    Lost, ///< A task may have run, but its outcome cannot be known. It will not run again.
    NotFound, ///< No job is known under this key (only for status and cancel).
    Unknown, ///< It cannot be known now whether the job ran; ask again under the same key.
};

/// Name of a status in answers, in lower case.
std::string_view answerStatusName(answer_status status);

/// Status of that name, or nothing.
std::optional<answer_status> answerStatusFromName(std::string_view name);

/// The whole answer about one job.
struct job_answer {
    answer_status status = answer_status::Unknown;
    job_id id;
    std::string reason; ///< Why, in one sentence; empty where the status says it all.
    milliseconds retryAfter{0}; ///< When a retry makes sense; 0 if it does not or need not wait.
    std::vector<task_record> tasks; ///< All tasks of the job; empty if it was not recorded.
};

} // namespace sesamespar
