#include "harness/port_reservation.h"

#include <arpa/inet.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace sesamespar::harness {

port_reservation::port_reservation()
    : m_handle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int enabled = 1;
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof socketAddress;
    // The C interface of the socket functions takes a generic address.
    auto *genericAddress = reinterpret_cast<sockaddr *>(&socketAddress);
    PCHECK(setsockopt(m_handle, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) == 0);
    PCHECK(bind(m_handle, genericAddress, length) == 0);
    PCHECK(getsockname(m_handle, genericAddress, &length) == 0);
    m_address = address("127.0.0.1:" + std::to_string(ntohs(socketAddress.sin_port)));
}

port_reservation::port_reservation(port_reservation &&other) noexcept
    : m_handle(std::exchange(other.m_handle, -1))
    , m_address(std::move(other.m_address))
{
}

port_reservation &port_reservation::operator=(port_reservation &&other) noexcept
{
    std::swap(m_handle, other.m_handle);
    std::swap(m_address, other.m_address);
    return *this;
}

port_reservation::~port_reservation()
{
    if (m_handle >= 0) {
        close(m_handle);
    }
}

const address &port_reservation::reservedAddress() const
{
    return m_address;
}

} // namespace sesamespar::harness
