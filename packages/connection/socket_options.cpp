#include "connection/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sesamespar {

namespace {

/// Time without traffic after which the kernel probes the peer, the time between probes, and their number.
constexpr int keepAliveIdleSeconds = 10;
constexpr int keepAliveIntervalSeconds = 5;
constexpr int keepAliveProbes = 3;
/// Time for which sent data may stay unacknowledged by the peer's kernel.
constexpr int userTimeoutMs = 10000;

} // namespace

void setLinkOptions(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof(int));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof(int));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof(int));
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(int));
}

} // namespace sesamespar
