// Field lists of all messages, shared by both encodings. JSON encodes a struct as an object with these field names,
// msgpack as an array in this order. Private to the codecs.
#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "connection/peer_message.h"
#include "connection/store_api.h"
#include "connection/worker_api.h"
#include "request/job_answer.h"
#include "request/job_record.h"
#include "request/job_request.h"
#include "version/work_kind.h"

#include <array>
#include <cstdint>
#include <limits>
#include <string_view>
#include <tuple>

namespace sesamespar {

/// Range of a number, of the length of a string in bytes, or of the length of a list. Both bounds are inclusive.
struct value_limits {
    std::uint64_t least = 0;
    std::uint64_t most = std::numeric_limits<std::uint64_t>::max();
};

/// Whether a JSON object must have the field. An absent optional field keeps its default value.
enum class presence {
    Required,
    Optional,
};

/// One field of a struct.
template<typename Struct, typename Member>
struct field {
    std::string_view name;
    Member Struct::*member;
    value_limits limits;
    presence needed;

    constexpr field(std::string_view fieldName,
                    Member Struct::*fieldMember,
                    value_limits fieldLimits = {},
                    presence fieldNeeded = presence::Required)
        : name(fieldName)
        , member(fieldMember)
        , limits(fieldLimits)
        , needed(fieldNeeded)
    {
    }
};

/// A member struct. JSON writes its fields into the object of its parent, msgpack as a nested array.
template<typename Struct, typename Member>
struct embedded {
    Member Struct::*member;

    constexpr explicit embedded(Member Struct::*fieldMember)
        : member(fieldMember)
    {
    }
};

constexpr value_limits optionalName{0, maxNameBytes};
constexpr value_limits requiredName{1, maxNameBytes};
constexpr value_limits any32{0, std::numeric_limits<std::uint32_t>::max()};
constexpr value_limits any64{};
/// One year in milliseconds; keeps sums of durations and time points far from overflow.
constexpr value_limits anyDuration{0, 31536000000};
/// Up to the end of the year 9999.
constexpr value_limits anyUtcTime{0, neverExpiresMs};
/// Clocks of workers are never negative.
constexpr value_limits anyClock = anyUtcTime;
/// Keeps the sum over all workers and tasks far from overflow.
constexpr value_limits anyAmount{0, 1000000000000};
constexpr value_limits callerWait{0, static_cast<std::uint64_t>(maxCallerWait.count())};
constexpr value_limits payloadBytes{0, maxPayloadBytes};
constexpr value_limits resultBytes{0, maxResultBytes};
constexpr value_limits storeKeyBytes{1, 1024};
constexpr value_limits reasonBytes{0, 1024};
constexpr value_limits configTextBytes{0, maxConfigTextBytes};
/// Maximum number of tasks that a declaration may request.
constexpr value_limits jobTasks{0, 10000};
constexpr value_limits pageEntries{0, 256};
/// Longest list in any message.
constexpr std::size_t maxListLength = 16384;
constexpr value_limits anyList{0, maxListLength};

/// Field list of a struct. Each specialization has a tuple `fields`.
template<typename Struct>
struct field_list;

template<>
struct field_list<job_id> {
    static constexpr auto fields =
        std::make_tuple(field("team", &job_id::team, requiredName), field("key", &job_id::key, requiredName));
};

template<>
struct field_list<task_id> {
    static constexpr auto fields = std::make_tuple(
        embedded(&task_id::job), field("index", &task_id::index, any32), field("attempt", &task_id::attempt, any32));
};

template<>
struct field_list<resources> {
    static constexpr auto fields = std::make_tuple(field("millicores", &resources::processors, anyAmount),
                                                   field("mebibytes", &resources::memory, anyAmount),
                                                   field("accelerators", &resources::accelerator, anyAmount));
};

template<>
struct field_list<job_request> {
    static constexpr auto fields =
        std::make_tuple(embedded(&job_request::id),
                        field("work", &job_request::work, requiredName),
                        field("expires", &job_request::expires, anyUtcTime),
                        field("tasks", &job_request::tasks, jobTasks, presence::Optional),
                        field("payload", &job_request::payload, payloadBytes, presence::Optional));
};

template<>
struct field_list<submit_request> {
    static constexpr auto fields = std::make_tuple(
        embedded(&submit_request::job), field("wait_ms", &submit_request::wait, callerWait, presence::Optional));
};

template<>
struct field_list<status_request> {
    static constexpr auto fields = std::make_tuple(
        embedded(&status_request::id), field("wait_ms", &status_request::wait, callerWait, presence::Optional));
};

template<>
struct field_list<cancel_request> {
    static constexpr auto fields = std::make_tuple(embedded(&cancel_request::id));
};

template<>
struct field_list<task_record> {
    static constexpr auto fields = std::make_tuple(field("index", &task_record::index, any32),
                                                   field("attempt", &task_record::attempt, any32),
                                                   field("state", &task_record::state),
                                                   field("worker", &task_record::worker, optionalName),
                                                   field("instance", &task_record::instance, any64),
                                                   field("result", &task_record::result, resultBytes));
};

template<>
struct field_list<record_revision> {
    static constexpr auto fields = std::make_tuple(field("epoch", &record_revision::epoch, any64),
                                                   field("counter", &record_revision::counter, any64));
};

template<>
struct field_list<job_record> {
    static constexpr auto fields = std::make_tuple(field("request", &job_record::request),
                                                   field("kind", &job_record::kind),
                                                   field("need", &job_record::need),
                                                   field("run_time_ms", &job_record::runTime, anyDuration),
                                                   field("repeatable", &job_record::repeatable),
                                                   field("cancel_requested", &job_record::cancelRequested),
                                                   field("preemptions", &job_record::preemptions, any32),
                                                   field("tasks", &job_record::tasks, jobTasks),
                                                   field("revision", &job_record::revision));
};

template<>
struct field_list<job_answer> {
    static constexpr auto fields =
        std::make_tuple(field("status", &job_answer::status),
                        embedded(&job_answer::id),
                        field("reason", &job_answer::reason, reasonBytes, presence::Optional),
                        field("retry_after_ms", &job_answer::retryAfter, anyDuration, presence::Optional),
                        field("tasks", &job_answer::tasks, jobTasks, presence::Optional));
};

template<>
struct field_list<vm_entry> {
    static constexpr auto fields = std::make_tuple(field("name", &vm_entry::name, requiredName),
                                                   field("worker", &vm_entry::worker, requiredName),
                                                   field("data_centre", &vm_entry::dataCentre, requiredName),
                                                   field("rack", &vm_entry::rack, requiredName),
                                                   field("state", &vm_entry::state));
};

template<>
struct field_list<vm_list> {
    static constexpr auto fields =
        std::make_tuple(field("revision", &vm_list::revision, any64), field("vms", &vm_list::vms, anyList));
};

template<>
struct field_list<store_put_reply> {
    static constexpr auto fields = std::make_tuple(field("applied", &store_put_reply::applied),
                                                   field("revision", &store_put_reply::revision, any64));
};

template<>
struct field_list<store_keys> {
    static constexpr auto fields = std::make_tuple(field("keys", &store_keys::keys, value_limits{0, maxStoreListKeys}));
};

template<>
struct field_list<heartbeat> {
    static constexpr auto fields = std::make_tuple(field("data_centre", &heartbeat::dataCentre, requiredName),
                                                   field("version", &heartbeat::version, any64),
                                                   field("roster", &heartbeat::roster, any64),
                                                   field("leading", &heartbeat::leading),
                                                   field("complete", &heartbeat::complete),
                                                   field("epoch", &heartbeat::epoch, any64),
                                                   field("draining", &heartbeat::draining),
                                                   field("leaving", &heartbeat::leaving, anyList));
};

template<>
struct field_list<forward_request> {
    static constexpr auto fields = std::make_tuple(field("correlation", &forward_request::correlation, any64),
                                                   field("call", &forward_request::call));
};

template<>
struct field_list<forward_answer> {
    static constexpr auto fields = std::make_tuple(field("correlation", &forward_answer::correlation, any64),
                                                   field("answer", &forward_answer::answer),
                                                   field("final", &forward_answer::final),
                                                   field("not_leader", &forward_answer::notLeader));
};

template<>
struct field_list<config_request> {
    static constexpr auto fields = std::make_tuple();
};

template<>
struct field_list<config_push> {
    static constexpr auto fields = std::make_tuple(field("version", &config_push::version, any64),
                                                   field("text", &config_push::text, configTextBytes));
};

template<>
struct field_list<roster_request> {
    static constexpr auto fields = std::make_tuple();
};

template<>
struct field_list<roster_push> {
    static constexpr auto fields = std::make_tuple(field("roster", &roster_push::roster));
};

template<>
struct field_list<drain_push> {
    static constexpr auto fields = std::make_tuple(field("vm", &drain_push::vm, requiredName));
};

template<>
struct field_list<peer_message> {
    static constexpr auto fields = std::make_tuple(field("sender", &peer_message::sender, requiredName),
                                                   field("incarnation", &peer_message::incarnation, any64),
                                                   field("payload", &peer_message::payload));
};

template<>
struct field_list<control_token> {
    static constexpr auto fields = std::make_tuple(field("epoch", &control_token::epoch, any64),
                                                   field("holder", &control_token::holder, optionalName),
                                                   field("instance", &control_token::instance, any64));
};

template<>
struct field_list<control_request> {
    static constexpr auto fields = std::make_tuple(field("token", &control_request::token),
                                                   field("sent_at_ms", &control_request::sentAt, anyClock),
                                                   field("lease_ms", &control_request::lease, anyDuration),
                                                   field("wait_ms", &control_request::wait, anyDuration),
                                                   field("after", &control_request::after, any64),
                                                   field("version", &control_request::version, any64),
                                                   field("roster", &control_request::roster, any64),
                                                   field("release", &control_request::release));
};

template<>
struct field_list<task_event> {
    static constexpr auto fields = std::make_tuple(field("sequence", &task_event::sequence, any64),
                                                   field("task", &task_event::task),
                                                   field("kind", &task_event::kind),
                                                   field("result", &task_event::result, resultBytes));
};

template<>
struct field_list<task_usage> {
    static constexpr auto fields = std::make_tuple(field("task", &task_usage::task), field("used", &task_usage::used));
};

template<>
struct field_list<control_reply> {
    static constexpr auto fields = std::make_tuple(field("granted", &control_reply::granted),
                                                   field("current", &control_reply::current),
                                                   field("remaining_ms", &control_reply::remaining, anyDuration),
                                                   field("clock_ms", &control_reply::clock, anyClock),
                                                   field("instance", &control_reply::instance, any64),
                                                   field("capacity", &control_reply::capacity),
                                                   field("draining", &control_reply::draining),
                                                   field("version", &control_reply::version, any64),
                                                   field("roster", &control_reply::roster, any64),
                                                   field("events", &control_reply::events, pageEntries),
                                                   field("usage", &control_reply::usage, anyList));
};

template<>
struct field_list<snapshot_request> {
    static constexpr auto fields =
        std::make_tuple(field("token", &snapshot_request::token), field("page", &snapshot_request::page, any64));
};

template<>
struct field_list<worker_task> {
    static constexpr auto fields = std::make_tuple(field("task", &worker_task::task),
                                                   field("need", &worker_task::need),
                                                   field("ended", &worker_task::ended),
                                                   field("last", &worker_task::last),
                                                   field("result", &worker_task::result, resultBytes));
};

template<>
struct field_list<snapshot_reply> {
    static constexpr auto fields = std::make_tuple(field("accepted", &snapshot_reply::accepted),
                                                   field("current", &snapshot_reply::current),
                                                   field("sequence", &snapshot_reply::sequence, any64),
                                                   field("tasks", &snapshot_reply::tasks, pageEntries),
                                                   field("records", &snapshot_reply::records, pageEntries),
                                                   field("next_page", &snapshot_reply::nextPage, any64));
};

template<>
struct field_list<record_drop> {
    static constexpr auto fields =
        std::make_tuple(embedded(&record_drop::id), field("revision", &record_drop::revision));
};

template<>
struct field_list<write_records_request> {
    static constexpr auto fields = std::make_tuple(field("token", &write_records_request::token),
                                                   field("put", &write_records_request::put, anyList),
                                                   field("drop", &write_records_request::drop, anyList));
};

template<>
struct field_list<write_records_reply> {
    static constexpr auto fields = std::make_tuple(field("accepted", &write_records_reply::accepted),
                                                   field("current", &write_records_reply::current));
};

template<>
struct field_list<start_command> {
    static constexpr auto fields = std::make_tuple(field("task", &start_command::task),
                                                   field("need", &start_command::need),
                                                   field("run_time_ms", &start_command::runTime, anyDuration),
                                                   field("lease_ms", &start_command::lease, anyDuration),
                                                   field("work", &start_command::work, requiredName),
                                                   field("payload", &start_command::payload, payloadBytes));
};

template<>
struct field_list<throttle_command> {
    static constexpr auto fields = std::make_tuple(field("task", &throttle_command::task),
                                                   field("limit_millicores", &throttle_command::limit, anyAmount));
};

template<>
struct field_list<commands_request> {
    static constexpr auto fields = std::make_tuple(field("token", &commands_request::token),
                                                   field("sent_at_ms", &commands_request::sentAt, anyClock),
                                                   field("validity_ms", &commands_request::validity, anyDuration),
                                                   field("start", &commands_request::start, anyList),
                                                   field("stop", &commands_request::stop, anyList),
                                                   field("checkpoint", &commands_request::checkpoint, anyList),
                                                   field("throttle", &commands_request::throttle, anyList),
                                                   field("forget", &commands_request::forget, anyList),
                                                   field("drain", &commands_request::drain));
};

template<>
struct field_list<rejected_start> {
    static constexpr auto fields =
        std::make_tuple(field("task", &rejected_start::task), field("reason", &rejected_start::reason, reasonBytes));
};

template<>
struct field_list<commands_reply> {
    static constexpr auto fields = std::make_tuple(field("accepted", &commands_reply::accepted),
                                                   field("current", &commands_reply::current),
                                                   field("clock_ms", &commands_reply::clock, anyClock),
                                                   field("rejected", &commands_reply::rejected, anyList));
};

/// Names of the enumerators in JSON, in the order of their values.
template<typename Enum>
struct enum_names;

template<>
struct enum_names<answer_status> {
    static constexpr std::size_t count = static_cast<std::size_t>(answer_status::Unknown) + 1;
    static std::string_view name(answer_status value)
    {
        return answerStatusName(value);
    }
};

template<>
struct enum_names<task_state> {
    static constexpr std::size_t count = static_cast<std::size_t>(task_state::Lost) + 1;
    static std::string_view name(task_state value)
    {
        return taskStateName(value);
    }
};

template<>
struct enum_names<work_kind> {
    static constexpr std::size_t count = allWorkKinds.size();
    static std::string_view name(work_kind value)
    {
        return workKindName(value);
    }
};

template<>
struct enum_names<task_event_kind> {
    static constexpr std::size_t count = static_cast<std::size_t>(task_event_kind::LeaseExpired) + 1;
    static std::string_view name(task_event_kind value)
    {
        constexpr std::array<std::string_view, count> names{
            "started", "succeeded", "failed", "stopped", "checkpointed", "lease_lapsed"};
        return names.at(static_cast<std::size_t>(value));
    }
};

template<>
struct enum_names<vm_state> {
    static constexpr std::size_t count = static_cast<std::size_t>(vm_state::Leaving) + 1;
    static std::string_view name(vm_state value)
    {
        constexpr std::array<std::string_view, count> names{"live", "leaving"};
        return names.at(static_cast<std::size_t>(value));
    }
};

/// A struct with a field list.
template<typename T>
concept has_field_list = requires
{
    field_list<T>::fields;
};

/// A strong id or unit.
template<typename T>
concept is_strong_value = requires(T strong)
{
    typename T::rep;
    strong.value;
};

/// Limits of the elements of a list: names, or keys of the store.
template<typename Element>
constexpr value_limits elementLimits()
{
    return is_strong_value<Element> ? requiredName : storeKeyBytes;
}

/// An enumeration with names.
template<typename T>
concept has_enum_names = requires
{
    enum_names<T>::count;
};

} // namespace sesamespar
