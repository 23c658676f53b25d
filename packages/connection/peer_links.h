// Links to the other daemons over nng: one pull socket to listen on, one push socket to each peer.
// Sending never blocks; each link holds a bounded number of messages and drops new ones when it is full.
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

/// The running links.
struct peer_links;

/// What went over all links. Each message is a packet.
struct peer_traffic {
    packet_traffic packets;
    std::uint64_t messagesReceived = 0; ///< Well-formed ones.
    std::uint64_t messagesMalformed = 0;
    std::uint64_t messagesDropped = 0; ///< Before or at their link.
};

/// Listens on settings.peerAddress and dials all peers in the background; unreachable ones are dialled
/// again with backoff. Errors: InvalidInput if the address cannot be bound.
result<std::shared_ptr<peer_links>> startPeerLinks(const daemon_settings &settings, peer_sink sink);

/// Address that it listens on, with the port that the kernel chose if the settings name port 0.
address boundPeerAddress(const peer_links &links);

/// Sends a message to a peer if its link has room. May be called from any thread.
void sendPeer(peer_links &links, const daemon_id &peer, const peer_message &message);

/// Traffic so far.
peer_traffic peerTraffic(const peer_links &links);

/// Closes all sockets. No call of the sink is under way or follows after it returns.
void stopPeerLinks(peer_links &links);

} // namespace sesamespar
