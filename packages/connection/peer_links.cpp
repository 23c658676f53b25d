#include "connection/peer_links.h"

#include "base/log.h"
#include "connection/codec.h"

#include <atomic>
#include <unordered_map>

namespace sesamespar {

static_assert(maxPeerMessageBytes <= maxPacketBytes);

struct peer_links {
    std::shared_ptr<packet_links> packets;
    std::unordered_map<daemon_id, address> peers; ///< Fixed after the start.
    std::shared_ptr<std::atomic<std::uint64_t>> received = std::make_shared<std::atomic<std::uint64_t>>(0);
    std::shared_ptr<std::atomic<std::uint64_t>> malformed = std::make_shared<std::atomic<std::uint64_t>>(0);
    std::atomic<std::uint64_t> dropped = 0;
};

namespace {

void countDrop(peer_links &links, const daemon_id &peer, const char *reason)
{
    const std::uint64_t dropped = ++links.dropped;
    if (shouldLogOccurrence(dropped)) {
        log_event("peer_message_dropped", log_level::Warning)
            .with("peer", peer)
            .with("reason", reason)
            .with("count", dropped);
    }
}

packet_sink makeDecodingSink(const peer_links &links, peer_sink sink)
{
    return [sink = std::move(sink), received = links.received, malformed = links.malformed](std::string_view bytes) {
        auto message = decodePeerMessage(bytes);
        if (message) {
            ++*received;
            sink(std::move(message.value()));
            return;
        }
        const std::uint64_t count = ++*malformed;
        if (shouldLogOccurrence(count)) {
            log_event("peer_message_malformed", log_level::Warning)
                .with("problem", message.error().message)
                .with("count", count);
        }
    };
}

} // namespace

result<std::shared_ptr<peer_links>> startPeerLinks(const daemon_settings &settings, peer_sink sink)
{
    auto links = std::make_shared<peer_links>();
    auto packets = startPacketLinks(settings.peerAddress, makeDecodingSink(*links, std::move(sink)));
    if (!packets) {
        return packets.error();
    }
    links->packets = packets.value();
    for (const peer_settings &peer : settings.peers) {
        const auto dialled = dialPackets(*links->packets, peer.peerAddress);
        if (!dialled) {
            return dialled.error();
        }
        links->peers.emplace(peer.name, peer.peerAddress);
    }
    return links;
}

address boundPeerAddress(const peer_links &links)
{
    return boundPacketAddress(*links.packets);
}

void sendPeer(peer_links &links, const daemon_id &peer, const peer_message &message)
{
    const auto link = links.peers.find(peer);
    if (link == links.peers.end()) {
        countDrop(links, peer, "unknown peer");
        return;
    }
    const std::string bytes = encodePeerMessage(message);
    if (bytes.size() > maxPeerMessageBytes) {
        // The receiver would close the connection, which would also lose the messages queued behind this one.
        countDrop(links, peer, "message too large");
        return;
    }
    sendPacket(*links.packets, link->second, bytes);
}

peer_traffic peerTraffic(const peer_links &links)
{
    peer_traffic traffic;
    traffic.packets = packetTraffic(*links.packets);
    traffic.messagesReceived = *links.received;
    traffic.messagesMalformed = *links.malformed;
    traffic.messagesDropped = links.dropped + traffic.packets.packetsDropped;
    return traffic;
}

void stopPeerLinks(peer_links &links)
{
    stopPacketLinks(*links.packets);
}

} // namespace sesamespar
