#include "connection/http_guard.h"

#include "base/log.h"
#include "connection/codec.h"
#include "connection/http_head.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <thread>
#include <unordered_set>

namespace sesamespar {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Size of a connection's read buffer. With the head and body limits it bounds the memory of a connection.
constexpr std::size_t readBufferBytes = 16384;
/// Connections above the limit that are answered with status 503 at the same time; any more are closed at once.
constexpr std::size_t maxRejectedConnections = 256;
/// Delay after a failed accept, for example when the process has run out of file descriptors.
constexpr milliseconds acceptRetryDelay{100};
constexpr std::string_view headTerminator = "\r\n\r\n";

class guard_connection;

} // namespace

struct http_guard {
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    tcp::acceptor acceptor{context};
    asio::steady_timer acceptTimer{context};
    tcp::endpoint upstream;
    guard_limits limits;
    address bound;
    std::unordered_set<guard_connection *> connections;
    std::atomic<std::size_t> openRequestCount = 0;
    std::atomic<bool> refusing = false;
    std::atomic<bool> stopped = false;
    std::thread thread;

    http_guard() = default;
    http_guard(const http_guard &) = delete;
    http_guard &operator=(const http_guard &) = delete;
    ~http_guard()
    {
        stopHttpGuard(*this);
    }
};

namespace {

/// State of a connection; determines what happens when its deadline passes.
enum class connection_phase {
    Idle,
    Reading,
    Answering,
    Writing,
    Lingering,
};

/// A caller's connection and the upstream connection to the library that serves its requests. Lives as long as an
/// asynchronous operation on it is pending. Runs only on the guard's thread.
class guard_connection : public std::enable_shared_from_this<guard_connection>
{
public:
    guard_connection(http_guard &guard, tcp::socket caller)
        : m_guard(guard)
        , m_caller(std::move(caller))
        , m_upstream(guard.context)
        , m_deadline(guard.context)
    {
        m_guard.connections.insert(this);
    }

    ~guard_connection()
    {
        endRequest();
        m_guard.connections.erase(this);
    }

    guard_connection(const guard_connection &) = delete;
    guard_connection &operator=(const guard_connection &) = delete;

    void start()
    {
        error_code ignored;
        m_caller.set_option(tcp::no_delay(true), ignored);
        setDeadline(connection_phase::Reading, m_guard.limits.request);
        readHead();
    }

    void reject()
    {
        sendError({503, "too many connections; the request was not run"});
    }

    void close()
    {
        error_code ignored;
        m_deadline.cancel(ignored);
        m_caller.close(ignored);
        m_upstream.close(ignored);
    }

private:
    void setDeadline(connection_phase phase, milliseconds limit)
    {
        m_phase = phase;
        m_deadline.expires_after(limit);
        m_deadline.async_wait([self = shared_from_this()](const error_code &cancelled) {
            // This handler may have been queued before the deadline was moved; it must not act on the new deadline.
            if (!cancelled && self->m_deadline.expiry() <= std::chrono::steady_clock::now()) {
                self->handleDeadline();
            }
        });
    }

    void handleDeadline()
    {
        if (m_phase == connection_phase::Reading) {
            error_code ignored;
            m_caller.cancel(ignored);
            sendError({408, "the request was not received completely within the time limit"});
        } else if (m_phase == connection_phase::Answering) {
            error_code ignored;
            m_upstream.close(ignored);
            sendError({504, "no answer within the time limit; the outcome is unknown"});
        } else {
            close();
        }
    }

    /// Reads until the input has a complete head.
    void readHead()
    {
        while (m_input.starts_with("\r\n")) {
            m_input.erase(0, 2);
        }
        const std::size_t end = m_input.find(headTerminator);
        const std::size_t bytes = end == std::string::npos ? m_input.size() : end + headTerminator.size();
        if (bytes > maxHeadBytes || (end == std::string::npos && bytes == maxHeadBytes)) {
            sendError({431, "the request head must have at most " + std::to_string(maxHeadBytes) + " bytes"});
        } else if (end != std::string::npos) {
            handleHead(bytes);
        } else {
            readMore([this] { readHead(); });
        }
    }

    /// Appends the next bytes of the caller to the input, then calls `next` unless an answer is already being written.
    template<typename Next>
    void readMore(Next next)
    {
        m_caller.async_read_some(
            asio::buffer(m_readBuffer),
            [this, self = shared_from_this(), next](const error_code &failure, std::size_t bytes) {
                if (failure && (m_phase == connection_phase::Reading || m_phase == connection_phase::Idle)) {
                    close();
                }
                if (failure || m_phase == connection_phase::Writing || m_phase == connection_phase::Lingering) {
                    return;
                }
                if (m_phase == connection_phase::Idle) {
                    setDeadline(connection_phase::Reading, m_guard.limits.request);
                }
                m_input.append(m_readBuffer.data(), bytes);
                next();
            });
    }

    void handleHead(std::size_t bytes)
    {
        auto parsed = parseRequestHead(std::string_view(m_input).substr(0, bytes), m_guard.limits.bodyBytes);
        if (const auto *fault = std::get_if<head_error>(&parsed)) {
            sendError(*fault);
            return;
        }
        m_head = std::get<request_head>(std::move(parsed));
        m_input.erase(0, bytes);
        if (m_head.expectsContinue && m_input.size() < m_head.bodyBytes) {
            m_output = "HTTP/1.1 100 Continue\r\n\r\n";
            writeOutput([this] { readBody(); });
        } else {
            readBody();
        }
    }

    void readBody()
    {
        if (m_input.size() < m_head.bodyBytes) {
            readMore([this] { readBody(); });
            return;
        }
        m_countedAsOpen = true;
        ++m_guard.openRequestCount;
        if (m_guard.refusing) {
            sendError({503, "this daemon is shutting down; the request was not run"});
            return;
        }
        setDeadline(connection_phase::Answering, m_guard.limits.answer);
        forwardRequest();
    }

    /// Sends the request to the library, over the upstream connection of the previous request if it is still open.
    void forwardRequest()
    {
        m_output = m_head.method + ' ' + m_head.target
            + " HTTP/1.1\r\nHost: localhost\r\nContent-Length: " + std::to_string(m_head.bodyBytes) + "\r\n";
        if (!m_head.authorization.empty()) {
            m_output += "Authorization: " + m_head.authorization + "\r\n";
        }
        m_output += "\r\n" + m_input.substr(0, m_head.bodyBytes);
        m_input.erase(0, m_head.bodyBytes);
        if (m_upstream.is_open()) {
            writeUpstream();
            return;
        }
        m_upstream.async_connect(m_guard.upstream, [this, self = shared_from_this()](const error_code &failure) {
            if (m_phase != connection_phase::Answering) {
                return;
            }
            if (failure) {
                sendError({503, "the request could not be forwarded; it was not run"});
                return;
            }
            error_code ignored;
            m_upstream.set_option(tcp::no_delay(true), ignored);
            writeUpstream();
        });
    }

    void writeUpstream()
    {
        asio::async_write(m_upstream,
                          asio::buffer(m_output),
                          [this, self = shared_from_this()](const error_code &failure, std::size_t) {
                              if (m_phase != connection_phase::Answering) {
                                  return;
                              }
                              m_answer.clear();
                              failure ? sendOutcomeUnknown() : readAnswerHead();
                          });
    }

    void sendOutcomeUnknown()
    {
        sendError({504, "no valid answer was received; the outcome is unknown"});
    }

    void readAnswerHead()
    {
        m_upstream.async_read_some(asio::buffer(m_readBuffer),
                                   [this, self = shared_from_this()](const error_code &failure, std::size_t bytes) {
                                       if (m_phase != connection_phase::Answering) {
                                           return;
                                       }
                                       m_answer.append(m_readBuffer.data(), bytes);
                                       const std::size_t end = m_answer.find(headTerminator);
                                       if (end != std::string::npos) {
                                           handleAnswerHead(end + headTerminator.size());
                                       } else if (failure || m_answer.size() > maxHeadBytes) {
                                           sendOutcomeUnknown();
                                       } else {
                                           readAnswerHead();
                                       }
                                   });
    }

    void handleAnswerHead(std::size_t bytes)
    {
        auto head = parseResponseHead(std::string_view(m_answer).substr(0, bytes));
        const std::size_t bodyReceived = m_answer.size() - bytes;
        if (!head || bodyReceived > head->bodyBytes) {
            sendOutcomeUnknown();
            return;
        }
        m_closeAfterAnswer = !m_head.keepAlive || m_guard.refusing;
        m_output = head->lines + (m_closeAfterAnswer ? "Connection: close\r\n\r\n" : "Connection: keep-alive\r\n\r\n")
            + m_answer.substr(bytes);
        m_answerRemaining = head->bodyBytes - bodyReceived;
        m_closeUpstreamAfterAnswer = !head->keepAlive;
        setDeadline(connection_phase::Writing, m_guard.limits.write);
        writeOutput([this] { relayAnswer(); });
    }

    /// Forwards the body of the answer one buffer at a time, so that a slow reader does not make the guard hold the
    /// complete answer.
    void relayAnswer()
    {
        if (m_answerRemaining == 0) {
            finishAnswer();
            return;
        }
        const std::size_t wanted = std::min<std::uint64_t>(m_answerRemaining, m_readBuffer.size());
        m_upstream.async_read_some(asio::buffer(m_readBuffer.data(), wanted),
                                   [this, self = shared_from_this()](const error_code &failure, std::size_t bytes) {
                                       if (failure) {
                                           close();
                                           return;
                                       }
                                       m_answerRemaining -= bytes;
                                       m_output.assign(m_readBuffer.data(), bytes);
                                       writeOutput([this] { relayAnswer(); });
                                   });
    }

    template<typename Next>
    void writeOutput(Next next)
    {
        asio::async_write(m_caller,
                          asio::buffer(m_output),
                          [this, self = shared_from_this(), next](const error_code &failure, std::size_t) {
                              if (failure) {
                                  close();
                                  return;
                              }
                              next();
                          });
    }

    void finishAnswer()
    {
        endRequest();
        if (m_closeUpstreamAfterAnswer) {
            error_code ignored;
            m_upstream.close(ignored);
        }
        if (m_closeAfterAnswer) {
            linger();
        } else {
            setDeadline(m_input.empty() ? connection_phase::Idle : connection_phase::Reading,
                        m_input.empty() ? m_guard.limits.idle : m_guard.limits.request);
            readHead();
        }
    }

    void sendError(const head_error &fault)
    {
        const std::string body = encodeError(fault.problem);
        m_output = "HTTP/1.1 " + std::to_string(fault.status) + ' ' + std::string(reasonPhrase(fault.status))
            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + (fault.status == 503 ? "\r\nRetry-After: 1" : "") + "\r\nConnection: close\r\n\r\n" + body;
        setDeadline(connection_phase::Writing, m_guard.limits.linger);
        writeOutput([this] {
            endRequest();
            linger();
        });
    }

    /// Ends the connection without a reset. Closing a socket with unread input would make the kernel send a reset,
    /// which discards an answer that the caller has not read yet.
    void linger()
    {
        error_code ignored;
        m_caller.shutdown(tcp::socket::shutdown_send, ignored);
        m_upstream.close(ignored);
        setDeadline(connection_phase::Lingering, m_guard.limits.linger);
        discardInput();
    }

    void discardInput()
    {
        m_caller.async_read_some(asio::buffer(m_readBuffer),
                                 [this, self = shared_from_this()](const error_code &failure, std::size_t) {
                                     failure ? close() : discardInput();
                                 });
    }

    /// Stops counting the request as open.
    void endRequest()
    {
        if (std::exchange(m_countedAsOpen, false)) {
            --m_guard.openRequestCount;
        }
    }

    http_guard &m_guard;
    tcp::socket m_caller;
    tcp::socket m_upstream;
    asio::steady_timer m_deadline;
    connection_phase m_phase = connection_phase::Reading;
    std::array<char, readBufferBytes> m_readBuffer{};
    std::string m_input; ///< Received from the caller and not yet consumed.
    std::string m_output; ///< Being written to the caller or upstream.
    std::string m_answer; ///< Received from upstream until the head of the answer is complete.
    std::uint64_t m_answerRemaining = 0;
    request_head m_head;
    bool m_countedAsOpen = false;
    bool m_closeAfterAnswer = false;
    bool m_closeUpstreamAfterAnswer = false;
};

void acceptNext(http_guard &guard);

void handleAccept(http_guard &guard, tcp::socket caller)
{
    const std::size_t connectionCount = guard.connections.size();
    if (connectionCount >= guard.limits.connections + maxRejectedConnections) {
        return;
    }
    const auto connection = std::make_shared<guard_connection>(guard, std::move(caller));
    if (connectionCount >= guard.limits.connections) {
        connection->reject();
    } else {
        connection->start();
    }
}

void acceptNext(http_guard &guard)
{
    guard.acceptor.async_accept([&guard](const error_code &failure, tcp::socket caller) {
        if (guard.stopped) {
            return;
        }
        if (!failure) {
            handleAccept(guard, std::move(caller));
            acceptNext(guard);
            return;
        }
        log_event("accept_failed", log_level::Warning).with("reason", failure.message());
        guard.acceptTimer.expires_after(acceptRetryDelay);
        guard.acceptTimer.async_wait([&guard](const error_code &cancelled) {
            if (!cancelled) {
                acceptNext(guard);
            }
        });
    });
}

/// Endpoint of IP:PORT or [IP6]:PORT.
std::optional<tcp::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    error_code failure;
    const auto ip = asio::ip::make_address(host, failure);
    if (failure || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

/// Opens the acceptor. Returns nothing on success, otherwise the error message.
std::optional<std::string> listenOn(http_guard &guard, const address &listen)
{
    const auto endpoint = parseEndpoint(listen.value);
    if (!endpoint) {
        return "is not of the form IP:PORT";
    }
    try {
        guard.acceptor.open(endpoint->protocol());
        guard.acceptor.set_option(tcp::acceptor::reuse_address(true));
        guard.acceptor.bind(*endpoint);
        guard.acceptor.listen();
        const auto port = guard.acceptor.local_endpoint().port();
        guard.bound.value = listen.value.substr(0, listen.value.rfind(':') + 1) + std::to_string(port);
        return std::nullopt;
    } catch (const std::exception &problem) {
        return problem.what();
    }
}

} // namespace

result<std::shared_ptr<http_guard>>
startHttpGuard(const address &listen, std::uint16_t port, const guard_limits &limits)
{
    auto guard = std::make_shared<http_guard>();
    guard->limits = limits;
    guard->upstream = tcp::endpoint(asio::ip::address_v4::loopback(), port);
    if (const auto problem = listenOn(*guard, listen)) {
        return makeError(error_kind::InvalidInput, "http address " + listen.value + ": " + *problem);
    }
    acceptNext(*guard);
    guard->thread = std::thread([context = &guard->context] { context->run(); });
    return guard;
}

address boundAddress(const http_guard &guard)
{
    return guard.bound;
}

void refuseNewRequests(http_guard &guard)
{
    guard.refusing = true;
}

std::size_t openRequests(const http_guard &guard)
{
    return guard.openRequestCount;
}

void stopHttpGuard(http_guard &guard)
{
    if (guard.stopped.exchange(true) || !guard.thread.joinable()) {
        return;
    }
    asio::post(guard.context, [&guard] {
        error_code ignored;
        guard.acceptor.close(ignored);
        guard.acceptTimer.cancel(ignored);
        for (guard_connection *connection : guard.connections) {
            connection->close();
        }
        guard.work.reset();
    });
    guard.thread.join();
}

} // namespace sesamespar
