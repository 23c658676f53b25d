// The record of a job: all that a new leader needs to go on with it. Two workers in different racks
// keep a copy of each record, and the platform's store an archive of them.
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

/// How far one task is.
enum class task_state {
    Waiting, ///< No attempt is under way.
    Claimed, ///< The record names a worker; the start may have reached it.
    Running, ///< The worker reported the start.
    Succeeded,
    Failed,
    Cancelled, ///< Did not run, or was stopped by a cancellation.
    Lost, ///< The start may have reached a worker whose outcome cannot be known.
};

/// Name of a state in answers, in lower case.
std::string_view taskStateName(task_state state);

/// State of that name, or nothing.
std::optional<task_state> taskStateFromName(std::string_view name);

/// True for the states that no later event but a late outcome changes.
bool isFinal(task_state state);

/// State of one task and its latest attempt.
struct task_record {
    task_index index;
    attempt_number attempt; ///< 0 before the first attempt.
    task_state state = task_state::Waiting;
    worker_id worker; ///< Of the latest attempt; empty before the first.
    incarnation_id instance; ///< Of that worker when the task was claimed for it.
    std::string result; ///< What the task reported, at most 4 KiB.

    bool operator==(const task_record &) const = default;
};

/// Order of the versions of one record. A record with a higher revision replaces a lower one.
struct record_revision {
    epoch_number epoch; ///< Of the leader that wrote it.
    std::uint64_t counter = 0; ///< Counts that leader's writes.

    auto operator<=>(const record_revision &) const = default;
};

/// Everything that must be known to go on with a job under another leader.
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
