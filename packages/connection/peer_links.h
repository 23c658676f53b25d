// Message links to the other daemons: one packet link to each peer, and a listener for those of the peers.
// Sending never blocks; each link queues a bounded number of messages and drops new messages when it is full.
#pragma once

#include "base/result.h"
#include "connection/packet_links.h"
#include "connection/peer_message.h"
#include "version/daemon_settings.h"

#include <functional>
#include <memory>

namespace sesamespar {

/// Called on a traffic thread for each well-formed message.
using peer_sink = std::function<void(peer_message)>;

/// The running links to all peers.
struct peer_links;

/// Traffic over all links since the start. Each message is one packet.
struct peer_traffic {
    packet_traffic packets;
    std::uint64_t messagesReceived = 0; ///< Well-formed messages only.
    std::uint64_t messagesMalformed = 0;
    std::uint64_t messagesDropped = 0; ///< Unknown peer, message too large, or dropped by the packet link.
};

/// Listens on settings.peerAddress and dials all peers in the background; unreachable peers are dialled again with
/// backoff. Errors: InvalidInput if the address cannot be bound or the address of a peer is malformed.
result<std::shared_ptr<peer_links>> startPeerLinks(const daemon_settings &settings, peer_sink sink);

/// The listening address, with the actual port if the settings name port 0.
address boundPeerAddress(const peer_links &links);

/// Sends a message to a peer, or drops it if the link is full. May be called from any thread.
void sendPeer(peer_links &links, const daemon_id &peer, const peer_message &message);

/// Returns the traffic over all links.
peer_traffic peerTraffic(const peer_links &links);

/// Closes all sockets. The sink is neither running nor called again after it returns.
void stopPeerLinks(peer_links &links);

} // namespace sesamespar
