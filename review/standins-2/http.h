// Minimal blocking HTTP/1.1 on loopback sockets for the stand-ins: a server with a thread for each connection, and a
// client. Only what the platform's pages describe: bodies with Content-Length, persistent connections.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace review {

struct http_message {
    std::string method; ///< Of a request.
    std::string path; ///< Of a request, without the query.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    int status = 0; ///< Of a response; 0 if none arrived.
    std::string body;
};

/// A connection that was accepted by a server.
struct http_channel {
    int socket = -1;
    long long openedAt = 0; ///< Milliseconds of nowMs().
};

/// What a server does with a request.
enum class http_outcome {
    Answered, ///< The response is sent.
    Silent, ///< Nothing is sent, and the connection stays silent for good.
    Reset, ///< The connection is reset.
};

using http_handler =
    std::function<http_outcome(const http_channel &, const http_message &request, http_message &response)>;

/// Milliseconds of the steady clock since the start of the process.
long long nowMs();

void sleepMs(long long duration);

/// Listens on 127.0.0.1 and serves requests on detached threads until the process ends. Returns the port.
int serveHttp(http_handler handler);

/// Opens a listening socket on 127.0.0.1 and returns it with its port.
std::pair<int, int> listenOnLoopback();

/// Connects to a port of 127.0.0.1. Returns the socket, or -1.
int connectToLoopback(int port);

/// True if the other side has closed the connection.
bool isClosedByPeer(const http_channel &channel);

/// A connection of a client. Not thread-safe.
class http_connection
{
public:
    explicit http_connection(int port)
        : m_port(port)
    {
    }
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// Opens the connection if it is closed.
    bool open();
    bool isOpen() const
    {
        return m_socket >= 0;
    }
    void close();
    /// Sends a request and waits for the response. The status is 0 if none arrived in time.
    http_message call(const std::string &method,
                      const std::string &path,
                      const std::string &host,
                      const std::string &body,
                      int limitMs);

private:
    int m_port;
    int m_socket = -1;
    std::string m_input;
};

/// Returns a port of 127.0.0.1 that is free at the moment.
int freePort();

} // namespace review
