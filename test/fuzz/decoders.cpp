// No input makes a decoder crash, throw, hang or allocate much memory, and an accepted message can be encoded and
// decoded again. Guards against a peer, worker or caller that crashes a daemon with one message. The seed fixes the
// cases.
#include "connection/codec.h"
#include "connection/front_end_routes.h"
#include "connection/http_head.h"
#include "message_generator.h"

#include <catch2/catch.hpp>
#include <random>

using namespace sesamespar;

namespace {

constexpr int mutationsOfMessage = 40;
constexpr int randomInputs = 20000;

/// Runs all decoders on the bytes. Each must return, whether or not it accepts them.
void decodeAll(const std::string &bytes)
{
    if (const auto message = decodePeerMessage(bytes)) {
        CHECK(decodePeerMessage(encodePeerMessage(message.value())).has_value());
    }
    if (const auto records = decodeRecords(bytes)) {
        CHECK(decodeRecords(encodeRecords(records.value())).has_value());
    }
    if (const auto submit = decodeSubmitRequest(bytes)) {
        CHECK(decodeSubmitRequest(encodeSubmitRequest(submit.value())).has_value());
    }
    static_cast<void>(decodeJobAnswer(bytes));
    static_cast<void>(decodeVmList(bytes));
    for (const worker_request &request : {worker_request(control_request{}),
                                          worker_request(snapshot_request{}),
                                          worker_request(write_records_request{}),
                                          worker_request(commands_request{})}) {
        static_cast<void>(decodeWorkerRequest(workerRequestPath(request), bytes));
        static_cast<void>(decodeWorkerReply(request, bytes));
    }
    for (const store_request &request : {store_request(store_get{}),
                                         store_request(store_put{}),
                                         store_request(store_list{}),
                                         store_request(store_vm_list{})}) {
        static_cast<void>(decodeStoreReply(request, bytes));
    }
    static_cast<void>(decodeStoreRequest({"GET", bytes, {}}));
    static_cast<void>(decodeStoreRequest({"PUT", "/v1/kv/k?expected=1", bytes}));
    static_cast<void>(routeRequest({"GET", bytes, {}}));
    static_cast<void>(routeRequest({"POST", "/v1/jobs", bytes}));
    static_cast<void>(parseRequestHead(bytes, 1000));
    static_cast<void>(parseResponseHead(bytes));
}

/// Changes, removes, inserts, repeats or cuts off bytes at one to four offsets.
std::string mutate(std::string bytes, std::mt19937_64 &random)
{
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t change = 0; change < changes && !bytes.empty(); ++change) {
        const std::size_t offset = random() % bytes.size();
        switch (random() % 5) {
        case 0:
            bytes[offset] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(offset, 1 + random() % 8);
            break;
        case 2:
            bytes.insert(offset, 1 + random() % 8, static_cast<char>(random()));
            break;
        case 3:
            bytes.insert(offset, bytes.substr(offset, 1 + random() % 32));
            break;
        default:
            bytes.resize(offset);
            break;
        }
    }
    return bytes;
}

template<typename Message, typename Encode>
void fuzzAround(Encode encode)
{
    CHECK(rc::check([&] {
        const std::string encoded = encode(randomMessage<Message>());
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        for (int index = 0; index < mutationsOfMessage; ++index) {
            decodeAll(mutate(encoded, random));
        }
    }));
}

std::string repeat(const std::string &part, std::size_t count)
{
    std::string repeated;
    for (std::size_t index = 0; index < count; ++index) {
        repeated += part;
    }
    return repeated;
}

} // namespace

TEST_CASE("decoders survive messages with a few changed bytes")
{
    fuzzAround<peer_message>(encodePeerMessage);
    fuzzAround<std::vector<job_record>>(encodeRecords);
    fuzzAround<worker_request>(encodeWorkerRequest);
    fuzzAround<worker_reply>(encodeWorkerReply);
    fuzzAround<submit_request>(encodeSubmitRequest);
    fuzzAround<job_answer>(encodeJobAnswer);
    fuzzAround<vm_list>(encodeVmList);
}

TEST_CASE("a truncated message is refused at every length")
{
    CHECK(rc::check([] {
        const std::string message = encodePeerMessage(randomMessage<peer_message>());
        for (std::size_t length = 0; length < message.size(); ++length) {
            RC_ASSERT(decodePeerMessage(std::string_view(message).substr(0, length)).has_error());
        }
        RC_ASSERT(decodePeerMessage(message + 'x').has_error());
    }));
    CHECK(rc::check([] {
        const std::string message = encodeSubmitRequest(randomMessage<submit_request>());
        for (std::size_t length = 0; length < message.size(); ++length) {
            RC_ASSERT(decodeSubmitRequest(std::string_view(message).substr(0, length)).has_error());
        }
    }));
}

TEST_CASE("decoders survive random bytes and random JSON characters")
{
    std::mt19937_64 random(20261204);
    const std::string json = "{}[]\",:0123456789.eE+-truefalsn\\u \n";
    for (int index = 0; index < randomInputs; ++index) {
        std::string bytes(random() % 64, '\0');
        for (char &byte : bytes) {
            byte = index % 2 == 0 ? static_cast<char>(random()) : json[random() % json.size()];
        }
        decodeAll(bytes);
    }
}

TEST_CASE("decoders survive deep nesting")
{
    for (const std::size_t depth : {1U, 16U, 17U, 127U, 128U, 129U, 1000000U}) {
        decodeAll(repeat("[", depth));
        decodeAll(repeat("[", depth) + repeat("]", depth));
        decodeAll(repeat("{\"a\":", depth));
        decodeAll(repeat("\x91", depth) + '\x01');
        decodeAll(repeat("\x92", depth));
        decodeAll(repeat("\x81", depth));
    }
}

TEST_CASE("lengths beyond the input and numbers outside their range are refused")
{
    // Headers of lists, maps, strings, binaries and extensions that declare up to 4 GiB in a few bytes.
    for (const std::string header : {"\xDD\xFF\xFF\xFF\xFF",
                                     "\xDF\xFF\xFF\xFF\xFF",
                                     "\xDB\xFF\xFF\xFF\xFF",
                                     "\xC6\xFF\xFF\xFF\xFF",
                                     "\xC9\xFF\xFF\xFF\xFF",
                                     "\xDC\xFF\xFF",
                                     "\xDE\xFF\xFF"}) {
        decodeAll(header);
        decodeAll("\x92\x01" + header);
        decodeAll(repeat("\x92\x01" + header, 1000));
        CHECK(decodePeerMessage("\x92\x01" + header).has_error());
    }
    const std::string start = R"({"team":"t","key":"k","work":"w","expires":)";
    for (const std::string number : {"-1",
                                     "1e999",
                                     "1e3",
                                     "1.5",
                                     "99999999999999999999",
                                     "253402300800000",
                                     "null",
                                     "true",
                                     "\"1\"",
                                     "[]",
                                     "{}",
                                     "0x1"}) {
        CAPTURE(number);
        CHECK(decodeSubmitRequest(start + number + "}").has_error());
    }
    // The JSON library accepts a leading zero, which the JSON standard does not allow.
    CHECK(decodeSubmitRequest(start + "01}").value().job.expires == utc_time(1));
    CHECK(decodeSubmitRequest(start + "-0}").value().job.expires == utc_time(0));
    const std::string prefix = start + "1,\"payload\":\"";
    CHECK(decodeSubmitRequest(prefix + std::string(maxPayloadBytes, 'p') + "\"}").has_value());
    CHECK(decodeSubmitRequest(prefix + std::string(maxPayloadBytes + 1, 'p') + "\"}").has_error());
}

TEST_CASE("invalid UTF-8 and invalid escapes are refused")
{
    const std::string start = R"({"team":"t","key":"k","work":"w","expires":1,"payload":")";
    for (const std::string text : {"\xFF",
                                   "\xC0\x80",
                                   "\xED\xA0\x80",
                                   "\xF4\x90\x80\x80",
                                   "\xE2\x82",
                                   "\\ud800",
                                   "\\udc00x",
                                   "\\u12",
                                   "\\x",
                                   "\n"}) {
        CAPTURE(text);
        CHECK(decodeSubmitRequest(start + text + "\"}").has_error());
    }
    peer_message message{daemon_id("a"), incarnation_id(1), config_push{config_version(1), "\xFF"}};
    CHECK(decodePeerMessage(encodePeerMessage(message)).has_error());
}

TEST_CASE("the error for another protocol version names both versions")
{
    std::string message = encodePeerMessage({daemon_id("a"), incarnation_id(1), roster_request{}});
    REQUIRE(message[1] == 1);
    message[1] = 2;
    const auto decoded = decodePeerMessage(message);
    REQUIRE(decoded.has_error());
    CHECK(decoded.error().message == "protocol version is 2, not 1");
}
