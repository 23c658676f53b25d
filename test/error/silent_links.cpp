// Packets between daemons keep arriving, once and in order, after open connections went silent. Guards against links
// on which nobody notices that nothing arrives any more (incident paguri-advice-overdue).
#include "connection/packet_links.h"
#include "raw_http.h"
#include "standins/link_proxy.h"

#include <catch2/catch.hpp>
#include <mutex>
#include <vector>

using namespace sesamespar;
using namespace sesamespar::standins;

namespace {

const address anyPort("127.0.0.1:0");

/// Packets that a process has received.
struct received_packets {
    std::mutex mutex;
    std::vector<std::string> packets;

    packet_sink sink()
    {
        return [this](std::string_view bytes) {
            const std::lock_guard lock(mutex);
            packets.emplace_back(bytes);
        };
    }

    std::vector<std::string> copy()
    {
        const std::lock_guard lock(mutex);
        return packets;
    }
};

/// A sender whose link to a receiver passes through a proxy.
struct proxied_pair {
    received_packets received;
    std::shared_ptr<link_proxy> proxy = startLinkProxy();
    std::shared_ptr<packet_links> receiver = startPacketLinks(anyPort, received.sink()).value();
    std::shared_ptr<packet_links> sender = startPacketLinks(anyPort, [](std::string_view) {}).value();
    address to = addLink(*proxy, "link", boundPacketAddress(*receiver)).value();

    ~proxied_pair()
    {
        stopPacketLinks(*sender);
        stopPacketLinks(*receiver);
    }

    bool send(const std::string &packet) const
    {
        return sendPacket(*sender, to, packet);
    }

    bool arrive(std::size_t count)
    {
        return waitUntil([&] { return received.copy().size() >= count; });
    }
};

/// Sends packets, padded to a size, before and after each silence and expects all of them, once and in order.
void checkSurvives(const std::vector<link_fault> &silences, std::size_t packetBytes = 0)
{
    proxied_pair pair;
    std::vector<std::string> sent;
    const auto sendMore = [&] {
        for (int count = 0; count < 20; ++count) {
            const std::string number = std::to_string(sent.size());
            sent.push_back(number + std::string(packetBytes - std::min(packetBytes, number.size()), ' '));
            REQUIRE(pair.send(sent.back()));
        }
    };
    sendMore();
    REQUIRE(pair.arrive(sent.size()));
    for (const link_fault &silence : silences) {
        setLinkFault(*pair.proxy, "link", silence);
        sendMore();
        REQUIRE(pair.arrive(sent.size()));
    }
    CHECK(pair.received.copy() == sent);
}

link_fault makeSilence(bool forward, bool backward)
{
    link_fault fault;
    fault.silenceForward = forward;
    fault.silenceBackward = backward;
    return fault;
}

} // namespace

TEST_CASE("packets arrive after the open connection went silent towards the receiver")
{
    checkSurvives({makeSilence(true, false)});
}

TEST_CASE("packets arrive after the open connection went silent towards the sender")
{
    checkSurvives({makeSilence(false, true)});
}

TEST_CASE("packets arrive after open connections went silent in both directions, again and again")
{
    const link_fault both = makeSilence(true, true);
    checkSurvives({both, both, makeSilence(true, false), both, makeSilence(false, true)});
}

TEST_CASE("a connection that goes silent in the middle of a large write is replaced")
{
    // The rest of the write once went out on the new connection, before its hello.
    constexpr std::size_t largePacket = 400000;
    checkSurvives({makeSilence(true, true), makeSilence(true, false)}, largePacket);
}
