#include "connection/cell_codec.h"

#include "connection/json_reader.h"
#include "connection/json_writer.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Writes a flag only if it is set; an absent flag is read as false.
void writeIfSet(json_writer &writer, const char *key, bool value)
{
    if (value) {
        writeFlag(writer, key, true);
    }
}

void writeResources(json_writer &writer, const resources &amount)
{
    writeNumber(writer, "processors", amount.processors.value);
    writeNumber(writer, "memory", amount.memory.value);
    writeNumber(writer, "accelerators", amount.accelerator.value);
}

void writeStep(json_writer &writer, const job_step &step)
{
    writer.StartObject();
    writeNumber(writer, "count", step.count);
    writeResources(writer, step.need);
    writeNumber(writer, "estimate", step.estimate.count());
    if (!step.after.empty()) {
        writer.Key("after");
        writer.StartArray();
        for (const std::uint32_t earlier : step.after) {
            writer.Uint(earlier);
        }
        writer.EndArray();
    }
    writeIfSet(writer, "checkpointing", step.checkpointing);
    writeIfSet(writer, "gang", step.gang);
    writeIfSet(writer, "sameRack", step.sameRack);
    writeIfSet(writer, "speculative", step.speculative);
    if (!step.requiredLabel.empty()) {
        writeText(writer, "requiredLabel", step.requiredLabel);
    }
    if (!step.dataRack.empty()) {
        writeText(writer, "dataRack", step.dataRack);
    }
    if (step.maxPerWorker > 0) {
        writeNumber(writer, "maxPerWorker", step.maxPerWorker);
    }
    writer.EndObject();
}

void writePolicy(json_writer &writer, const queue_policy &policy)
{
    writeText(writer, "queue", policy.queue.value);
    writeText(writer, "service", policy.service.value);
    writeNumber(writer, "priority", policy.priority);
    writeNumber(writer, "maxAttempts", policy.maxAttempts);
    writer.Key("stretch");
    writer.Double(policy.stretch);
    writeNumber(writer, "targetLatency", policy.targetLatency.count());
    if (policy.advice) {
        writer.Key("advice");
        writer.StartArray();
        writer.Double(policy.advice->decide.count());
        writer.Double(policy.advice->perWorker.count());
        writer.Int64(policy.advice->valid.count());
        writer.EndArray();
    }
}

job_step readStep(const json_object &object)
{
    job_step step;
    step.count = static_cast<std::uint32_t>(object.number("count", 0));
    step.need = {millicores(object.number("processors", 0)),
                 mebibytes(object.number("memory", 0)),
                 accelerators(object.number("accelerators", 0))};
    step.estimate = milliseconds(object.number("estimate", 0));
    for (const rapidjson::Value &earlier : object.list("after")) {
        step.after.push_back(earlier.IsUint() ? earlier.GetUint() : 0);
    }
    step.checkpointing = object.flag("checkpointing");
    step.gang = object.flag("gang");
    step.sameRack = object.flag("sameRack");
    step.speculative = object.flag("speculative");
    step.requiredLabel = object.text("requiredLabel");
    step.dataRack = object.text("dataRack");
    step.maxPerWorker = static_cast<std::uint32_t>(object.number("maxPerWorker", 0));
    return step;
}

queue_policy readPolicy(const json_object &object)
{
    queue_policy policy;
    policy.queue.value = object.text("queue");
    policy.service.value = object.text("service");
    policy.priority = static_cast<int>(object.number("priority", 0));
    policy.maxAttempts = static_cast<std::uint32_t>(object.number("maxAttempts", 1));
    policy.stretch = object.real("stretch", 1.0);
    policy.targetLatency = milliseconds(object.number("targetLatency", 0));
    const auto advice = object.list("advice");
    constexpr std::size_t adviceFields = 3;
    if (advice.size() == adviceFields && advice[0].IsNumber() && advice[1].IsNumber() && advice[2].IsInt64()) {
        advice_timing timing;
        timing.decide = std::chrono::duration<double, std::milli>(advice[0].GetDouble());
        timing.perWorker = std::chrono::duration<double, std::milli>(advice[1].GetDouble());
        timing.valid = milliseconds(advice[2].GetInt64());
        policy.advice = timing;
    }
    return policy;
}

void writeTask(json_writer &writer, std::size_t position, const task_progress &task)
{
    writer.StartArray();
    writer.Uint64(position);
    writer.Uint(static_cast<unsigned>(task.phase));
    writer.Uint64(task.run.value);
    // Nothing depends on where a task ended successfully. The rows are a quarter of what a leader sends.
    const bool done = task.phase == task_phase::Done;
    writer.String(done ? std::string() : task.worker.value);
    writer.Int64(done ? 0 : task.incarnation.value);
    writer.Uint(task.failures);
    writer.String(task.checkpoint);
    writer.EndArray();
}

/// Reads one row of the task list. Returns false if it is malformed.
bool readTask(const rapidjson::Value &row, std::vector<task_progress> &tasks)
{
    constexpr rapidjson::SizeType fields = 7;
    if (!row.IsArray() || row.Size() != fields || !row[0].IsUint() || !row[1].IsUint() || !row[2].IsUint64()
        || !row[3].IsString() || !row[4].IsInt64() || !row[5].IsUint() || !row[6].IsString()) {
        return false;
    }
    const std::size_t position = row[0].GetUint();
    if (position >= maxTasks || row[1].GetUint() > static_cast<unsigned>(task_phase::Done)) {
        return false;
    }
    if (tasks.size() <= position) {
        tasks.resize(position + 1);
    }
    task_progress &task = tasks[position];
    task.phase = static_cast<task_phase>(row[1].GetUint());
    task.run.value = row[2].GetUint64();
    task.worker.value = row[3].GetString();
    task.incarnation.value = row[4].GetInt64();
    task.failures = row[5].GetUint();
    task.checkpoint.assign(row[6].GetString(), row[6].GetStringLength());
    return true;
}

/// Reads the need of runs that have not ended. An invalid amount reads as 0.
resources readUnended(const json_object &object)
{
    constexpr std::int64_t most = 1000000000000;
    return {millicores(object.boundedNumber("processors", 0, most).value_or(0)),
            mebibytes(object.boundedNumber("memory", 0, most).value_or(0)),
            accelerators(object.boundedNumber("accelerators", 0, most).value_or(0))};
}

result<job_phase> phaseOf(const json_object &object)
{
    const std::string name = object.text("state");
    const auto phase = phaseFromName(name);
    if (!phase) {
        return makeError(error_kind::InvalidInput, "job progress has an unknown state \"" + name + "\"");
    }
    return *phase;
}

} // namespace

std::string encodeAcceptedJob(const accepted_job &job)
{
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writeNumber(writer, "acceptedAt", job.acceptedAt.value);
    writePolicy(writer, job.policy);
    if (!job.organisation.value.empty()) {
        writeText(writer, "organisation", job.organisation.value);
    }
    if (job.payloadHolder) {
        writeText(writer, "payloadHolder", job.payloadHolder->value);
    } else {
        writeText(writer, "payload", job.job.payload);
    }
    writer.Key("steps");
    writer.StartArray();
    for (const job_step &step : job.job.steps) {
        writeStep(writer, step);
    }
    writer.EndArray();
    writer.EndObject();
    return writtenText(buffer);
}

result<accepted_job> decodeAcceptedJob(const job_key &key, std::string_view text)
{
    json_document document(text);
    const auto object = document.object();
    if (!object) {
        return makeError(error_kind::InvalidInput, "stored job " + key.value + " is not a JSON object");
    }
    accepted_job job;
    job.key = key;
    job.acceptedAt.value = object->number("acceptedAt", 0);
    job.policy = readPolicy(*object);
    job.organisation.value = object->text("organisation");
    job.job.payload = object->text("payload");
    if (object->find("payloadHolder") != nullptr) {
        job.payloadHolder = daemon_id(object->text("payloadHolder"));
    }
    for (const rapidjson::Value &step : object->list("steps")) {
        if (!step.IsObject()) {
            return makeError(error_kind::InvalidInput,
                             "stored job " + key.value + " has a step that is not a JSON object");
        }
        job.job.steps.push_back(readStep(json_object(step)));
    }
    const findings problems = checkSteppedJob(job.job);
    if (!problems.empty()) {
        return makeError(error_kind::InvalidInput, "stored job " + key.value + ": " + formatFinding(problems.front()));
    }
    return job;
}

std::string encodeProgress(const job_progress &progress)
{
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writeText(writer, "state", phaseName(progress.phase));
    if (isFinal(progress.phase)) {
        writeNumber(writer, "ended", progress.ended.value);
        if (progress.unended != resources()) {
            writeText(writer, "organisation", progress.organisation.value);
            writeResources(writer, progress.unended);
        }
    } else {
        writer.Key("tasks");
        writer.StartArray();
        for (std::size_t position = 0; position < progress.tasks.size(); ++position) {
            if (progress.tasks[position].run.value > 0) {
                writeTask(writer, position, progress.tasks[position]);
            }
        }
        writer.EndArray();
    }
    writer.EndObject();
    return writtenText(buffer);
}

result<job_progress> decodeProgress(std::string_view text)
{
    json_document document(text);
    const auto object = document.object();
    if (!object) {
        return makeError(error_kind::InvalidInput, "job progress is not a JSON object");
    }
    const auto phase = phaseOf(*object);
    if (!phase) {
        return phase.error();
    }
    job_progress progress;
    progress.phase = phase.value();
    progress.ended.value = object->number("ended", 0);
    progress.organisation.value = object->text("organisation");
    progress.unended = readUnended(*object);
    for (const rapidjson::Value &row : object->list("tasks")) {
        if (!readTask(row, progress.tasks)) {
            return makeError(error_kind::InvalidInput, "job progress has a malformed row in \"tasks\"");
        }
    }
    return progress;
}

result<job_phase> decodePhase(std::string_view text)
{
    json_document document(text);
    const auto object = document.object();
    if (!object) {
        return makeError(error_kind::InvalidInput, "job progress is not a JSON object");
    }
    return phaseOf(*object);
}

namespace {

/// Member of the load with the backlogs of the pools. No queue has an empty name.
constexpr const char *poolsMember = "";

void writePools(json_writer &writer, const std::map<service_id, pool_backlog> &pools)
{
    writer.StartObject();
    for (const auto &[service, pool] : pools) {
        writer.Key(service.value.c_str());
        writer.StartArray();
        writer.Int64(pool.processors.value);
        for (const backlog_row &row : pool.rows) {
            writer.Int(row.priority);
            writer.Uint(row.sizeClass);
            writer.Int64(row.inTime);
            writer.Int64(row.late);
        }
        writer.EndArray();
    }
    writer.EndObject();
}

bool readQueueLoad(const rapidjson::Value &row, queue_load &queue)
{
    constexpr rapidjson::SizeType fields = 3;
    if (!row.IsArray() || row.Size() < fields || row.Size() > fields + 1 || !row[0].IsUint64() || !row[1].IsBool()
        || !row[2].IsInt64() || (row.Size() > fields && !row[3].IsUint())) {
        return false;
    }
    queue.pending = row[0].GetUint64();
    queue.refusing = row[1].GetBool();
    queue.retryAfter = milliseconds(row[2].GetInt64());
    queue.durationPercent = row.Size() > fields ? row[3].GetUint() : 0;
    return true;
}

bool readPool(const rapidjson::Value &list, pool_backlog &pool)
{
    constexpr rapidjson::SizeType fields = 4;
    // Sums of all rows stay far from overflow: 10^15 core-milliseconds are 30 years of 1,000 cores.
    constexpr std::int64_t largest = 1000000000000000;
    const auto isAmount = [](const rapidjson::Value &field) {
        return field.IsInt64() && field.GetInt64() >= 0 && field.GetInt64() <= largest;
    };
    if (!list.IsArray() || list.Size() % fields != 1 || !std::all_of(list.Begin(), list.End(), isAmount)) {
        return false;
    }
    pool.processors.value = list[0].GetInt64();
    for (rapidjson::SizeType at = 1; at < list.Size(); at += fields) {
        if (!list[at].IsInt() || !list[at + 1].IsUint()) {
            return false;
        }
        pool.rows.push_back(
            {list[at].GetInt(), list[at + 1].GetUint(), list[at + 2].GetInt64(), list[at + 3].GetInt64()});
    }
    return true;
}

bool readPools(const rapidjson::Value &pools, cell_load &load)
{
    if (!pools.IsObject()) {
        return false;
    }
    const auto members = pools.GetObject();
    return std::all_of(members.begin(), members.end(), [&load](const auto &member) {
        return readPool(member.value, load.pools[service_id(member.name.GetString())]);
    });
}

} // namespace

std::string encodeLoad(const cell_load &load)
{
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    if (!load.pools.empty()) {
        writer.Key(poolsMember);
        writePools(writer, load.pools);
    }
    for (const auto &[queue, state] : load.queues) {
        writer.Key(queue.value.c_str());
        writer.StartArray();
        writer.Uint64(state.pending);
        writer.Bool(state.refusing);
        writer.Int64(state.retryAfter.count());
        if (state.durationPercent > 0) {
            writer.Uint(state.durationPercent);
        }
        writer.EndArray();
    }
    writer.EndObject();
    return writtenText(buffer);
}

result<cell_load> decodeLoad(std::string_view text)
{
    json_document document(text);
    const auto object = document.object();
    if (!object) {
        return makeError(error_kind::InvalidInput, "cell load is not a JSON object");
    }
    cell_load load;
    for (const auto &member : object->members()) {
        const bool isPools = member.name == poolsMember;
        const bool valid = isPools ? readPools(member.value, load)
                                   : readQueueLoad(member.value, load.queues[queue_id(member.name.GetString())]);
        if (!valid) {
            return makeError(error_kind::InvalidInput,
                             isPools ? "cell load has a malformed backlog of a pool"
                                     : "cell load has a malformed row for a queue");
        }
    }
    return load;
}

} // namespace sesamespar
