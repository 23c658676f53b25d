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
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socklen_t length = sizeof socketAddress;
    std::uint16_t port = 0;
    // The C interface of the socket functions takes a generic address.
    auto *genericAddress = reinterpret_cast<sockaddr *>(&socketAddress);
    if (inet_pton(AF_INET, host.c_str(), &socketAddress.sin_addr) == 1 && bind(handle, genericAddress, length) == 0
        && getsockname(handle, genericAddress, &length) == 0) {
        port = ntohs(socketAddress.sin_port);
    }
    close(handle);
    return port;
}

} // namespace sesamespar::standins
