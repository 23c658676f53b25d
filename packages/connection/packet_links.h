// Links between the system's own processes over nng: packets of bytes, one way, each whole or lost. A receiver that
// is slow, frozen or gone costs its sender a bounded queue and no time.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <functional>
#include <memory>
#include <string_view>

namespace sesamespar {

/// Largest packet. A larger one would end the connection at the receiver.
constexpr std::size_t maxPacketBytes = std::size_t{1024} * 1024;

/// Called with each packet on a traffic thread.
using packet_sink = std::function<void(std::string_view bytes)>;

/// A listener and a link to each address that was sent to.
struct packet_links;

/// Traffic so far.
struct packet_traffic {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t packetsSent = 0;
    std::uint64_t packetsDropped = 0; ///< Too large, or their link was full or closed.
};

/// Listens at an address; port 0 lets the kernel choose.
result<std::shared_ptr<packet_links>> startPacketLinks(const address &listenAt, packet_sink sink);

/// The address that is listened at.
address boundPacketAddress(const packet_links &links);

/// Connects to an address before the first packet is sent to it. Errors: InvalidInput for a malformed address.
result<void> dialPackets(packet_links &links, const address &to);

/// Sends a packet without waiting. False, with a log line now and then, if it was dropped at once.
bool sendPacket(packet_links &links, const address &to, std::string_view bytes);

/// Traffic over all links so far.
packet_traffic packetTraffic(const packet_links &links);

/// Ends all links; the sink is not called any more.
void stopPacketLinks(packet_links &links);

} // namespace sesamespar
