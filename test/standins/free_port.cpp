#include "standins/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sesamespar::standins {

std::uint16_t findFreePort(const std::string &host)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (handle < 0) {
        return 0;
    }
    sockaddr_in place{};
    place.sin_family = AF_INET;
    socklen_t length = sizeof place;
    std::uint16_t port = 0;
    // The socket functions take a generic address by their C interface.
    auto *generic = reinterpret_cast<sockaddr *>(&place);
    if (inet_pton(AF_INET, host.c_str(), &place.sin_addr) == 1 && bind(handle, generic, length) == 0
        && getsockname(handle, generic, &length) == 0) {
        port = ntohs(place.sin_port);
    }
    close(handle);
    return port;
}

} // namespace sesamespar::standins
