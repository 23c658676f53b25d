// Strong types for the names, versions and sequence numbers that sesamespar uses.
#pragma once

#include "base/strong_value.h"

#include <cstdint>
#include <string>

namespace sesamespar {

/// Name of a team, the unit that has a home data centre and a quota.
using team_id = strong_value<struct team_id_tag, std::string>;
/// Idempotency key of a job, chosen by the caller and unique within its team.
using idempotency_key = strong_value<struct idempotency_key_tag, std::string>;
/// Name of a work declaration in the configuration.
using work_id = strong_value<struct work_id_tag, std::string>;
/// Name of a VM that runs tasks; the worker on it has the same name.
using worker_id = strong_value<struct worker_id_tag, std::string>;
/// Name of a daemon, from its settings.
using daemon_id = strong_value<struct daemon_id_tag, std::string>;
/// Name of a data centre.
using data_centre_id = strong_value<struct data_centre_id_tag, std::string>;
/// Name of a rack, unique within its data centre.
using rack_id = strong_value<struct rack_id_tag, std::string>;
/// Address of a process as HOST:PORT.
using address = strong_value<struct address_tag, std::string>;

/// Fencing epoch of a control lease. A worker refuses calls with an epoch below its current one.
using epoch_number = strong_value<struct epoch_number_tag, std::uint64_t>;
/// Version of the configuration; a higher one replaces a lower one, never the reverse.
using config_version = strong_value<struct config_version_tag, std::uint64_t>;
/// Revision of the platform's VM list.
using roster_revision = strong_value<struct roster_revision_tag, std::uint64_t>;
/// Random number that distinguishes successive runs of a process under the same name.
using incarnation_id = strong_value<struct incarnation_id_tag, std::uint64_t>;
/// Number of a connection to another process, unique among all daemons; 0 means that it is unknown. A connection
/// belongs to one run of the process at each end: what is sent on it never reaches a later run.
using connection_number = strong_value<struct connection_number_tag, std::uint64_t>;
/// Number that matches a forwarded request with its answer.
using correlation_id = strong_value<struct correlation_id_tag, std::uint64_t>;
/// Position of an event in a worker's sequence, from 1.
using event_sequence = strong_value<struct event_sequence_tag, std::uint64_t>;
/// Revision of a value in the platform's store; 0 means that the value is absent.
using store_revision = strong_value<struct store_revision_tag, std::uint64_t>;
/// Index of a task within its job, from 0.
using task_index = strong_value<struct task_index_tag, std::uint32_t>;
/// Number of an attempt to run a task, from 1.
using attempt_number = strong_value<struct attempt_number_tag, std::uint32_t>;
/// Hash over the whole content of a job request.
using request_fingerprint = strong_value<struct request_fingerprint_tag, std::uint64_t>;

/// Identity of a stepped job: 16 hexadecimal digits, chosen by the caller.
using job_key = strong_value<struct job_key_tag, std::string>;
/// Name of a queue, through which callers submit stepped jobs.
using queue_id = strong_value<struct queue_id_tag, std::string>;
/// Name of an organisation: one of the customers that share a cell.
using organisation_id = strong_value<struct organisation_id_tag, std::string>;
/// Secret that the callers of an organisation send with each request. Never logged.
using api_key = strong_value<struct api_key_tag, std::string>;
/// Name of a service: a pool of workers that run the tasks of certain queues.
using service_id = strong_value<struct service_id_tag, std::string>;
/// Position of a task in its job over all steps, from 0.
using task_position = strong_value<struct task_position_tag, std::uint32_t>;
/// Number of a start of a task, from 1 and rising. Members of a gang share it.
using run_number = strong_value<struct run_number_tag, std::uint64_t>;
/// Number of an ended run in a worker's list, from 1 in each incarnation of the worker and rising.
using end_number = strong_value<struct end_number_tag, std::uint64_t>;
/// Fencing token of one term of the leader. A worker does not act on a call whose token is below the highest that it
/// has received.
using fencing_token = strong_value<struct fencing_token_tag, std::uint64_t>;
/// Incarnation of a worker: its start time in milliseconds since 1970. A worker that restarts under the same id gets a
/// new one.
using worker_incarnation = strong_value<struct worker_birth_tag, std::int64_t>;
/// Lease in the platform's store.
using store_lease = strong_value<struct store_lease_tag, std::uint64_t>;
/// Permission of the placement advisor to run a step on a worker.
using advice_ticket = strong_value<struct advice_ticket_tag, std::string>;

/// Identity of a job: the team and its idempotency key.
struct job_id {
    team_id team;
    idempotency_key key;

    auto operator<=>(const job_id &) const = default;
};

/// Writes TEAM/KEY.
std::ostream &operator<<(std::ostream &stream, const job_id &id);

/// Identity of one attempt to run one task of a job.
struct task_id {
    job_id job;
    task_index index;
    attempt_number attempt;

    auto operator<=>(const task_id &) const = default;
};

/// Writes TEAM/KEY/INDEX/ATTEMPT.
std::ostream &operator<<(std::ostream &stream, const task_id &id);

} // namespace sesamespar

/// Hashes both parts of a job's identity.
template<>
struct std::hash<sesamespar::job_id> {
    std::size_t operator()(const sesamespar::job_id &id) const noexcept;
};
