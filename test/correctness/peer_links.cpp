// Messages between daemons arrive once and complete, and a peer that is down, slow or malicious neither blocks the
// sender nor exhausts its memory. Guards against a control thread that is blocked by a single peer.
#include "connection/peer_links.h"

#include "connection/codec.h"
#include "connection/link_frames.h"
#include "harness/port_reservation.h"
#include "raw_http.h"

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

/// Starts links and fails the test with the reason if that is not possible.
std::shared_ptr<peer_links> startLinks(const daemon_settings &settings, peer_sink sink)
{
    auto links = startPeerLinks(settings, std::move(sink));
    INFO((links ? std::string() : links.error().message));
    REQUIRE(links);
    return links.value();
}

/// Begins the protocol of a link on a plain connection, which can then send what no daemon sends.
void startRawLink(raw_caller &link)
{
    REQUIRE(link.send(encodeHello({link_id(1), address("127.0.0.1:1"), false})));
    REQUIRE(link.send(encodeFirstNumber(packet_number(1))));
}

std::string makeFrame(std::string_view packet)
{
    std::string frame;
    appendFrame(frame, packet);
    return frame;
}

} // namespace

TEST_CASE("messages arrive in order and complete")
{
    received_messages received;
    const auto receiver = startLinks(settingsOf("b"), received.sink());
    const auto sender = startLinks(senderSettings(boundPeerAddress(*receiver)), ignore);
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
    // Without the reservation, another process may get the port before the receiver starts.
    const harness::port_reservation port;
    const address &receiverAddress = port.reservedAddress();
    const auto sender = startLinks(senderSettings(receiverAddress), ignore);
    constexpr std::uint64_t offered = 2000;
    for (std::uint64_t number = 0; number < offered; ++number) {
        sendPeer(*sender, receiverName, makeNumbered(number));
    }
    const peer_traffic traffic = peerTraffic(*sender);
    CHECK(traffic.packets.packetsSent + traffic.messagesDropped == offered);
    CHECK(traffic.packets.packetsSent <= 256);

    received_messages received;
    const auto late = startLinks(settingsOf("b", receiverAddress.value), received.sink());
    CHECK(waitUntil([&] { return received.count() == traffic.packets.packetsSent; }));
    stopPeerLinks(*late);
    stopPeerLinks(*sender);
}

TEST_CASE("a link reconnects after its peer was restarted")
{
    const harness::port_reservation port;
    const address &receiverAddress = port.reservedAddress();
    received_messages received;
    auto receiver = startLinks(settingsOf("b", receiverAddress.value), received.sink());
    const auto sender = startLinks(senderSettings(receiverAddress), ignore);
    sendPeer(*sender, receiverName, makeNumbered(1));
    REQUIRE(waitUntil([&] { return received.count() == 1; }));
    stopPeerLinks(*receiver);

    received_messages receivedAfterRestart;
    receiver = startLinks(settingsOf("b", receiverAddress.value), receivedAfterRestart.sink());
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
    const auto receiver = startLinks(settingsOf("b"), received.sink());
    const address receiverAddress = boundPeerAddress(*receiver);
    const auto sender = startLinks(senderSettings(receiverAddress), ignore);

    raw_caller rawLink(receiverAddress);
    startRawLink(rawLink);
    CHECK(rawLink.send(makeFrame("garbage")));
    std::string otherVersion = encodePeerMessage(makeNumbered(1));
    otherVersion[1] = 2;
    CHECK(rawLink.send(makeFrame(otherVersion)));
    CHECK(waitUntil([&] { return peerTraffic(*receiver).messagesMalformed == 2; }));
    const std::string oversized(maxPacketBytes + 1, 'x');
    rawLink.send(makeFrame(oversized));
    // The receiver ends the connection of the oversized packet.
    rawLink.readAll();
    raw_caller otherProtocol(receiverAddress);
    otherProtocol.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(otherProtocol.readAll().empty());

    sendPeer(*sender, receiverName, makeNumbered(1, oversized));
    CHECK(peerTraffic(*sender).messagesDropped == 1);
    sendPeer(*sender, daemon_id("nobody"), makeNumbered(1));
    CHECK(peerTraffic(*sender).messagesDropped == 2);
    sendPeer(*sender, receiverName, makeNumbered(7));
    REQUIRE(waitUntil([&] { return received.count() == 1; }));
    CHECK(numberOf(received.messages.front()) == 7);
    stopPeerLinks(*receiver);
    stopPeerLinks(*sender);
    CHECK(peerTraffic(*receiver).messagesMalformed == 2);
}

TEST_CASE("a peer that does not read its messages does not block the sender")
{
    std::mutex receiverMutex;
    std::unique_lock receiverLock(receiverMutex);
    const auto receiver =
        startLinks(settingsOf("b"), [&](const peer_message &) { const std::lock_guard wait(receiverMutex); });
    const auto sender = startLinks(senderSettings(boundPeerAddress(*receiver)), ignore);
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
        const auto receiver = startLinks(settingsOf("b"), [&](const peer_message &) {
            ++calls;
            late += stopped ? 1 : 0;
        });
        const auto sender = startLinks(senderSettings(boundPeerAddress(*receiver)), ignore);
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
