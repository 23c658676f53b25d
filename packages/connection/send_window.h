// Packets of one link that its receiver has not acknowledged. Decides what is sent on a new connection, so that each
// packet is handed over at most once and in order, and which packets are given up. Has no clock and does no I/O.
#pragma once

#include "base/time.h"
#include "connection/link_frames.h"

#include <deque>

namespace sesamespar {

/// Packets and bytes that wait on one link while its receiver is slow or unreachable. Further packets are dropped.
constexpr std::size_t maxUnsentPackets = 256;
constexpr std::size_t maxUnsentBytes = std::size_t{8} * 1024 * 1024;

/// A packet without an acknowledgement.
struct window_packet {
    packet_number number;
    time_point queuedAt; ///< Monotonic.
    std::string bytes;
};

/// State of the sending side of a link.
struct send_window {
    std::deque<window_packet> packets; ///< By rising number; the sent ones come first.
    bool connected = false; ///< Packets may be sent.
    std::size_t sentCount = 0; ///< Packets that were written to the current connection.
    std::size_t acknowledgedBytes = 0; ///< Of the frame of the first packet.
    std::size_t unsentBytes = 0;
    std::size_t inFlightBytes = 0; ///< Of the sent packets.
    packet_number lastNumber; ///< Of the latest packet.
    packet_number highestSent; ///< Over all connections.
    std::size_t expired = 0; ///< Packets that were too old, since the latest connection.
    incarnation_id receiver; ///< The process that answered the latest hello; 0 before the first answer.
};

/// Makes all packets unsent when the connection has ended.
void disconnectWindow(send_window &window);

/// Adds a packet. Returns false if too many are waiting; without a connection, those that are too old make room.
bool enqueuePacket(send_window &window, std::string bytes, time_point now);

/// Marks unsent packets as sent and returns their frames, as many as may be in flight; empty if there are none.
std::string takeUnsentFrames(send_window &window);

/// Removes packets that the receiver has acknowledged. Returns false if it has acknowledged more than was sent.
bool acknowledgeBytes(send_window &window, std::uint64_t frameBytes);

/// What a new connection starts with.
struct window_resumption {
    packet_number first; ///< Number of the next packet.
    std::size_t resent = 0; ///< Packets that are sent again, because the receiver did not get them.
    std::size_t dropped = 0; ///< Packets that are too old, or that an earlier process at the address may have received.
};

/// Continues on a new connection.
window_resumption resumeWindow(send_window &window, const link_welcome &welcome, time_point now);

} // namespace sesamespar
