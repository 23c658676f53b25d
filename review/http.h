// A small HTTP/1.1 server and client for the stand-ins: one thread for each connection, bodies with Content-Length.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace review {

/// A request or a response. Header names are in lower case.
struct http_message {
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query; ///< Percent-decoded.
    std::map<std::string, std::string> headers;
    std::string body;
    int status = 0; ///< Of a response.
};

/// Answers a request. An empty result resets the connection without an answer.
using http_handler = std::function<std::optional<http_message>(const http_message &)>;

/// Response with a JSON body.
http_message jsonResponse(int status, const std::string &body);

/// Listens on 127.0.0.1 and answers requests until stopped.
class http_server
{
public:
    /// Listens on the port; 0 selects a free one.
    http_server(std::uint16_t port, http_handler handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    /// Closes the listening socket and resets all connections.
    void stop();
    /// Resets a share of the open connections, first those on which a request for the path is being handled. Such a
    /// request is still executed; only its answer is lost.
    void resetConnections(double share, const std::string &path);

private:
    void acceptConnections();
    void serveConnection(int connection);
    void setPath(int connection, const std::string &path);

    http_handler m_handler;
    std::uint16_t m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_stopped = false;
    std::atomic<int> m_open = 0;
    std::mutex m_mutex;
    std::map<int, std::string> m_connections; ///< Sockets, and the path of the request that is being handled.
    std::thread m_thread;
};

/// A client's connection to 127.0.0.1, which stays open between requests.
class http_connection
{
public:
    explicit http_connection(std::uint16_t port);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    bool isOpen() const
    {
        return m_socket >= 0;
    }
    /// Sends a request. Returns false if the connection is broken.
    bool send(const std::string &method, const std::string &path, const std::string &host, const std::string &body);
    /// Waits for the response. Returns nothing if the connection ends or the limit passes; see `ended`.
    std::optional<http_message> receive(int limitMs);
    /// True if the peer has ended the connection.
    bool ended() const
    {
        return m_ended;
    }
    void close();

private:
    int m_socket = -1;
    bool m_ended = false;
    std::string m_buffer;
};

/// A port of 127.0.0.1 that is free now, with `count` - 1 free ports after it.
std::uint16_t findFreePorts(unsigned count);

} // namespace review
