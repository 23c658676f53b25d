// Receiving side of the links: accepts connections, passes packets on once and in order, and acknowledges them.
#pragma once

#include "connection/link_frames.h"
#include "connection/packet_sink.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

namespace sesamespar {

struct incoming_connection;

/// What is known of a link of another process.
struct received_link {
    packet_number delivered; ///< Latest packet that was passed on.
    incoming_connection *connection = nullptr; ///< The current one, or null.
    std::chrono::steady_clock::time_point closedAt; ///< When the latest connection ended.
};

/// All incoming links. Used on the thread of the links only, but for the counts.
struct incoming_links {
    explicit incoming_links(boost::asio::io_context &ioContext)
        : context(ioContext)
        , acceptor(ioContext)
        , acceptTimer(ioContext)
    {
    }

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    packet_sink sink;
    std::function<void(const address &from)> onSilence; ///< Called when a peer has found its connection silent.
    incarnation_id self; ///< Of this process.
    std::unordered_set<std::shared_ptr<incoming_connection>> connections;
    std::map<link_id, received_link> links;
    std::vector<char> buffer; ///< Shared by all connections, since one reads at a time.
    std::atomic<std::uint64_t> bytesReceived = 0; ///< Of packets, duplicates left out.
    std::atomic<std::uint64_t> connectionsRefused = 0; ///< Malformed, too many, or without a hello in time.
};

/// Listens on an address and returns it with the actual port. Errors: InvalidInput if it cannot be bound.
result<address> listenForLinks(incoming_links &links, const address &listenAt);

/// Closes all connections. Nothing may run on the context any more.
void closeIncomingLinks(incoming_links &links);

} // namespace sesamespar
