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
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof place;
    // The socket functions take a generic address by their C interface.
    auto *generic = reinterpret_cast<sockaddr *>(&place);
    PCHECK(setsockopt(m_handle, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) == 0);
    PCHECK(bind(m_handle, generic, length) == 0);
    PCHECK(getsockname(m_handle, generic, &length) == 0);
    m_place = address("127.0.0.1:" + std::to_string(ntohs(place.sin_port)));
}

port_reservation::port_reservation(port_reservation &&other) noexcept
    : m_handle(std::exchange(other.m_handle, -1))
    , m_place(std::move(other.m_place))
{
}

port_reservation &port_reservation::operator=(port_reservation &&other) noexcept
{
    std::swap(m_handle, other.m_handle);
    std::swap(m_place, other.m_place);
    return *this;
}

port_reservation::~port_reservation()
{
    if (m_handle >= 0) {
        close(m_handle);
    }
}

const address &port_reservation::place() const
{
    return m_place;
}

} // namespace sesamespar::harness
