// A caller on a plain socket, which can send input that no HTTP client sends, and a function that waits for a
// condition.
#pragma once

#include "connection/front_end.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace sesamespar {

/// Longest time that a test waits for a condition before it reports a failure.
constexpr std::chrono::seconds testTimeout{60};

/// Waits until a condition holds. Returns false if it does not hold within the test timeout.
template<typename Condition>
bool waitUntil(Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + testTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::yield();
    }
    return true;
}

/// A connection with blocking calls.
class raw_caller
{
public:
    explicit raw_caller(const address &to)
        : m_socket(m_context)
    {
        const std::size_t colon = to.value.rfind(':');
        const auto port = static_cast<std::uint16_t>(std::stoi(to.value.substr(colon + 1)));
        m_socket.connect({boost::asio::ip::make_address(to.value.substr(0, colon)), port});
        m_socket.set_option(boost::asio::ip::tcp::no_delay(true));
    }

    /// Returns false if the peer has closed the connection.
    bool send(const std::string &bytes)
    {
        boost::system::error_code failure;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), failure);
        return !failure;
    }

    /// Reads until the peer closes the connection.
    std::string readAll()
    {
        boost::system::error_code ended;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_input), ended);
        return std::exchange(m_input, {});
    }

    /// Reads one answer, head and body. The body length is that of Content-Length. Returns the bytes received so far if
    /// the connection ends earlier.
    std::string readAnswer()
    {
        boost::system::error_code failure;
        const std::size_t head =
            boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(m_input), "\r\n\r\n", failure);
        if (failure) {
            return std::exchange(m_input, {});
        }
        const std::string name = "Content-Length: ";
        const std::size_t length = m_input.find(name);
        const std::size_t body = length < head ? std::stoul(m_input.substr(length + name.size())) : 0;
        if (m_input.size() < head + body) {
            const std::size_t missing = head + body - m_input.size();
            boost::asio::read(
                m_socket, boost::asio::dynamic_buffer(m_input), boost::asio::transfer_exactly(missing), failure);
        }
        std::string answer = m_input.substr(0, head + body);
        m_input.erase(0, head + body);
        return answer;
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_input;
};

const std::string testCallerSecret = "caller-secret-0123";
const std::string testOperatorSecret = "operator-secret-0123";

/// Settings of a daemon whose HTTP port the kernel chooses.
inline daemon_settings testSettings()
{
    daemon_settings settings;
    settings.name.value = "a";
    settings.http.value = "127.0.0.1:0";
    settings.callerSecret = testCallerSecret;
    settings.operatorSecret = testOperatorSecret;
    return settings;
}

/// Formats a request with a bearer secret.
inline std::string makeRequest(const std::string &method,
                               const std::string &target,
                               const std::string &body = {},
                               const std::string &secret = testCallerSecret)
{
    return method + ' ' + target + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + secret
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Status of an answer; 0 if it has no status line.
inline int statusOf(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 ") ? std::stoi(answer.substr(9, 3)) : 0;
}

inline std::string bodyOf(const std::string &answer)
{
    const std::size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? std::string() : answer.substr(end + 4);
}

} // namespace sesamespar
