// Options of the sockets between processes of the system.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace sesamespar {

/// Sends small packets at once, and ends a connection whose peer has lost power or its network.
void setLinkOptions(boost::asio::ip::tcp::socket &socket);

} // namespace sesamespar
