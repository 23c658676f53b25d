// Sending side of a link: dials an address, sends packets, and replaces the connection when packets stay
// unacknowledged. An open connection may stop passing data without an error, in either direction, so the age of the
// oldest unacknowledged packet is the only sign.
#pragma once

#include "connection/packet_sink.h"
#include "connection/send_window.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>

namespace sesamespar {

/// What all outgoing links of a process share. Counts are since the start.
struct link_environment {
    address from; ///< Listening address of this process.
    reachability_sink onReachability; ///< May be empty.
    std::atomic<std::uint64_t> connectionsSilent = 0; ///< Connections that were replaced because they were silent.
    std::atomic<std::uint64_t> connectionsLost = 0; ///< Connections that ended for another reason, or failed.
    std::atomic<std::uint64_t> packetsResent = 0;
    std::atomic<std::uint64_t> packetsDropped = 0;
};

/// State of the connection of a link.
enum class link_phase {
    Idle, ///< Not connected; the next packet dials.
    Pausing, ///< Waits before it dials again.
    Dialling,
    Greeting, ///< Connected, without the receiver's welcome.
    Open,
};

/// One connection of a link. Kept alive by its pending operations, which may end long after it was replaced.
struct link_connection {
    explicit link_connection(boost::asio::io_context &context)
        : socket(context)
    {
    }

    boost::asio::ip::tcp::socket socket;
    bool writing = false;
    std::string output; ///< Being written.
    std::string preamble; ///< Written before the next frames.
    std::string input; ///< Received, incomplete.
    std::array<char, 256> buffer{};
};

/// A link. All but the window and `wakePending` is used on the thread of the links only.
struct outgoing_link : std::enable_shared_from_this<outgoing_link> {
    outgoing_link(boost::asio::io_context &ioContext, link_environment &shared)
        : context(ioContext)
        , environment(shared)
        , deadline(ioContext)
    {
    }

    boost::asio::io_context &context;
    link_environment &environment;
    address to;
    boost::asio::ip::tcp::endpoint endpoint;
    link_id id;

    std::mutex mutex;
    send_window window; ///< Guarded by `mutex`.
    std::atomic<bool> wakePending = false;

    std::shared_ptr<link_connection> connection; ///< The current one, or null. Completions of others are ignored.
    boost::asio::steady_timer deadline; ///< Of the current phase.
    bool deadlineArmed = false;
    std::uint64_t deadlineNumber = 0; ///< Of the armed deadline; an earlier one may have fired already.
    bool postponed = false; ///< The deadline was postponed once, because this process was paused.
    link_phase phase = link_phase::Idle;
    bool afterSilence = false; ///< The previous connection was silent.
    unsigned failures = 0; ///< Connections in a row that ended without an acknowledgement.
    bool reachable = true; ///< As last reported.
    time_point progressAt; ///< When the receiver last acknowledged something, or had nothing to acknowledge.
    time_point usedAt; ///< When the latest packet was queued.
};

/// Makes a link that is not connected. Errors: InvalidInput if the address is not an IP address and a port.
result<std::shared_ptr<outgoing_link>>
makeOutgoingLink(boost::asio::io_context &context, link_environment &environment, const address &to);

/// Queues a packet, from any thread. Returns false if too many are waiting.
bool queuePacket(outgoing_link &link, std::string bytes);

/// Dials the address if the link is not connected. From any thread.
void dialLink(outgoing_link &link);

/// Replaces the connection, if it has not passed any data lately. On the thread of the links; called when the peer has
/// found its own connection to this process silent.
void suspectLink(outgoing_link &link);

/// Closes the connection. Nothing may run on the context any more.
void closeOutgoingLink(outgoing_link &link);

/// Age of the oldest packet without an acknowledgement; 0 if there is none. From any thread.
milliseconds unacknowledgedTime(outgoing_link &link);

} // namespace sesamespar
