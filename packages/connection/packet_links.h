// One-way packet links between the system's own processes over nng. Each packet arrives complete or is lost. A
// receiver that is slow, blocked or down costs its sender a bounded queue and never blocks it.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <functional>
#include <memory>
#include <string_view>

namespace sesamespar {

/// Largest packet. The receiver would close the connection on a larger packet.
constexpr std::size_t maxPacketBytes = std::size_t{1024} * 1024;

/// Called with each packet on a traffic thread.
using packet_sink = std::function<void(std::string_view bytes)>;

/// A listener, and a link to each address that was dialled.
struct packet_links;

/// Traffic over all links since the start.
struct packet_traffic {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t packetsSent = 0;
    std::uint64_t packetsDropped = 0; ///< Packet too large, address malformed, or link full or closed.
};

/// Listens on an address; with port 0 the kernel chooses the port. Errors: InvalidInput if it cannot be bound.
result<std::shared_ptr<packet_links>> startPacketLinks(const address &listenAt, packet_sink sink);

/// The listening address, with the actual port.
address boundPacketAddress(const packet_links &links);

/// Starts to connect to an address in the background, unless it was dialled before. Errors: InvalidInput for a
/// malformed address.
result<void> dialPackets(packet_links &links, const address &to);

/// Queues a packet without blocking; dials the address first if needed. Returns false if the packet was dropped, which
/// is logged at a limited rate.
bool sendPacket(packet_links &links, const address &to, std::string_view bytes);

/// Returns the traffic over all links.
packet_traffic packetTraffic(const packet_links &links);

/// Closes all links. The sink is not called after it returns.
void stopPacketLinks(packet_links &links);

} // namespace sesamespar
