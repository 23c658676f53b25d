#include "connection/worker_call_codec.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Largest value of an error_kind and of the other enumerations on the wire.
constexpr auto lastRefusal = static_cast<std::uint64_t>(order_refusal::Malformed);
constexpr auto lastRunEnd = static_cast<std::uint64_t>(run_end::GangIncomplete);
constexpr auto lastErrorKind = static_cast<std::uint64_t>(error_kind::Overloaded);

/// Reads the elements of an array in order. A missing element or one of another type marks the array as malformed.
class row_reader
{
public:
    explicit row_reader(const rapidjson::Value &row)
        : m_row(row)
        , m_valid(row.IsArray())
    {
    }

    std::uint64_t number()
    {
        const rapidjson::Value *value = next();
        m_valid = value != nullptr && value->IsUint64();
        return m_valid ? value->GetUint64() : 0;
    }

    std::uint32_t number32()
    {
        const rapidjson::Value *value = next();
        m_valid = value != nullptr && value->IsUint();
        return m_valid ? value->GetUint() : 0;
    }

    std::int64_t signedNumber()
    {
        const rapidjson::Value *value = next();
        m_valid = value != nullptr && value->IsInt64();
        return m_valid ? value->GetInt64() : 0;
    }

    bool flag()
    {
        const rapidjson::Value *value = next();
        m_valid = value != nullptr && value->IsBool();
        return m_valid && value->GetBool();
    }

    std::string text()
    {
        const rapidjson::Value *value = next();
        m_valid = value != nullptr && value->IsString();
        return m_valid ? std::string(value->GetString(), value->GetStringLength()) : std::string();
    }

    /// Reads a duration, or nothing from a negative number.
    std::optional<milliseconds> optionalTime()
    {
        const std::int64_t value = signedNumber();
        return value < 0 ? std::nullopt : std::optional(milliseconds(value));
    }

    template<typename Enum>
    Enum enumerator(std::uint64_t last)
    {
        const std::uint64_t value = number();
        m_valid = m_valid && value <= last;
        return static_cast<Enum>(m_valid ? value : 0);
    }

    /// The next element, or null if an earlier one was malformed or there is none.
    const rapidjson::Value *next()
    {
        if (!m_valid || m_index >= m_row.Size()) {
            m_valid = false;
            return nullptr;
        }
        return &m_row[m_index++];
    }

    /// Reads the connection at the end of a row; 0 if the row ends before, as those of earlier versions do.
    connection_number trailingConnection()
    {
        return connection_number(m_valid && m_index < m_row.Size() ? number() : 0);
    }

    bool valid() const
    {
        return m_valid;
    }

private:
    const rapidjson::Value &m_row;
    rapidjson::SizeType m_index = 0;
    bool m_valid;
};

void writeTime(json_writer &writer, const std::optional<milliseconds> &time)
{
    writer.Int64(time ? time->count() : -1);
}

void writeTask(json_writer &writer, const run_task &task, run_number run)
{
    writer.String(task.job.value);
    writer.Uint(task.step);
    writer.Uint(task.index);
    writer.Uint64(run.value);
}

void readTask(row_reader &row, run_task &task, run_number &run)
{
    task.job.value = row.text();
    task.step = row.number32();
    task.index = row.number32();
    run.value = row.number();
}

void writeOrder(json_writer &writer, const start_order &order)
{
    writer.String("start");
    writeTask(writer, order.task, order.run);
    writeTime(writer, order.leaseUntil);
    writer.Bool(order.payloadSource.has_value());
    writer.String(order.payloadSource ? order.payloadSource->value : order.payload);
    writer.String(order.checkpoint);
    writer.String(order.ticket ? order.ticket->value : std::string());
}

void writeOrder(json_writer &writer, const stop_order &order)
{
    writer.String("stop");
    writeTask(writer, order.task, order.run);
}

void writeOrder(json_writer &writer, const worker_poll &poll)
{
    writer.String("poll");
    writer.Uint64(poll.seenEnds.value);
    writeTime(writer, poll.leaseUntil);
    writer.Int64(poll.wait.count());
    writer.Uint64(poll.listedOn.value);
}

void readOrder(row_reader &row, fencing_token fence, worker_call &call)
{
    const std::string kind = row.text();
    if (kind == "poll") {
        worker_poll poll;
        poll.fence = fence;
        poll.seenEnds.value = row.number();
        poll.leaseUntil = row.optionalTime();
        poll.wait = row.optionalTime().value_or(milliseconds(0));
        poll.listedOn = row.trailingConnection();
        call.order = poll;
    } else if (kind == "stop") {
        stop_order order;
        order.fence = fence;
        readTask(row, order.task, order.run);
        call.order = order;
    } else {
        start_order order;
        order.fence = fence;
        readTask(row, order.task, order.run);
        order.leaseUntil = row.optionalTime();
        const bool stored = row.flag();
        std::string payload = row.text();
        if (stored) {
            order.payloadSource = address(std::move(payload));
        } else {
            order.payload = std::move(payload);
        }
        order.checkpoint = row.text();
        if (std::string ticket = row.text(); !ticket.empty()) {
            order.ticket = advice_ticket(std::move(ticket));
        }
        call.order = std::move(order);
    }
}

void writeRunning(json_writer &writer, const running_row &row)
{
    writer.StartArray();
    writeTask(writer, row.task, row.run);
    writer.String(row.checkpoint);
    writer.Int(row.percent.value_or(-1));
    writer.EndArray();
}

void writeEnded(json_writer &writer, const ended_row &row)
{
    writer.StartArray();
    writer.Uint64(row.number.value);
    writeTask(writer, row.task, row.run);
    writer.Uint(static_cast<unsigned>(row.how));
    writer.String(row.checkpoint);
    writer.EndArray();
}

bool readRunning(const rapidjson::Value &value, running_row &running)
{
    row_reader row(value);
    readTask(row, running.task, running.run);
    running.checkpoint = row.text();
    if (const std::int64_t percent = row.signedNumber(); percent >= 0) {
        running.percent = static_cast<int>(std::min<std::int64_t>(percent, std::numeric_limits<int>::max()));
    }
    return row.valid();
}

bool readEnded(const rapidjson::Value &value, ended_row &ended)
{
    row_reader row(value);
    ended.number.value = row.number();
    readTask(row, ended.task, ended.run);
    ended.how = row.enumerator<run_end>(lastRunEnd);
    ended.checkpoint = row.text();
    return row.valid();
}

/// Reads all rows of an array element. Returns false if one of them is malformed.
template<typename Row>
bool readRows(row_reader &parent, std::vector<Row> &rows, bool (*readRow)(const rapidjson::Value &, Row &))
{
    const rapidjson::Value *list = parent.next();
    if (list == nullptr || !list->IsArray()) {
        return false;
    }
    bool complete = true;
    for (const rapidjson::Value &value : list->GetArray()) {
        Row row;
        if (readRow(value, row)) {
            rows.push_back(std::move(row));
        } else {
            complete = false;
        }
    }
    return complete;
}

void writeResult(json_writer &writer, const order_reply &reply)
{
    writer.String("reply");
    writer.Uint(static_cast<unsigned>(reply.refusal));
    writeTime(writer, reply.workerClock);
}

void writeResult(json_writer &writer, const worker_report &report)
{
    writer.String("report");
    writer.Uint(static_cast<unsigned>(report.refusal));
    writer.Int64(report.workerClock.count());
    writer.Int64(report.incarnation.value);
    writer.Bool(report.complete);
    writer.StartArray();
    for (const running_row &row : report.running) {
        writeRunning(writer, row);
    }
    writer.EndArray();
    writer.StartArray();
    for (const ended_row &row : report.ended) {
        writeEnded(writer, row);
    }
    writer.EndArray();
    writer.Uint64(report.connection.value);
}

void writeResult(json_writer &writer, const error &problem)
{
    writer.String("error");
    writer.Uint(static_cast<unsigned>(problem.kind));
    writer.String(problem.message);
}

void readReport(row_reader &row, worker_report &report)
{
    report.refusal = row.enumerator<order_refusal>(lastRefusal);
    report.workerClock = milliseconds(row.signedNumber());
    report.incarnation.value = row.signedNumber();
    report.complete = row.flag();
    const bool runningComplete = readRows(row, report.running, readRunning);
    const bool endedComplete = readRows(row, report.ended, readEnded);
    report.complete = report.complete && runningComplete && endedComplete;
    report.connection = row.trailingConnection();
}

bool readOutcome(const rapidjson::Value &value, worker_call_outcome &outcome)
{
    row_reader row(value);
    outcome.number.value = row.number();
    const std::string kind = row.text();
    if (kind == "reply") {
        order_reply reply;
        reply.refusal = row.enumerator<order_refusal>(lastRefusal);
        reply.workerClock = row.optionalTime();
        outcome.result = reply;
    } else if (kind == "report") {
        worker_report report;
        readReport(row, report);
        outcome.result = std::move(report);
    } else {
        error problem;
        problem.kind = row.enumerator<error_kind>(lastErrorKind);
        problem.message = row.text();
        outcome.result = std::move(problem);
    }
    return row.valid();
}

void writePermission(json_writer &writer, const executor_permission &permission)
{
    writeNumber(writer, "process", permission.process.value);
    writeNumber(writer, "issued", permission.issuedAt.count());
}

std::uint64_t unsignedMember(const json_object &object, const char *name)
{
    const rapidjson::Value *value = object.find(name);
    return value != nullptr && value->IsUint64() ? value->GetUint64() : 0;
}

executor_permission readPermission(const json_object &object)
{
    return {incarnation_id(unsignedMember(object, "process")), milliseconds(object.number("issued", 0))};
}

} // namespace

void writeCallBatch(json_writer &writer, const worker_call_batch &batch)
{
    writeText(writer, "answerTo", batch.answerTo.value);
    writeNumber(writer, "fence", batch.fence.value);
    if (batch.permission) {
        writePermission(writer, *batch.permission);
    }
    writer.Key("calls");
    writer.StartArray();
    for (const worker_call &call : batch.calls) {
        writer.StartArray();
        writer.Uint64(call.number.value);
        writer.Int64(call.limit.count());
        writer.String(call.target.worker.value);
        writer.String(call.target.at.value);
        std::visit([&writer](const auto &order) { writeOrder(writer, order); }, call.order);
        writer.EndArray();
    }
    writer.EndArray();
}

worker_call_batch readCallBatch(const json_object &object)
{
    worker_call_batch batch;
    batch.answerTo.value = object.text("answerTo");
    batch.fence.value = unsignedMember(object, "fence");
    if (object.find("process") != nullptr) {
        batch.permission = readPermission(object);
    }
    for (const rapidjson::Value &value : object.list("calls")) {
        row_reader row(value);
        worker_call call;
        call.number.value = row.number();
        call.limit = row.optionalTime().value_or(milliseconds(0));
        call.target.worker.value = row.text();
        call.target.at.value = row.text();
        readOrder(row, batch.fence, call);
        if (row.valid()) {
            batch.calls.push_back(std::move(call));
        }
    }
    return batch;
}

void writeOutcomeBatch(json_writer &writer, const worker_outcome_batch &batch)
{
    writeText(writer, "from", batch.from.value);
    writeText(writer, "dataCentre", batch.dataCentre.value);
    writeNumber(writer, "term", batch.term.value);
    writeNumber(writer, "highestFence", batch.highestFence.value);
    writePermission(writer, batch.permission);
    writer.Key("refused");
    writer.StartArray();
    for (const call_number number : batch.refused) {
        writer.Uint64(number.value);
    }
    writer.EndArray();
    writer.Key("outcomes");
    writer.StartArray();
    for (const worker_call_outcome &outcome : batch.outcomes) {
        writer.StartArray();
        writer.Uint64(outcome.number.value);
        std::visit([&writer](const auto &single) { writeResult(writer, single); }, outcome.result);
        writer.EndArray();
    }
    writer.EndArray();
}

worker_outcome_batch readOutcomeBatch(const json_object &object)
{
    worker_outcome_batch batch;
    batch.from.value = object.text("from");
    batch.dataCentre.value = object.text("dataCentre");
    batch.term.value = unsignedMember(object, "term");
    batch.highestFence.value = unsignedMember(object, "highestFence");
    batch.permission = readPermission(object);
    for (const rapidjson::Value &number : object.list("refused")) {
        if (number.IsUint64()) {
            batch.refused.emplace_back(number.GetUint64());
        }
    }
    for (const rapidjson::Value &value : object.list("outcomes")) {
        worker_call_outcome outcome;
        if (readOutcome(value, outcome)) {
            batch.outcomes.push_back(std::move(outcome));
        }
    }
    return batch;
}

} // namespace sesamespar
