// Encoding and decoding preserves every message. Guards against a field that one encoding omits, swaps or truncates,
// such as a lease length or a revision.
#include "connection/codec.h"
#include "message_generator.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

/// Checks that random messages of one type keep their content over a round trip.
template<typename Message, typename RoundTrip>
void checkRoundTrip(RoundTrip roundTrip)
{
    CHECK(rc::check([&] {
        const auto message = randomMessage<Message>();
        const auto decoded = roundTrip(message);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(sameContent(message, decoded.value()));
    }));
}

/// A request of the same alternative as the reply.
worker_request requestFor(const worker_reply &reply)
{
    worker_request request;
    switch (reply.index()) {
    case 1:
        request = snapshot_request{};
        break;
    case 2:
        request = write_records_request{};
        break;
    case 3:
        request = commands_request{};
        break;
    default:
        break;
    }
    return request;
}

std::string randomBytes()
{
    const auto bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    return {bytes.begin(), bytes.end()};
}

std::string randomKey()
{
    return randomText(storeKeyBytes, true);
}

} // namespace

TEST_CASE("messages between daemons keep their content")
{
    checkRoundTrip<peer_message>([](const auto &message) { return decodePeerMessage(encodePeerMessage(message)); });
}

TEST_CASE("archive segments keep their content")
{
    checkRoundTrip<std::vector<job_record>>([](const auto &records) { return decodeRecords(encodeRecords(records)); });
}

TEST_CASE("calls to workers keep their content")
{
    checkRoundTrip<worker_request>([](const auto &request) {
        return decodeWorkerRequest(workerRequestPath(request), encodeWorkerRequest(request));
    });
}

TEST_CASE("answers of workers keep their content")
{
    checkRoundTrip<worker_reply>(
        [](const auto &reply) { return decodeWorkerReply(requestFor(reply), encodeWorkerReply(reply)); });
}

TEST_CASE("job requests and answers keep their content")
{
    checkRoundTrip<submit_request>(
        [](const auto &request) { return decodeSubmitRequest(encodeSubmitRequest(request)); });
    checkRoundTrip<job_answer>([](const auto &answer) { return decodeJobAnswer(encodeJobAnswer(answer)); });
}

TEST_CASE("VM lists keep their content")
{
    checkRoundTrip<vm_list>([](const auto &list) { return decodeVmList(encodeVmList(list)); });
}

TEST_CASE("calls to the store keep their content")
{
    CHECK(rc::check([] {
        const store_put put{randomKey(), randomBytes(), store_revision(randomNumber(any64))};
        const auto decoded = decodeStoreRequest(encodeStoreRequest(put));
        RC_ASSERT(decoded.has_value());
        const auto &restored = std::get<store_put>(decoded.value());
        RC_ASSERT(restored.key == put.key && restored.value == put.value && restored.expected == put.expected);
    }));
    CHECK(rc::check([] {
        const store_watch watch{randomKey(), store_revision(randomNumber(any64)), milliseconds(30000)};
        const auto decoded = decodeStoreRequest(encodeStoreRequest(watch));
        RC_ASSERT(decoded.has_value());
        const auto &restored = std::get<store_watch>(decoded.value());
        RC_ASSERT(restored.key == watch.key && restored.after == watch.after && restored.wait == watch.wait);
    }));
    CHECK(rc::check([] {
        const store_list list{randomKey(), randomText(optionalName, true)};
        const auto decoded = decodeStoreRequest(encodeStoreRequest(list));
        RC_ASSERT(decoded.has_value());
        const auto &restored = std::get<store_list>(decoded.value());
        RC_ASSERT(restored.prefix == list.prefix && restored.after == list.after);
    }));
    CHECK(rc::check([] {
        const store_get get{randomKey()};
        const auto decoded = decodeStoreRequest(encodeStoreRequest(get));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(std::get<store_get>(decoded.value()).key == get.key);
    }));
    CHECK(std::holds_alternative<store_vm_list>(decodeStoreRequest(encodeStoreRequest(store_vm_list{})).value()));
}

TEST_CASE("answers of the store keep their content")
{
    CHECK(rc::check([] {
        const store_value value{randomBytes(), store_revision(randomNumber(any64))};
        const auto decoded = decodeStoreReply(store_get{}, encodeStoreReply(value));
        RC_ASSERT(decoded.has_value());
        const auto &restored = std::get<store_value>(decoded.value());
        RC_ASSERT(restored.value == value.value && restored.revision == value.revision);
    }));
    CHECK(rc::check([] {
        const auto reply = randomMessage<store_put_reply>();
        const auto decoded = decodeStoreReply(store_put{}, encodeStoreReply(reply));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(sameContent(reply, std::get<store_put_reply>(decoded.value())));
    }));
    CHECK(rc::check([] {
        const auto reply = randomMessage<store_keys>();
        const auto decoded = decodeStoreReply(store_list{}, encodeStoreReply(reply));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(sameContent(reply, std::get<store_keys>(decoded.value())));
    }));
}

TEST_CASE("the error of a malformed job request names the field")
{
    const std::string requestStart = R"({"team":"t","key":"k","work":"w","expires":1)";
    CHECK(decodeSubmitRequest(requestStart + "}").has_value());
    const auto problem = [&](const std::string &rest) {
        return decodeSubmitRequest(requestStart + rest + "}").error().message;
    };
    CHECK(problem(R"(,"wait_ms":60001)") == "wait_ms: must be from 0 to 60000");
    CHECK(problem(R"(,"tasks":-1)") == "tasks: must be a whole number and not negative");
    CHECK(problem(R"(,"payload":7)") == "payload: must be a string");
    CHECK(problem(R"(,"wait":1)") == "wait: is not a known field");
    CHECK(problem(R"(,"key":"other")") == "key: occurs twice");
    CHECK(decodeSubmitRequest(R"({"team":"t"})").error().message == "key: is missing");
}
