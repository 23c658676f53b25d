// One-way packet links between the system's own processes over TCP. Each packet arrives complete, once and in the order
// of sending, or is lost. A link whose connection stops passing data, in either direction and without an error, is
// connected anew within about half a second; what it carried is sent again. A receiver that is slow, blocked or down
// costs its sender a bounded queue and never blocks it.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "connection/link_frames.h"
#include "connection/packet_sink.h"

#include <memory>
#include <string_view>

namespace sesamespar {

/// A listener, a link to each address that was dialled, and the thread that serves them.
struct packet_links;

/// Traffic over all links since the start.
struct packet_traffic {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t packetsSent = 0;
    std::uint64_t packetsDropped = 0; ///< Packet too large or too old, address malformed, or link full.
    std::uint64_t packetsResent = 0; ///< On a new connection, after the previous one had ended or gone silent.
    std::uint64_t connectionsSilent = 0; ///< Outgoing connections that were replaced because they were silent.
    std::uint64_t connectionsLost = 0; ///< Outgoing connections that ended for any reason, or failed.
};

/// Listens on an address; with port 0 the kernel chooses the port. `onReachability` may be empty. Errors: InvalidInput
/// if it cannot be bound.
result<std::shared_ptr<packet_links>>
startPacketLinks(const address &listenAt, packet_sink sink, reachability_sink onReachability = {});

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

/// Age of the oldest packet, over all links, that is not acknowledged; 0 if there is none.
milliseconds longestUnacknowledged(packet_links &links);

/// Closes all links. The sinks are not called after it returns.
void stopPacketLinks(packet_links &links);

} // namespace sesamespar
