#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <random>
#include <set>
#include <stdexcept>

namespace review {

namespace {

constexpr std::size_t readBytes = 65536;
constexpr int backlog = 512;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

void readTarget(const std::string &target, http_message &message)
{
    const std::size_t mark = target.find('?');
    message.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) {
            message.query[decodePercent(pair.substr(0, equals))] = decodePercent(pair.substr(equals + 1));
        }
    }
}

void readStartLine(const std::string &line, http_message &message)
{
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    if (line.starts_with("HTTP/")) {
        message.status = std::stoi(line.substr(first + 1, 3));
        return;
    }
    message.method = line.substr(0, first);
    readTarget(line.substr(first + 1, second - first - 1), message);
}

/// Removes a whole message from the front of the buffer, if there is one.
std::optional<http_message> takeMessage(std::string &buffer)
{
    const std::size_t headEnd = buffer.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return std::nullopt;
    }
    http_message message;
    std::size_t lineStart = 0;
    bool first = true;
    while (lineStart < headEnd) {
        const std::size_t lineEnd = std::min(buffer.find("\r\n", lineStart), headEnd);
        const std::string line = buffer.substr(lineStart, lineEnd - lineStart);
        lineStart = lineEnd + 2;
        if (first) {
            readStartLine(line, message);
            first = false;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t valueStart = line.find_first_not_of(' ', colon + 1);
            message.headers[lowerCase(line.substr(0, colon))] =
                valueStart == std::string::npos ? std::string() : line.substr(valueStart);
        }
    }
    const auto length = message.headers.find("content-length");
    const std::size_t bodyBytes = length == message.headers.end() ? 0 : std::stoul(length->second);
    constexpr std::size_t separatorBytes = 4;
    if (buffer.size() < headEnd + separatorBytes + bodyBytes) {
        return std::nullopt;
    }
    message.body = buffer.substr(headEnd + separatorBytes, bodyBytes);
    buffer.erase(0, headEnd + separatorBytes + bodyBytes);
    return message;
}

/// Ends a connection with a reset. Its thread closes the socket.
void resetSocket(int socket)
{
    const linger reset{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(socket, SHUT_RDWR);
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string encodeResponse(const http_message &response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n";
    for (const auto &[name, value] : response.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "content-length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

} // namespace

http_message jsonResponse(int status, const std::string &body)
{
    http_message response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.body = body;
    return response;
}

http_server::http_server(std::uint16_t port, http_handler handler)
    : m_handler(std::move(handler))
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(m_listener, backlog) != 0) {
        ::close(m_listener);
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    socklen_t size = sizeof(address);
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { acceptConnections(); });
}

http_server::~http_server()
{
    stop();
}

void http_server::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[connection, path] : m_connections) {
            resetSocket(connection);
        }
    }
    while (m_open > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void http_server::acceptConnections()
{
    while (!m_stopped) {
        const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            continue;
        }
        setNoDelay(connection);
        {
            const std::lock_guard lock(m_mutex);
            m_connections[connection];
        }
        ++m_open;
        std::thread([this, connection] { serveConnection(connection); }).detach();
    }
}

void http_server::serveConnection(int connection)
{
    std::string buffer;
    std::string chunk(readBytes, '\0');
    bool open = true;
    while (open && !m_stopped) {
        const ssize_t count = recv(connection, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            break;
        }
        buffer.append(chunk.data(), static_cast<std::size_t>(count));
        while (open) {
            const auto request = takeMessage(buffer);
            if (!request) {
                break;
            }
            setPath(connection, request->path);
            const auto response = m_handler(*request);
            setPath(connection, {});
            if (!response) {
                resetSocket(connection);
            }
            open = response && !m_stopped && sendAll(connection, encodeResponse(*response));
        }
    }
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
        ::close(connection);
    }
    --m_open;
}

void http_server::setPath(int connection, const std::string &path)
{
    const std::lock_guard lock(m_mutex);
    m_connections[connection] = path;
}

void http_server::resetConnections(double share, const std::string &path)
{
    const std::lock_guard lock(m_mutex);
    auto left = static_cast<std::size_t>(share * static_cast<double>(m_connections.size()));
    for (const bool handled : {true, false}) {
        for (const auto &[connection, current] : m_connections) {
            if ((current == path) == handled && left > 0) {
                resetSocket(connection);
                --left;
            }
        }
    }
}

http_connection::http_connection(std::uint16_t port)
{
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close();
        return;
    }
    setNoDelay(m_socket);
}

http_connection::~http_connection()
{
    close();
}

void http_connection::close()
{
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

bool http_connection::send(const std::string &method,
                           const std::string &path,
                           const std::string &host,
                           const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    if (!body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return isOpen() && sendAll(m_socket, text);
}

std::optional<http_message> http_connection::receive(int limitMs)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
    std::string chunk(readBytes, '\0');
    while (isOpen()) {
        if (auto message = takeMessage(m_buffer)) {
            return message;
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        pollfd ready{m_socket, POLLIN, 0};
        if (left.count() <= 0 || poll(&ready, 1, static_cast<int>(left.count())) == 0) {
            return std::nullopt;
        }
        const ssize_t count = recv(m_socket, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            m_ended = true;
            close();
            return std::nullopt;
        }
        m_buffer.append(chunk.data(), static_cast<std::size_t>(count));
    }
    return std::nullopt;
}

std::uint16_t findFreePorts(unsigned count)
{
    constexpr unsigned lowest = 20000;
    constexpr unsigned highest = 30000;
    static std::mt19937 random{std::random_device{}()};
    static std::set<unsigned> used;
    for (;;) {
        const unsigned first = std::uniform_int_distribution<unsigned>(lowest, highest)(random);
        bool free = true;
        for (unsigned port = first; port < first + count && free; ++port) {
            const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = loopback(static_cast<std::uint16_t>(port));
            free =
                !used.contains(port) && bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
            ::close(probe);
        }
        if (free) {
            for (unsigned port = first; port < first + count; ++port) {
                used.insert(port);
            }
            return static_cast<std::uint16_t>(first);
        }
    }
}

} // namespace review
