#include "connection/daemon_message.h"

#include "connection/json_reader.h"
#include "connection/json_writer.h"
#include "connection/worker_call_codec.h"

#include <algorithm>
#include <array>

namespace sesamespar {

namespace {

constexpr std::array<const char *, 3> relayResults{"stored", "refused", "unknown"};

void writeCorrelation(json_writer &writer, correlation_id correlation)
{
    writeNumber(writer, "correlation", correlation.value);
}

void writeMessage(json_writer &writer, const advice_proxy_request &message)
{
    writeCorrelation(writer, message.correlation);
    writeText(writer, "answerTo", message.answerTo.value);
    writeNumber(writer, "limit", message.limit.count());
    writeText(writer, "job", message.request.step.job.value);
    writeNumber(writer, "step", message.request.step.step);
    writer.Key("workers");
    writer.StartArray();
    for (const worker_id &worker : message.request.workers) {
        writer.String(worker.value);
    }
    writer.EndArray();
}

void writeMessage(json_writer &writer, const advice_proxy_response &message)
{
    writeCorrelation(writer, message.correlation);
    writeText(writer, "problem", message.problem);
    writeNumber(writer, "advisorTime", message.advisorTime.count());
    writer.Key("good");
    writer.StartArray();
    for (const advised_worker &advised : message.answer.suitable) {
        writer.String(advised.worker.value);
        writer.String(advised.ticket.value);
    }
    writer.EndArray();
}

void writeMessage(json_writer &writer, const status_query &message)
{
    writeCorrelation(writer, message.correlation);
    writeText(writer, "answerTo", message.answerTo.value);
    writeText(writer, "job", message.job.value);
}

void writeMessage(json_writer &writer, const status_reply &message)
{
    writeCorrelation(writer, message.correlation);
    if (message.phase) {
        writeText(writer, "state", phaseName(*message.phase));
    }
}

void writeMessage(json_writer &writer, const relay_probe &message)
{
    writeText(writer, "answerTo", message.answerTo.value);
}

void writeMessage(json_writer &writer, const relay_offer &message)
{
    writeText(writer, "from", message.from.value);
    writeFlag(writer, "usable", message.usable);
}

void writeMessage(json_writer &writer, const relayed_job &message)
{
    writeCorrelation(writer, message.correlation);
    writeText(writer, "answerTo", message.answerTo.value);
    writeNumber(writer, "limit", message.limit.count());
    writeText(writer, "key", message.key.value);
    writeText(writer, "job", message.job);
}

void writeMessage(json_writer &writer, const relay_outcome &message)
{
    writeCorrelation(writer, message.correlation);
    writeText(writer, "result", relayResults.at(static_cast<std::size_t>(message.result)));
}

void writeMessage(json_writer &writer, const worker_call_batch &message)
{
    writeCallBatch(writer, message);
}

void writeMessage(json_writer &writer, const worker_outcome_batch &message)
{
    writeOutcomeBatch(writer, message);
}

void writeMessage(json_writer &writer, const accepted_jobs &message)
{
    writer.Key("jobs");
    writer.StartArray();
    for (const stored_job_notice &notice : message.jobs) {
        writer.StartObject();
        writeText(writer, "key", notice.key.value);
        writeNumber(writer, "revision", notice.revision.value);
        writeText(writer, "job", notice.job);
        writer.EndObject();
    }
    writer.EndArray();
}

void writeMessage(json_writer &writer, const payload_request &message)
{
    writeText(writer, "job", message.job.value);
    writeText(writer, "answerTo", message.answerTo.value);
}

void writeMessage(json_writer &writer, const payload_reply &message)
{
    writeText(writer, "job", message.job.value);
    writeFlag(writer, "known", message.known);
    writeText(writer, "payload", message.payload);
}

correlation_id correlationOf(const json_object &object)
{
    return correlation_id(static_cast<std::uint64_t>(object.number("correlation", 0)));
}

daemon_message readAdviceProxyRequest(const json_object &object)
{
    advice_proxy_request message;
    message.correlation = correlationOf(object);
    message.answerTo.value = object.text("answerTo");
    message.limit = milliseconds(object.number("limit", 0));
    message.request.step.job.value = object.text("job");
    message.request.step.step = static_cast<std::uint32_t>(object.number("step", 0));
    for (const rapidjson::Value &worker : object.list("workers")) {
        if (worker.IsString()) {
            message.request.workers.emplace_back(worker.GetString());
        }
    }
    return message;
}

daemon_message readAdviceProxyResponse(const json_object &object)
{
    advice_proxy_response message;
    message.correlation = correlationOf(object);
    message.problem = object.text("problem");
    message.advisorTime = milliseconds(object.number("advisorTime", 0));
    const auto workers = object.list("good");
    for (std::size_t index = 0; index + 1 < workers.size(); index += 2) {
        if (workers[index].IsString() && workers[index + 1].IsString()) {
            message.answer.suitable.push_back(
                {worker_id(workers[index].GetString()), advice_ticket(workers[index + 1].GetString())});
        }
    }
    return message;
}

daemon_message readStatusQuery(const json_object &object)
{
    return status_query{correlationOf(object), address(object.text("answerTo")), job_key(object.text("job"))};
}

daemon_message readStatusReply(const json_object &object)
{
    return status_reply{correlationOf(object), phaseFromName(object.text("state"))};
}

daemon_message readProbe(const json_object &object)
{
    return relay_probe{address(object.text("answerTo"))};
}

daemon_message readOffer(const json_object &object)
{
    return relay_offer{address(object.text("from")), object.flag("usable")};
}

daemon_message readRelayedJob(const json_object &object)
{
    return relayed_job{correlationOf(object),
                       address(object.text("answerTo")),
                       milliseconds(object.number("limit", 0)),
                       job_key(object.text("key")),
                       object.text("job")};
}

daemon_message readOutcome(const json_object &object)
{
    const auto found = std::find(relayResults.begin(), relayResults.end(), object.text("result"));
    const bool known = found != relayResults.end();
    return relay_outcome{correlationOf(object),
                         known ? static_cast<relay_result>(found - relayResults.begin()) : relay_result::Unknown};
}

daemon_message readCalls(const json_object &object)
{
    return readCallBatch(object);
}

daemon_message readOutcomes(const json_object &object)
{
    return readOutcomeBatch(object);
}

daemon_message readAcceptedJobs(const json_object &object)
{
    accepted_jobs message;
    for (const rapidjson::Value &entry : object.list("jobs")) {
        if (entry.IsObject()) {
            const json_object notice(entry);
            const auto revision = static_cast<std::uint64_t>(notice.number("revision", 0));
            message.jobs.push_back({job_key(notice.text("key")), store_revision(revision), notice.text("job")});
        }
    }
    return message;
}

daemon_message readPayloadRequest(const json_object &object)
{
    return payload_request{job_key(object.text("job")), address(object.text("answerTo"))};
}

daemon_message readPayloadReply(const json_object &object)
{
    return payload_reply{job_key(object.text("job")), object.flag("known"), object.text("payload")};
}

/// Name of a message type on the wire and its decoder.
struct message_type {
    const char *name;
    daemon_message (*read)(const json_object &object);
};

/// In the order of the alternatives of daemon_message.
constexpr std::array<message_type, std::variant_size_v<daemon_message>> messageTypes{{
    {"advice_question", readAdviceProxyRequest},
    {"advice_answer", readAdviceProxyResponse},
    {"status_question", readStatusQuery},
    {"status_answer", readStatusReply},
    {"relay_probe", readProbe},
    {"relay_offer", readOffer},
    {"relayed_job", readRelayedJob},
    {"relay_outcome", readOutcome},
    {"worker_calls", readCalls},
    {"worker_outcomes", readOutcomes},
    {"accepted_jobs", readAcceptedJobs},
    {"payload_request", readPayloadRequest},
    {"payload_reply", readPayloadReply},
}};

} // namespace

std::string encodeDaemonMessage(const daemon_message &message)
{
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writeText(writer, "type", messageTypes.at(message.index()).name);
    std::visit([&writer](const auto &single) { writeMessage(writer, single); }, message);
    writer.EndObject();
    return writtenText(buffer);
}

result<daemon_message> decodeDaemonMessage(std::string_view bytes)
{
    json_document document(bytes);
    const auto object = document.object();
    if (!object) {
        return makeError(error_kind::InvalidInput, "message between daemons is not a JSON object");
    }
    const std::string type = object->text("type");
    const auto found = std::find_if(
        messageTypes.begin(), messageTypes.end(), [&type](const message_type &known) { return type == known.name; });
    if (found == messageTypes.end()) {
        return makeError(error_kind::InvalidInput, "message between daemons of unknown type \"" + type + "\"");
    }
    return found->read(*object);
}

} // namespace sesamespar
