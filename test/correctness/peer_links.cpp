// Messages between daemons arrive once and complete, and a peer that is down, slow or malicious neither blocks the
// sender nor exhausts its memory. Guards against a control thread that is blocked by a single peer.
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

/// Collects the messages that a daemon receives.
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
daemon_settings senderSettings(const address &peer)
{
    daemon_settings settings = settingsOf("a");
    settings.peers.push_back({daemon_id("b"), data_centre_id("one"), peer});
    return settings;
}

const daemon_id receiverName{"b"};

peer_message makeNumbered(std::uint64_t number, const std::string &text = {})
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

TEST_CASE("messages arrive in order and complete")
{
    received_messages received;
    const auto receiver = startPeerLinks(settingsOf("b"), received.sink()).value();
    const auto sender = startPeerLinks(senderSettings(boundPeerAddress(*receiver)), ignore).value();
    const std::string text(maxConfigTextBytes, 'x');
    sendPeer(*sender, receiverName, makeNumbered(0, text));
    for (std::uint64_t number = 1; number < 200; ++number) {
        sendPeer(*sender, receiverName, makeNumbered(number));
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

TEST_CASE("a peer that starts late receives the queued messages, up to the bound of the link")
{
    address receiverAddress;
    {
        const auto early = startPeerLinks(settingsOf("b"), ignore).value();
        receiverAddress = boundPeerAddress(*early);
        stopPeerLinks(*early);
    }
    const auto sender = startPeerLinks(senderSettings(receiverAddress), ignore).value();
    constexpr std::uint64_t offered = 2000;
    for (std::uint64_t number = 0; number < offered; ++number) {
        sendPeer(*sender, receiverName, makeNumbered(number));
    }
    const peer_traffic traffic = peerTraffic(*sender);
    CHECK(traffic.packets.packetsSent + traffic.messagesDropped == offered);
    CHECK(traffic.packets.packetsSent <= 256);

    received_messages received;
    const auto late = startPeerLinks(settingsOf("b", receiverAddress.value), received.sink()).value();
    CHECK(waitUntil([&] { return received.count() == traffic.packets.packetsSent; }));
    stopPeerLinks(*late);
    stopPeerLinks(*sender);
}

TEST_CASE("a link reconnects after its peer was restarted")
{
    received_messages received;
    auto receiver = startPeerLinks(settingsOf("b"), received.sink()).value();
    const address receiverAddress = boundPeerAddress(*receiver);
    const auto sender = startPeerLinks(senderSettings(receiverAddress), ignore).value();
    sendPeer(*sender, receiverName, makeNumbered(1));
    REQUIRE(waitUntil([&] { return received.count() == 1; }));
    stopPeerLinks(*receiver);

    received_messages receivedAfterRestart;
    receiver = startPeerLinks(settingsOf("b", receiverAddress.value), receivedAfterRestart.sink()).value();
    // A message may be lost with the old connection, so the test sends it again, as the daemons' protocol does.
    CHECK(waitUntil([&] {
        sendPeer(*sender, receiverName, makeNumbered(2));
        return receivedAfterRestart.count() > 0;
    }));
    stopPeerLinks(*receiver);
    CHECK(numberOf(receivedAfterRestart.messages.front()) == 2);
    CHECK(received.count() == 1);
}

TEST_CASE("malformed and oversized messages are counted and do not disturb the link of another sender")
{
    received_messages received;
    const auto receiver = startPeerLinks(settingsOf("b"), received.sink()).value();
    const address receiverAddress = boundPeerAddress(*receiver);
    const auto sender = startPeerLinks(senderSettings(receiverAddress), ignore).value();

    nng_socket rawSocket = NNG_SOCKET_INITIALIZER;
    REQUIRE(nng_push0_open(&rawSocket) == 0);
    REQUIRE(nng_dial(rawSocket, ("tcp://" + receiverAddress.value).c_str(), nullptr, 0) == 0);
    std::string garbage = "garbage";
    CHECK(nng_send(rawSocket, garbage.data(), garbage.size(), 0) == 0);
    std::string otherVersion = encodePeerMessage(makeNumbered(1));
    otherVersion[1] = 2;
    CHECK(nng_send(rawSocket, otherVersion.data(), otherVersion.size(), 0) == 0);
    CHECK(waitUntil([&] { return peerTraffic(*receiver).messagesMalformed == 2; }));
    std::string oversized(maxPeerMessageBytes + 1, 'x');
    CHECK(nng_send(rawSocket, oversized.data(), oversized.size(), 0) == 0);

    sendPeer(*sender, receiverName, makeNumbered(1, oversized));
    CHECK(peerTraffic(*sender).messagesDropped == 1);
    sendPeer(*sender, daemon_id("nobody"), makeNumbered(1));
    CHECK(peerTraffic(*sender).messagesDropped == 2);
    sendPeer(*sender, receiverName, makeNumbered(7));
    REQUIRE(waitUntil([&] { return received.count() == 1; }));
    CHECK(numberOf(received.messages.front()) == 7);
    nng_close(rawSocket);
    stopPeerLinks(*receiver);
    stopPeerLinks(*sender);
    CHECK(peerTraffic(*receiver).messagesMalformed == 2);
}

TEST_CASE("a peer that does not read its messages does not block the sender")
{
    std::mutex receiverMutex;
    std::unique_lock receiverLock(receiverMutex);
    const auto receiver = startPeerLinks(settingsOf("b"), [&](const peer_message &) {
                              const std::lock_guard wait(receiverMutex);
                          }).value();
    const auto sender = startPeerLinks(senderSettings(boundPeerAddress(*receiver)), ignore).value();
    // More than the buffers of the kernel and of both sockets can hold.
    const std::string text(maxConfigTextBytes, 'x');
    for (std::uint64_t number = 0; number < 1000; ++number) {
        sendPeer(*sender, receiverName, makeNumbered(number, text));
    }
    CHECK(peerTraffic(*sender).messagesDropped > 0);
    receiverLock.unlock();
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
        const auto sender = startPeerLinks(senderSettings(boundPeerAddress(*receiver)), ignore).value();
        for (std::uint64_t number = 0; number < 200; ++number) {
            sendPeer(*sender, receiverName, makeNumbered(number));
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
