// The record of a job, from which a new leader can continue the job. Two workers in different racks keep a copy of each
// record, and the platform's store keeps an archive of all records.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "request/job_request.h"
#include "version/work_kind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// Largest result of a task in bytes.
constexpr std::size_t maxResultBytes = 4096;

/// Progress of one task.
enum class task_state {
    Waiting, ///< No attempt is active.
    Claimed, ///< The record names a worker; the start may have reached it.
    Running, ///< The worker reported the start.
    Succeeded,
    Failed,
    Cancelled, ///< Did not run, or was stopped by a cancellation.
    Lost, ///< The start may have reached a worker whose outcome cannot be determined.
};

/// Name of a state in responses, in lower case.
std::string_view taskStateName(task_state state);

/// Inverse of taskStateName(). Returns nothing for any other name.
std::optional<task_state> taskStateFromName(std::string_view name);

/// True for the states that only a late outcome can still change.
bool isFinal(task_state state);

/// State of one task and its latest attempt.
struct task_record {
    task_index index;
    attempt_number attempt; ///< 0 before the first attempt.
    task_state state = task_state::Waiting;
    worker_id worker; ///< Worker of the latest attempt; empty before the first.
    incarnation_id instance; ///< Incarnation of that worker when the task was claimed for it.
    std::string result; ///< Result that the task reported; at most maxResultBytes.

    bool operator==(const task_record &) const = default;
};

/// Orders the versions of one record. A version with a higher revision replaces one with a lower revision.
struct record_revision {
    epoch_number epoch; ///< Epoch of the leader that wrote the version.
    std::uint64_t counter = 0; ///< Counts that leader's writes.

    auto operator<=>(const record_revision &) const = default;
};

/// Everything that another leader needs to continue a job.
struct job_record {
    job_request request;
    work_kind kind = work_kind::Batch;
    resources need; ///< Of one task, as declared when the job was accepted.
    milliseconds runTime{0};
    bool repeatable = false;
    bool cancelRequested = false;
    std::uint32_t preemptions = 0;
    std::vector<task_record> tasks;
    record_revision revision;

    bool operator==(const job_record &) const = default;
};

/// True if every task is in a final state.
bool isFinished(const job_record &record);

} // namespace sesamespar
