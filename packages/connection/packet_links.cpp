#include "connection/packet_links.h"

#include "base/error_boundary.h"
#include "base/log.h"
#include "connection/incoming_links.h"
#include "connection/outgoing_link.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>

namespace sesamespar {

struct packet_links {
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{context.get_executor()};
    incoming_links incoming{context};
    link_environment environment;
    mutable std::mutex mutex;
    std::unordered_map<address, std::shared_ptr<outgoing_link>> outgoing; ///< Guarded by `mutex`.
    std::atomic<bool> stopped = false;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> packetsSent = 0;
    std::atomic<std::uint64_t> packetsDropped = 0;
    std::thread thread;

    packet_links() = default;
    packet_links(const packet_links &) = delete;
    packet_links &operator=(const packet_links &) = delete;
    ~packet_links()
    {
        stopPacketLinks(*this);
    }
};

namespace {

std::shared_ptr<outgoing_link> findLink(packet_links &links, const address &to)
{
    const std::lock_guard lock(links.mutex);
    const auto found = links.outgoing.find(to);
    return found == links.outgoing.end() ? nullptr : found->second;
}

/// Returns the link to an address, and makes it on the first call.
result<std::shared_ptr<outgoing_link>> linkTo(packet_links &links, const address &to)
{
    const std::lock_guard lock(links.mutex);
    const auto found = links.outgoing.find(to);
    if (found != links.outgoing.end()) {
        return found->second;
    }
    auto made = makeOutgoingLink(links.context, links.environment, to);
    if (made) {
        links.outgoing.emplace(to, made.value());
    }
    return made;
}

bool dropPacket(packet_links &links, const address &to, const char *reason)
{
    const std::uint64_t dropped = ++links.packetsDropped;
    if (shouldLogOccurrence(dropped)) {
        log_event("packet_dropped", log_level::Warning).with("to", to).with("reason", reason).with("count", dropped);
    }
    return false;
}

/// Serves all connections until the links are stopped. An exception ends only the event whose handling it left.
void serveLinks(packet_links &links)
{
    bool served = false;
    while (!served) {
        served = runContained("link event", {}, [&links] { links.context.run(); });
    }
}

} // namespace

result<std::shared_ptr<packet_links>>
startPacketLinks(const address &listenAt, packet_sink sink, reachability_sink onReachability)
{
    auto links = std::make_shared<packet_links>();
    std::random_device entropy;
    links->incoming.self.value = (std::uint64_t(entropy()) << 32U) | entropy();
    links->incoming.sink = std::move(sink);
    links->incoming.onSilence = [plain = links.get()](const address &from) {
        if (const auto link = findLink(*plain, from)) {
            suspectLink(*link);
        }
    };
    links->environment.onReachability = std::move(onReachability);
    const auto bound = listenForLinks(links->incoming, listenAt);
    if (!bound) {
        return bound.error();
    }
    links->environment.from = bound.value();
    links->thread = std::thread([plain = links.get()] { serveLinks(*plain); });
    return links;
}

address boundPacketAddress(const packet_links &links)
{
    return links.environment.from;
}

result<void> dialPackets(packet_links &links, const address &to)
{
    const auto link = linkTo(links, to);
    if (!link) {
        return link.error();
    }
    dialLink(*link.value());
    return boost::outcome_v2::success();
}

bool sendPacket(packet_links &links, const address &to, std::string_view bytes)
{
    if (bytes.size() > maxPacketBytes) {
        return dropPacket(links, to, "packet too large");
    }
    const auto link = linkTo(links, to);
    if (!link) {
        return dropPacket(links, to, link.error().message.c_str());
    }
    if (links.stopped || !queuePacket(*link.value(), std::string(bytes))) {
        return dropPacket(links, to, "link full or closed");
    }
    ++links.packetsSent;
    links.bytesSent += bytes.size();
    return true;
}

packet_traffic packetTraffic(const packet_links &links)
{
    packet_traffic traffic;
    traffic.bytesSent = links.bytesSent;
    traffic.bytesReceived = links.incoming.bytesReceived;
    traffic.packetsSent = links.packetsSent;
    traffic.packetsDropped = links.packetsDropped + links.environment.packetsDropped;
    traffic.packetsResent = links.environment.packetsResent;
    traffic.connectionsSilent = links.environment.connectionsSilent;
    traffic.connectionsLost = links.environment.connectionsLost;
    return traffic;
}

milliseconds longestUnacknowledged(packet_links &links)
{
    const std::lock_guard lock(links.mutex);
    milliseconds longest{0};
    for (const auto &[to, link] : links.outgoing) {
        longest = std::max(longest, unacknowledgedTime(*link));
    }
    return longest;
}

void stopPacketLinks(packet_links &links)
{
    if (links.stopped.exchange(true)) {
        return;
    }
    links.context.stop();
    if (links.thread.joinable()) {
        links.thread.join();
    }
    // The sockets are closed by their owners; nothing runs on the context any more.
    closeIncomingLinks(links.incoming);
    const std::lock_guard lock(links.mutex);
    for (const auto &[to, link] : links.outgoing) {
        closeOutgoingLink(*link);
    }
}

} // namespace sesamespar
