// Wire format of the links between processes of the system. A link is a series of TCP connections from one process to
// another: packets flow from the dialling process to the listening one, acknowledgements the other way.
#pragma once

#include "base/ids.h"
#include "base/result.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace sesamespar {

/// Random number of a link, chosen by the dialling process when it first dials an address.
using link_id = strong_value<struct link_id_tag, std::uint64_t>;
/// Position of a packet on its link, from 1.
using packet_number = strong_value<struct packet_number_tag, std::uint64_t>;

/// Largest packet. A longer one ends the connection.
constexpr std::size_t maxPacketBytes = std::size_t{1024} * 1024;

/// Bytes of a frame besides its packet.
constexpr std::size_t frameHeaderBytes = 4;

/// First message of a connection, from the dialling process.
struct link_hello {
    link_id link;
    address from; ///< Listening address of the dialling process.
    bool afterSilence = false; ///< The previous connection of the link stopped passing data without an error.
};

/// Answer to a hello, from the listening process.
struct link_welcome {
    incarnation_id receiver; ///< Distinguishes the processes that have listened at the address.
    packet_number delivered; ///< Latest packet of the link that this process has received; 0 if there is none.
};

std::string encodeHello(const link_hello &hello);
std::string encodeWelcome(const link_welcome &welcome);

/// Encodes the number of the first packet that follows on a connection. It is sent after the welcome.
std::string encodeFirstNumber(packet_number first);

/// Appends the frame of a packet of at most maxPacketBytes.
void appendFrame(std::string &output, std::string_view packet);

/// Encodes an acknowledgement: the number of bytes of frames received since the previous one on the connection.
std::string encodeAcknowledgement(std::uint32_t frameBytes);

/// Remove a complete message from the front of the input. They return nothing, and remove nothing, if it is incomplete.
/// Errors: InvalidInput if it is malformed.
result<std::optional<link_hello>> takeHello(std::string &input);
std::optional<link_welcome> takeWelcome(std::string &input);
std::optional<packet_number> takeFirstNumber(std::string &input);

/// Removes all complete acknowledgements from the input and returns their sum, in bytes.
std::uint64_t takeAcknowledgements(std::string &input);

/// Removes all complete frames from the input and passes their packets on. Returns the number of bytes removed. Errors:
/// InvalidInput if a frame announces a packet above maxPacketBytes.
result<std::size_t> takeFrames(std::string &input, const std::function<void(std::string_view packet)> &sink);

} // namespace sesamespar
