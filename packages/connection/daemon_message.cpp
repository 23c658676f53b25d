#include "connection/daemon_message.h"

#include "connection/json_reader.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>

namespace sesamespar {

namespace {

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// Names of the messages, in the order of the variant.
constexpr std::array<const char *, 4> messageTypes{
    "advice_question", "advice_answer", "status_question", "status_answer"};

void writeMessage(json_writer &writer, const hand_question &message)
{
    writer.Key("answerTo");
    writer.String(message.answerTo.value);
    writer.Key("limit");
    writer.Int64(message.limit.count());
    writer.Key("job");
    writer.String(message.question.step.job.value);
    writer.Key("step");
    writer.Uint(message.question.step.step);
    writer.Key("workers");
    writer.StartArray();
    for (const worker_id &worker : message.question.workers) {
        writer.String(worker.value);
    }
    writer.EndArray();
}

void writeMessage(json_writer &writer, const hand_answer &message)
{
    writer.Key("problem");
    writer.String(message.problem);
    writer.Key("good");
    writer.StartArray();
    for (const advised_worker &good : message.answer.good) {
        writer.String(good.worker.value);
        writer.String(good.ticket.value);
    }
    writer.EndArray();
}

void writeMessage(json_writer &writer, const status_question &message)
{
    writer.Key("answerTo");
    writer.String(message.answerTo.value);
    writer.Key("job");
    writer.String(message.job.value);
}

void writeMessage(json_writer &writer, const status_answer &message)
{
    if (message.phase) {
        writer.Key("state");
        writer.String(phaseName(*message.phase));
    }
}

hand_question readQuestion(const json_object &object, correlation_id correlation)
{
    hand_question message;
    message.correlation = correlation;
    message.answerTo.value = object.text("answerTo");
    message.limit = milliseconds(object.number("limit", 0));
    message.question.step.job.value = object.text("job");
    message.question.step.step = static_cast<std::uint32_t>(object.number("step", 0));
    for (const rapidjson::Value &worker : object.list("workers")) {
        if (worker.IsString()) {
            message.question.workers.emplace_back(worker.GetString());
        }
    }
    return message;
}

hand_answer readAnswer(const json_object &object, correlation_id correlation)
{
    hand_answer message;
    message.correlation = correlation;
    message.problem = object.text("problem");
    const auto good = object.list("good");
    for (std::size_t index = 0; index + 1 < good.size(); index += 2) {
        if (good[index].IsString() && good[index + 1].IsString()) {
            message.answer.good.push_back(
                {worker_id(good[index].GetString()), advice_ticket(good[index + 1].GetString())});
        }
    }
    return message;
}

status_question readStatusQuestion(const json_object &object, correlation_id correlation)
{
    return {correlation, address(object.text("answerTo")), job_key(object.text("job"))};
}

status_answer readStatusAnswer(const json_object &object, correlation_id correlation)
{
    return {correlation, phaseOfName(object.text("state"))};
}

} // namespace

std::string encodeDaemonMessage(const daemon_message &message)
{
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writer.Key("type");
    writer.String(messageTypes.at(message.index()));
    writer.Key("correlation");
    writer.Uint64(std::visit([](const auto &single) { return single.correlation.value; }, message));
    std::visit([&writer](const auto &single) { writeMessage(writer, single); }, message);
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

result<daemon_message> decodeDaemonMessage(std::string_view bytes)
{
    json_document document(bytes);
    const auto object = document.object();
    if (!object || object->find("correlation") == nullptr) {
        return makeError(error_kind::InvalidInput, "message between daemons is not an object with a correlation");
    }
    const correlation_id correlation(static_cast<std::uint64_t>(object->number("correlation", 0)));
    const std::string type = object->text("type");
    if (type == messageTypes[0]) {
        return daemon_message(readQuestion(*object, correlation));
    }
    if (type == messageTypes[1]) {
        return daemon_message(readAnswer(*object, correlation));
    }
    if (type == messageTypes[2]) {
        return daemon_message(readStatusQuestion(*object, correlation));
    }
    if (type == messageTypes[3]) {
        return daemon_message(readStatusAnswer(*object, correlation));
    }
    return makeError(error_kind::InvalidInput, "message between daemons of unknown type \"" + type + "\"");
}

} // namespace sesamespar
