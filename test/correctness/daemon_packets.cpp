// Encoding and compression of the messages between daemons. Guards against calls and outcomes that change on the way,
// and against a malformed packet that ends the daemon or exhausts its memory.
#include "connection/daemon_message.h"
#include "connection/packet_compression.h"

#include <catch2/catch.hpp>
#include <random>

using namespace sesamespar;

namespace {

const run_task task{job_key("00000000000000ab"), 2, 17};

worker_call_batch makeCalls()
{
    worker_call_batch batch;
    batch.answerTo.value = "10.0.0.1:80";
    batch.fence.value = 18446744073709551615ULL;
    batch.permission = executor_permission{incarnation_id(18446744073709551615ULL), milliseconds(123456)};
    start_order start{task,
                      run_number(3),
                      "pay\"load",
                      std::nullopt,
                      "check",
                      advice_ticket("ticket"),
                      milliseconds(77),
                      batch.fence};
    batch.calls.push_back({call_number(1), {worker_id("w1"), address("10.0.0.2:80")}, milliseconds(400), start});
    start_order plain{task, run_number(4), "", address("10.0.0.9:1"), "", std::nullopt, std::nullopt, batch.fence};
    batch.calls.push_back({call_number(2), {worker_id("w1"), address("10.0.0.2:80")}, milliseconds(400), plain});
    batch.calls.push_back({call_number(3),
                           {worker_id("w2"), address("10.0.0.3:80")},
                           milliseconds(400),
                           stop_order{task, run_number(5), batch.fence}});
    worker_poll poll{batch.fence, end_number(9), milliseconds(88), milliseconds(1000), connection_number(10)};
    batch.calls.push_back({call_number(4), {worker_id("w3"), address("10.0.0.4:80")}, milliseconds(1600), poll});
    return batch;
}

worker_report makeReport()
{
    worker_report report;
    report.workerClock = milliseconds(5000);
    report.incarnation.value = 1700000000123;
    report.running.push_back({task, run_number(3), "check", 41});
    report.running.push_back({task, run_number(4), "", std::nullopt});
    report.ended.push_back({end_number(7), task, run_number(2), run_end::GangMemberEnded, "point"});
    report.complete = false;
    report.connection = connection_number(11);
    return report;
}

template<typename Result>
void addOutcome(worker_outcome_batch &batch, std::uint64_t number, const Result &result)
{
    batch.outcomes.emplace_back();
    batch.outcomes.back().number.value = number;
    batch.outcomes.back().result = result;
}

template<typename Message>
Message passOn(const Message &message)
{
    const auto text = unpackText(packText(encodeDaemonMessage(message)));
    REQUIRE(text);
    const auto decoded = decodeDaemonMessage(text.value());
    REQUIRE(decoded);
    return std::get<Message>(decoded.value());
}

} // namespace

TEST_CASE("calls to workers arrive as they were sent")
{
    const worker_call_batch sent = makeCalls();
    const worker_call_batch arrived = passOn(sent);
    CHECK(arrived.answerTo == sent.answerTo);
    CHECK(arrived.fence == sent.fence);
    REQUIRE(arrived.permission);
    CHECK(arrived.permission->process == sent.permission->process);
    CHECK(arrived.permission->issuedAt == sent.permission->issuedAt);
    REQUIRE(arrived.calls.size() == sent.calls.size());
    for (std::size_t index = 0; index < sent.calls.size(); ++index) {
        CHECK(arrived.calls[index].number == sent.calls[index].number);
        CHECK(arrived.calls[index].target.worker == sent.calls[index].target.worker);
        CHECK(arrived.calls[index].target.at == sent.calls[index].target.at);
        CHECK(arrived.calls[index].limit == sent.calls[index].limit);
        CHECK(arrived.calls[index].order.index() == sent.calls[index].order.index());
    }
    const auto &start = std::get<start_order>(arrived.calls[0].order);
    CHECK(start.task == task);
    CHECK(start.run == run_number(3));
    CHECK(start.payload == "pay\"load");
    CHECK(start.checkpoint == "check");
    CHECK(start.ticket == advice_ticket("ticket"));
    CHECK(start.leaseUntil == milliseconds(77));
    CHECK(start.fence == sent.fence);
    const auto &plain = std::get<start_order>(arrived.calls[1].order);
    CHECK_FALSE(start.payloadSource);
    CHECK(plain.payloadSource == address("10.0.0.9:1"));
    CHECK_FALSE(plain.ticket);
    CHECK_FALSE(plain.leaseUntil);
    CHECK(std::get<stop_order>(arrived.calls[2].order).run == run_number(5));
    const auto &poll = std::get<worker_poll>(arrived.calls[3].order);
    CHECK(poll.seenEnds == end_number(9));
    CHECK(poll.leaseUntil == milliseconds(88));
    CHECK(poll.wait == milliseconds(1000));
    CHECK(poll.listedOn == connection_number(10));
}

TEST_CASE("outcomes of calls arrive as they were sent")
{
    worker_outcome_batch sent;
    sent.from.value = "d1";
    sent.dataCentre.value = "dc";
    sent.term.value = 4;
    sent.highestFence.value = 5;
    sent.permission = {incarnation_id(6), milliseconds(7)};
    sent.refused = {call_number(8)};
    addOutcome(sent, 1, order_reply{order_refusal::NoTicket, milliseconds(9)});
    addOutcome(sent, 2, makeReport());
    addOutcome(sent, 3, makeError(error_kind::Unreachable, "w2: refused"));
    const worker_outcome_batch arrived = passOn(sent);
    CHECK(arrived.from == sent.from);
    CHECK(arrived.dataCentre == sent.dataCentre);
    CHECK(arrived.term == sent.term);
    CHECK(arrived.highestFence == sent.highestFence);
    CHECK(arrived.refused == sent.refused);
    REQUIRE(arrived.outcomes.size() == 3);
    CHECK(std::get<order_reply>(arrived.outcomes[0].result).refusal == order_refusal::NoTicket);
    CHECK(std::get<order_reply>(arrived.outcomes[0].result).workerClock == milliseconds(9));
    const auto &report = std::get<worker_report>(arrived.outcomes[1].result);
    CHECK_FALSE(report.complete);
    CHECK(report.workerClock == milliseconds(5000));
    CHECK(report.incarnation == worker_incarnation(1700000000123));
    CHECK(report.connection == connection_number(11));
    REQUIRE(report.running.size() == 2);
    CHECK(report.running[0].percent == 41);
    CHECK(report.running[0].checkpoint == "check");
    CHECK_FALSE(report.running[1].percent);
    REQUIRE(report.ended.size() == 1);
    CHECK(report.ended[0].how == run_end::GangMemberEnded);
    CHECK(report.ended[0].number == end_number(7));
    CHECK(std::get<error>(arrived.outcomes[2].result).kind == error_kind::Unreachable);
}

TEST_CASE("malformed calls and outcomes are left out, and the others are kept")
{
    const auto calls = decodeDaemonMessage(
        R"({"type":"worker_calls","fence":3,"calls":[5,[],[1],[2,400,"w","a:1","poll",0,-1,0],[3,400,"w","a:1","poll"]]})");
    REQUIRE(calls);
    REQUIRE(std::get<worker_call_batch>(calls.value()).calls.size() == 1);
    const auto outcomes = decodeDaemonMessage(
        R"({"type":"worker_outcomes","outcomes":[[1,"reply",99,-1],[2,"error",77,""],[3,"reply",0,-1],)"
        R"([4,"report",0,5,6,true,[[1]],[]]]})");
    REQUIRE(outcomes);
    const auto &batch = std::get<worker_outcome_batch>(outcomes.value());
    REQUIRE(batch.outcomes.size() == 2);
    CHECK(batch.outcomes[0].number == call_number(3));
    CHECK_FALSE(std::get<worker_report>(batch.outcomes[1].result).complete);
}

TEST_CASE("a packet has its text after compression, whatever its length")
{
    std::mt19937_64 random(1);
    for (const std::size_t length : {0, 1, 199, 200, 201, 5000, 300000}) {
        std::string text = "{";
        while (text.size() < length) {
            text += "abcdefgh"[random() % 8];
        }
        const std::string packet = packText(text);
        CHECK(packet.size() <= std::max<std::size_t>(text.size(), 1));
        const auto unpacked = unpackText(packet);
        REQUIRE(unpacked);
        CHECK(unpacked.value() == text);
    }
}

TEST_CASE("a malformed or too large compressed packet is an error")
{
    std::string packet = packText(std::string(2000, 'x'));
    REQUIRE(packet.size() < 200);
    CHECK_FALSE(unpackText(packet.substr(0, packet.size() - 3)));
    CHECK_FALSE(unpackText("\x01"));
    CHECK_FALSE(unpackText("\x01garbage"));
    CHECK_FALSE(unpackText(packText(std::string(maxUnpackedBytes + 1, 'x'))));
}
