#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <thread>

namespace review {

namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

void readTarget(http_message &message, const std::string &target)
{
    const std::size_t mark = target.find('?');
    message.path = target.substr(0, mark);
    if (mark == std::string::npos) {
        return;
    }
    std::istringstream fields(target.substr(mark + 1));
    std::string field;
    while (std::getline(fields, field, '&')) {
        const std::size_t equals = field.find('=');
        message.query[field.substr(0, equals)] =
            equals == std::string::npos ? "" : decodePercent(field.substr(equals + 1));
    }
}

/// Takes a whole message from the front of the input. Returns false if it is incomplete.
bool takeMessage(std::string &input, http_message &message)
{
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    std::istringstream head(input.substr(0, end));
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    std::string one;
    std::string two;
    first >> one >> two;
    message = {};
    if (one.rfind("HTTP/", 0) == 0) {
        message.status = std::stoi(two);
    } else {
        message.method = one;
        readTarget(message, two);
    }
    while (std::getline(head, line)) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of("\r ") + 1);
        message.headers[name] = value;
    }
    const auto length = message.headers.find("content-length");
    const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
    if (input.size() < end + 4 + size) {
        return false;
    }
    message.body = input.substr(end + 4, size);
    input.erase(0, end + 4 + size);
    return true;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool receiveSome(int socket, std::string &input)
{
    char buffer[65536];
    const ssize_t count = recv(socket, buffer, sizeof(buffer), 0);
    if (count <= 0) {
        return false;
    }
    input.append(buffer, static_cast<std::size_t>(count));
    return true;
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void serveChannel(http_channel channel, const http_handler &handler)
{
    setNoDelay(channel.socket);
    std::string input;
    http_message request;
    while (true) {
        while (!takeMessage(input, request)) {
            if (!receiveSome(channel.socket, input)) {
                close(channel.socket);
                return;
            }
        }
        http_message response;
        response.status = 200;
        const http_outcome outcome = handler(channel, request, response);
        if (outcome == http_outcome::Reset) {
            const linger immediate{1, 0};
            setsockopt(channel.socket, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
            close(channel.socket);
            return;
        }
        if (outcome == http_outcome::Silent) {
            // Silent for good: read and discard until the other side closes.
            std::string ignored;
            while (receiveSome(channel.socket, ignored)) {
                ignored.clear();
            }
            close(channel.socket);
            return;
        }
        std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(channel.socket, bytes)) {
            close(channel.socket);
            return;
        }
    }
}

} // namespace

long long nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

void sleepMs(long long duration)
{
    if (duration > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(duration));
    }
}

std::pair<int, int> listenOnLoopback()
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(0);
    if (bind(listener, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0 || listen(listener, 512) != 0) {
        std::abort();
    }
    socklen_t size = sizeof(at);
    getsockname(listener, reinterpret_cast<sockaddr *>(&at), &size);
    return {listener, ntohs(at.sin_port)};
}

int connectToLoopback(int port)
{
    const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback(port);
    if (connect(opened, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0) {
        ::close(opened);
        return -1;
    }
    setNoDelay(opened);
    return opened;
}

int serveHttp(http_handler handler)
{
    const auto [listener, port] = listenOnLoopback();
    std::thread([listener = listener, handler = std::move(handler)] {
        while (true) {
            const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            std::thread(serveChannel, http_channel{accepted, nowMs()}, handler).detach();
        }
    }).detach();
    return port;
}

bool isClosedByPeer(const http_channel &channel)
{
    char byte = 0;
    const ssize_t count = recv(channel.socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

http_connection::~http_connection()
{
    close();
}

bool http_connection::open()
{
    if (m_socket >= 0) {
        return true;
    }
    m_input.clear();
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback(m_port);
    if (connect(m_socket, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0) {
        close();
        return false;
    }
    setNoDelay(m_socket);
    return true;
}

void http_connection::close()
{
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

http_message http_connection::call(
    const std::string &method, const std::string &path, const std::string &host, const std::string &body, int limitMs)
{
    http_message response;
    if (!open()) {
        return response;
    }
    const std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: " + host
        + "\r\nContent-Type: application/json\r\nSesamespar-Deadline-Ms: " + std::to_string(limitMs)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const long long deadline = nowMs() + limitMs;
    if (!sendAll(m_socket, bytes)) {
        close();
        return response;
    }
    while (!takeMessage(m_input, response)) {
        pollfd ready{m_socket, POLLIN, 0};
        const int left = static_cast<int>(deadline - nowMs());
        if (left <= 0 || poll(&ready, 1, left) <= 0 || !receiveSome(m_socket, m_input)) {
            close();
            return {};
        }
    }
    const auto connection = response.headers.find("connection");
    if (connection != response.headers.end() && connection->second == "close") {
        close();
    }
    return response;
}

int freePort()
{
    // Below the range of ports that outgoing connections use, so that no connection takes the port meanwhile.
    static int next = 12000 + (static_cast<int>(getpid()) * 37) % 18000;
    while (true) {
        const int port = next++;
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = loopback(port);
        const bool isFree = bind(probe, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) == 0;
        close(probe);
        if (isFree) {
            return port;
        }
    }
}

} // namespace review
