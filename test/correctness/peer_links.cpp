// Messages between daemons arrive once and whole, and a peer that is down, slow or malicious neither blocks
// the sender nor takes its memory. Guards against a control thread that stands still because of one peer.
#include "connection/peer_links.h"

#include "connection/codec.h"
#include "raw_http.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <catch2/catch.hpp>
#include <mutex>
#include <vector>

using namespace sesamespar;

namespace {

/// Collects what a daemon receives.
struct received_messages {
    std::mutex mutex;
    std::vector<peer_message> messages;

    peer_sink sink()
    {
        return [this](peer_message message) {
            const std::lock_guard lock(mutex);
            messages.push_back(std::move(message));
        };
    }

    std::size_t count()
    {
        const std::lock_guard lock(mutex);
        return messages.size();
    }
};

daemon_settings settingsOf(const std::string &name, const std::string &listen = "127.0.0.1:0")
{
    daemon_settings settings;
    settings.name.value = name;
    settings.peerAddress.value = listen;
    return settings;
}

/// Settings of a daemon that sends to one peer, named b.
daemon_settings senderTo(const address &peer)
{
    daemon_settings settings = settingsOf("a");
    settings.peers.push_back({daemon_id("b"), data_centre_id("one"), peer});
    return settings;
}

const daemon_id receiverName{"b"};

peer_message numbered(std::uint64_t number, const std::string &text = {})
{
    return {daemon_id("a"), incarnation_id(1), config_push{config_version(number), text}};
}

std::uint64_t numberOf(const peer_message &message)
{
    return std::get<config_push>(message.payload).version.value;
}

void ignore(const peer_message &)
{
}

} // namespace

TEST_CASE("messages arrive in order and whole")
{
    received_messages received;
    const auto receiver = startPeerLinks(settingsOf("b"), received.sink()).value();
    const auto sender = startPeerLinks(senderTo(boundPeerAddress(*receiver)), ignore).value();
    const std::string text(maxConfigTextBytes, 'x');
    sendPeer(*sender, receiverName, numbered(0, text));
    for (std::uint64_t number = 1; number < 200; ++number) {
        sendPeer(*sender, receiverName, numbered(number));
    }
    REQUIRE(waitUntil([&] { return received.count() == 200; }));
    stopPeerLinks(*receiver);
    stopPeerLinks(*sender);
    CHECK(std::get<config_push>(received.messages[0].payload).text == text);
    for (std::uint64_t number = 0; number < 200; ++number) {
        CHECK(numberOf(received.messages[number]) == number);
    }
    CHECK(peerTraffic(*sender).packets.packetsSent == 200);
    CHECK(peerTraffic(*sender).packets.bytesSent == peerTraffic(*receiver).packets.bytesReceived);
    CHECK(peerTraffic(*receiver).messagesReceived == 200);
}

TEST_CASE("a peer that starts late gets what waits for it, within the bound of the link")
{
    address where;
    {
        const auto early = startPeerLinks(settingsOf("b"), ignore).value();
        where = boundPeerAddress(*early);
        stopPeerLinks(*early);
    }
    const auto sender = startPeerLinks(senderTo(where), ignore).value();
    constexpr std::uint64_t offered = 2000;
    for (std::uint64_t number = 0; number < offered; ++number) {
        sendPeer(*sender, receiverName, numbered(number));
    }
    const peer_traffic traffic = peerTraffic(*sender);
    CHECK(traffic.packets.packetsSent + traffic.messagesDropped == offered);
    CHECK(traffic.packets.packetsSent <= 256);

    received_messages received;
    const auto late = startPeerLinks(settingsOf("b", where.value), received.sink()).value();
    CHECK(waitUntil([&] { return received.count() == traffic.packets.packetsSent; }));
    stopPeerLinks(*late);
    stopPeerLinks(*sender);
}

TEST_CASE("a link comes back after its peer was restarted")
{
    received_messages received;
    auto receiver = startPeerLinks(settingsOf("b"), received.sink()).value();
    const address where = boundPeerAddress(*receiver);
    const auto sender = startPeerLinks(senderTo(where), ignore).value();
    sendPeer(*sender, receiverName, numbered(1));
    REQUIRE(waitUntil([&] { return received.count() == 1; }));
    stopPeerLinks(*receiver);

    received_messages again;
    receiver = startPeerLinks(settingsOf("b", where.value), again.sink()).value();
    // A message may be lost with the old connection, so it is repeated as the protocol repeats its own.
    CHECK(waitUntil([&] {
        sendPeer(*sender, receiverName, numbered(2));
        return again.count() > 0;
    }));
    stopPeerLinks(*receiver);
    CHECK(numberOf(again.messages.front()) == 2);
    CHECK(received.count() == 1);
}

TEST_CASE("malformed and oversized messages are counted and harm nothing")
{
    received_messages received;
    const auto receiver = startPeerLinks(settingsOf("b"), received.sink()).value();
    const address where = boundPeerAddress(*receiver);
    const auto sender = startPeerLinks(senderTo(where), ignore).value();

    nng_socket stranger = NNG_SOCKET_INITIALIZER;
    REQUIRE(nng_push0_open(&stranger) == 0);
    REQUIRE(nng_dial(stranger, ("tcp://" + where.value).c_str(), nullptr, 0) == 0);
    std::string garbage = "garbage";
    CHECK(nng_send(stranger, garbage.data(), garbage.size(), 0) == 0);
    std::string otherVersion = encodePeerMessage(numbered(1));
    otherVersion[1] = 2;
    CHECK(nng_send(stranger, otherVersion.data(), otherVersion.size(), 0) == 0);
    CHECK(waitUntil([&] { return peerTraffic(*receiver).messagesMalformed == 2; }));
    std::string oversized(maxPeerMessageBytes + 1, 'x');
    CHECK(nng_send(stranger, oversized.data(), oversized.size(), 0) == 0);

    sendPeer(*sender, receiverName, numbered(1, oversized));
    CHECK(peerTraffic(*sender).messagesDropped == 1);
    sendPeer(*sender, daemon_id("nobody"), numbered(1));
    CHECK(peerTraffic(*sender).messagesDropped == 2);
    sendPeer(*sender, receiverName, numbered(7));
    REQUIRE(waitUntil([&] { return received.count() == 1; }));
    CHECK(numberOf(received.messages.front()) == 7);
    nng_close(stranger);
    stopPeerLinks(*receiver);
    stopPeerLinks(*sender);
    CHECK(peerTraffic(*receiver).messagesMalformed == 2);
}

TEST_CASE("a peer that does not take its messages blocks nobody")
{
    std::mutex blocked;
    std::unique_lock holding(blocked);
    const auto receiver =
        startPeerLinks(settingsOf("b"), [&](const peer_message &) { const std::lock_guard wait(blocked); }).value();
    const auto sender = startPeerLinks(senderTo(boundPeerAddress(*receiver)), ignore).value();
    // More than the buffers of the kernel and of both sockets take in.
    const std::string text(maxConfigTextBytes, 'x');
    for (std::uint64_t number = 0; number < 1000; ++number) {
        sendPeer(*sender, receiverName, numbered(number, text));
    }
    CHECK(peerTraffic(*sender).messagesDropped > 0);
    holding.unlock();
    stopPeerLinks(*sender);
    stopPeerLinks(*receiver);
}

TEST_CASE("the sink is not called after a stop")
{
    for (int round = 0; round < 20; ++round) {
        std::atomic<bool> stopped = false;
        std::atomic<int> late = 0;
        std::atomic<int> calls = 0;
        const auto receiver = startPeerLinks(settingsOf("b"), [&](const peer_message &) {
                                  ++calls;
                                  late += stopped ? 1 : 0;
                              }).value();
        const auto sender = startPeerLinks(senderTo(boundPeerAddress(*receiver)), ignore).value();
        for (std::uint64_t number = 0; number < 200; ++number) {
            sendPeer(*sender, receiverName, numbered(number));
        }
        CHECK(waitUntil([&] { return calls > 0; }));
        stopPeerLinks(*receiver);
        stopped = true;
        stopPeerLinks(*sender);
        CHECK(late == 0);
    }
}

TEST_CASE("an address that cannot be bound is an error that names it")
{
    const auto links = startPeerLinks(settingsOf("b", "192.0.2.1:1"), ignore);
    REQUIRE(links.has_error());
    CHECK(links.error().kind == error_kind::InvalidInput);
    CHECK(links.error().message.find("192.0.2.1:1") != std::string::npos);
}
