// The response to a caller about a job.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "request/job_record.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// Outcome that a response reports.
enum class answer_status {
    Accepted, ///< Recorded; the job will run or be reported as failed. The tasks show its progress.
    Done, ///< Every task succeeded.
    Failed, ///< At least one task failed permanently; the tasks show which ran.
    Cancelled, ///< Cancelled; the tasks show which of them ran before.
    Refused, ///< Not run and not recorded; the response has a reason and a retry delay.
    Conflict, ///< The key is in use with other content; this request was not run.
    Expired, ///< The request's expiry has passed; this request was not run and no earlier outcome is kept.
    Lost, ///< A task may have run, but its outcome cannot be determined. The task will not run again.
    NotFound, ///< No job is known under this key (only for status and cancel).
    Unknown, ///< Whether the job ran is undetermined for now; retry with the same key.
};

/// Name of a status in responses, in lower case.
std::string_view answerStatusName(answer_status status);

/// Inverse of answerStatusName(). Returns nothing for any other name.
std::optional<answer_status> answerStatusFromName(std::string_view name);

/// Complete response about one job.
struct job_answer {
    answer_status status = answer_status::Unknown;
    job_id id;
    std::string reason; ///< Explanation in one sentence; empty if the status is sufficient.
    milliseconds retryAfter{0}; ///< Delay before a retry; 0 if a retry is pointless or can be immediate.
    std::vector<task_record> tasks; ///< All tasks of the job; empty if it was not recorded.
};

} // namespace sesamespar
