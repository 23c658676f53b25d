#include "connection/hand_message.h"

#include "connection/json_reader.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace sesamespar {

namespace {

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

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

} // namespace

std::string encodeHandMessage(const hand_message &message)
{
    rapidjson::StringBuffer buffer;
    json_writer writer(buffer);
    writer.StartObject();
    writer.Key("correlation");
    writer.Uint64(std::visit([](const auto &single) { return single.correlation.value; }, message));
    std::visit([&writer](const auto &single) { writeMessage(writer, single); }, message);
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

result<hand_message> decodeHandMessage(std::string_view bytes)
{
    json_document document(bytes);
    const auto object = document.object();
    if (!object || object->find("correlation") == nullptr) {
        return makeError(error_kind::InvalidInput, "message between daemons is not an object with a correlation");
    }
    const correlation_id correlation(static_cast<std::uint64_t>(object->number("correlation", 0)));
    if (object->find("workers") != nullptr) {
        return hand_message(readQuestion(*object, correlation));
    }
    return hand_message(readAnswer(*object, correlation));
}

} // namespace sesamespar
