#include "http3.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <random>
#include <stdexcept>
#include <thread>

namespace {

using steady = std::chrono::steady_clock;

sockaddr_in endpointOf(const std::string &ip, int port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &at.sin_addr) != 1 || (ntohl(at.sin_addr.s_addr) >> 24U) != 127) {
        throw std::runtime_error("not a loopback address: " + ip);
    }
    return at;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string decodePercent(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

/// Reads more bytes. Returns false at the end of the channel or at the deadline.
bool readMore(int fd, std::string &buffer, std::optional<steady::time_point> deadline)
{
    int wait = -1;
    if (deadline) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*deadline - steady::now()).count();
        if (left <= 0) {
            return false;
        }
        wait = static_cast<int>(left);
    }
    pollfd one{fd, POLLIN, 0};
    if (poll(&one, 1, wait) <= 0) {
        return false;
    }
    char chunk[16384];
    const ssize_t count = recv(fd, chunk, sizeof chunk, 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(chunk, static_cast<std::size_t>(count));
    return true;
}

struct message {
    std::string first;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Reads one message. Empty at the end of the channel.
std::optional<message> readMessage(int fd, std::string &buffer, std::optional<steady::time_point> deadline)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(fd, buffer, deadline)) {
            return std::nullopt;
        }
    }
    message read;
    std::size_t line = buffer.find("\r\n");
    read.first = buffer.substr(0, line);
    while (line < end) {
        const std::size_t next = buffer.find("\r\n", line + 2);
        const std::string header = buffer.substr(line + 2, next - line - 2);
        const std::size_t colon = header.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < header.size() && header[value] == ' ') {
                ++value;
            }
            read.headers[lower(header.substr(0, colon))] = header.substr(value);
        }
        line = next;
    }
    buffer.erase(0, end + 4);
    if (lower(read.headers["transfer-encoding"]) == "chunked") {
        for (;;) {
            std::size_t eol = 0;
            while ((eol = buffer.find("\r\n")) == std::string::npos) {
                if (!readMore(fd, buffer, deadline)) {
                    return std::nullopt;
                }
            }
            const std::size_t size = std::stoul(buffer.substr(0, eol), nullptr, 16);
            while (buffer.size() < eol + 2 + size + 2) {
                if (!readMore(fd, buffer, deadline)) {
                    return std::nullopt;
                }
            }
            read.body += buffer.substr(eol + 2, size);
            buffer.erase(0, eol + 2 + size + 2);
            if (size == 0) {
                return read;
            }
        }
    }
    const std::string &lengthText = read.headers["content-length"];
    const std::size_t length = lengthText.empty() ? 0 : std::stoul(lengthText);
    while (buffer.size() < length) {
        if (!readMore(fd, buffer, deadline)) {
            return std::nullopt;
        }
    }
    read.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return read;
}

bool writeAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

http_request3 requestOf(const message &read)
{
    http_request3 request;
    const std::size_t space = read.first.find(' ');
    const std::size_t second = read.first.find(' ', space + 1);
    request.method = read.first.substr(0, space);
    std::string target = read.first.substr(space + 1, second - space - 1);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t amp = rest.find('&');
        const std::string pair = rest.substr(0, amp);
        const std::size_t equals = pair.find('=');
        request.query[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : decodePercent(pair.substr(equals + 1));
        rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
    }
    request.headers = read.headers;
    request.body = read.body;
    return request;
}

} // namespace

struct http_server3::shared_state {
    int listener = -1;
    std::mutex mutex;
    std::set<int> channels;
    bool closed = false;
};

http_server3::http_server3(std::string host, http_handler3 answers)
    : ip(std::move(host))
    , handler(std::move(answers))
{
}

http_server3::~http_server3()
{
    close();
}

std::string http_server3::address() const
{
    return ip + ":" + std::to_string(port);
}

void http_server3::open()
{
    auto fresh = std::make_shared<shared_state>();
    fresh->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fresh->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in at = endpointOf(ip, port);
    if (bind(fresh->listener, reinterpret_cast<sockaddr *>(&at), sizeof at) != 0 || listen(fresh->listener, 256) != 0) {
        throw std::runtime_error("cannot listen at " + address() + ": " + std::strerror(errno));
    }
    socklen_t size = sizeof at;
    getsockname(fresh->listener, reinterpret_cast<sockaddr *>(&at), &size);
    port = ntohs(at.sin_port);
    state = fresh;
    std::thread([fresh, answers = handler] {
        for (;;) {
            const int fd = accept4(fresh->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                const std::lock_guard lock(fresh->mutex);
                if (fresh->closed) {
                    ::close(fresh->listener);
                    return;
                }
                continue;
            }
            {
                const std::lock_guard lock(fresh->mutex);
                if (fresh->closed) {
                    ::close(fd);
                    continue;
                }
                fresh->channels.insert(fd);
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([fresh, answers, fd] {
                std::string buffer;
                while (const auto read = readMessage(fd, buffer, std::nullopt)) {
                    const auto reply = answers(requestOf(*read));
                    if (!reply) {
                        while (readMore(fd, buffer, std::nullopt)) { }
                        break;
                    }
                    const std::string text = "HTTP/1.1 " + std::to_string(reply->status)
                        + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(reply->body.size()) + "\r\n\r\n" + reply->body;
                    if (!writeAll(fd, text)) {
                        break;
                    }
                }
                const std::lock_guard lock(fresh->mutex);
                fresh->channels.erase(fd);
                ::close(fd);
            }).detach();
        }
    }).detach();
}

void http_server3::close()
{
    if (!state) {
        return;
    }
    const std::lock_guard lock(state->mutex);
    if (state->closed) {
        return;
    }
    state->closed = true;
    shutdown(state->listener, SHUT_RDWR);
    for (const int fd : state->channels) {
        shutdown(fd, SHUT_RDWR);
    }
}

std::optional<http_reply3> callHttp(const std::string &address,
                                    const std::string &method,
                                    const std::string &target,
                                    const std::map<std::string, std::string> &headers,
                                    const std::string &body,
                                    int limitMs)
{
    const auto deadline = steady::now() + std::chrono::milliseconds(limitMs);
    const std::size_t colon = address.rfind(':');
    sockaddr_in at = endpointOf(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::optional<http_reply3> reply;
    if (connect(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0) {
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        for (const auto &[name, value] : headers) {
            text.append(name).append(": ").append(value).append("\r\n");
        }
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        if (writeAll(fd, text)) {
            if (const auto read = readMessage(fd, buffer, deadline)) {
                reply = http_reply3{std::stoi(read->first.substr(read->first.find(' ') + 1)), read->body};
            }
        }
    }
    ::close(fd);
    return reply;
}

int freePorts(const std::string &ip, int count)
{
    std::random_device entropy;
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int first = 20000 + static_cast<int>(entropy() % 12000);
        bool free = true;
        for (int i = 0; i < count && free; ++i) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in at = endpointOf(ip, first + i);
            free = bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) == 0;
            ::close(fd);
        }
        if (free) {
            return first;
        }
    }
    throw std::runtime_error("no free ports");
}
