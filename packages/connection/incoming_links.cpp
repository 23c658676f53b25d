#include "connection/incoming_links.h"

#include "base/error_boundary.h"
#include "base/log.h"
#include "base/time.h"
#include "connection/socket_options.h"
#include "version/host_port.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace sesamespar {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Delay of an acknowledgement, so that one serves many packets. Well below the time after which a sender considers a
/// connection silent.
constexpr milliseconds acknowledgementDelay{150};
/// Received bytes that are acknowledged at once, since the sender waits for an acknowledgement after 1 MB.
constexpr std::size_t acknowledgeAtOnce = std::size_t{128} * 1024;
/// Time for a hello to arrive on a new connection.
constexpr milliseconds helloLimit{5000};
/// Maximum number of connections. Twice the largest planned number of daemons, since a replaced connection lingers.
constexpr std::size_t maxConnections = 2048;
/// Number of known links above which those without a connection are forgotten, and the time for which they are kept.
/// Senders resend nothing that is older than 3 s.
constexpr std::size_t maxKnownLinks = 4096;
constexpr milliseconds knownFor{10000};
/// Pause after a failed accept, for example when the process has run out of file descriptors.
constexpr milliseconds acceptPause{100};
constexpr std::size_t readBytes = std::size_t{64} * 1024;

} // namespace

/// A connection of an incoming link. Kept alive by the set of connections and by pending operations.
struct incoming_connection : std::enable_shared_from_this<incoming_connection> {
    incoming_connection(incoming_links &owner, tcp::socket accepted)
        : links(owner)
        , socket(std::move(accepted))
        , timer(owner.context)
    {
    }

    incoming_links &links;
    tcp::socket socket;
    asio::steady_timer timer; ///< Of the hello, then of the acknowledgement.
    bool timerArmed = false;
    std::optional<link_id> link; ///< Set by the hello.
    std::optional<packet_number> next; ///< Number of the next packet; set by the first number.
    std::string input; ///< Received, incomplete.
    std::size_t unacknowledged = 0; ///< Bytes of frames.
    bool writing = false;
    std::string output; ///< Being written.
    bool closed = false;
};

namespace {

using connection_ref = std::shared_ptr<incoming_connection>;

void closeConnection(const connection_ref &connection)
{
    if (connection->closed) {
        return;
    }
    connection->closed = true;
    error_code ignored;
    connection->socket.close(ignored);
    connection->timer.cancel();
    incoming_links &links = connection->links;
    if (connection->link) {
        const auto known = links.links.find(*connection->link);
        if (known != links.links.end() && known->second.connection == connection.get()) {
            known->second.connection = nullptr;
            known->second.closedAt = std::chrono::steady_clock::now();
        }
    }
    links.connections.erase(connection);
}

void refuseConnection(const connection_ref &connection, const std::string &problem)
{
    const std::uint64_t count = ++connection->links.connectionsRefused;
    if (shouldLogOccurrence(count)) {
        log_event("link_connection_refused", log_level::Warning).with("problem", problem).with("count", count);
    }
    closeConnection(connection);
}

void acknowledge(const connection_ref &connection);

void write(const connection_ref &connection, std::string bytes)
{
    connection->writing = true;
    connection->output = std::move(bytes);
    asio::async_write(
        connection->socket, asio::buffer(connection->output), [connection](const error_code &code, std::size_t) {
            connection->writing = false;
            if (code) {
                closeConnection(connection);
            } else if (connection->unacknowledged >= acknowledgeAtOnce) {
                acknowledge(connection);
            }
        });
}

void acknowledge(const connection_ref &connection)
{
    if (connection->closed || connection->writing || connection->unacknowledged == 0) {
        return;
    }
    const auto bytes = static_cast<std::uint32_t>(std::exchange(connection->unacknowledged, 0));
    write(connection, encodeAcknowledgement(bytes));
}

void scheduleAcknowledgement(const connection_ref &connection)
{
    if (connection->unacknowledged >= acknowledgeAtOnce) {
        acknowledge(connection);
        return;
    }
    if (connection->timerArmed || connection->unacknowledged == 0) {
        return;
    }
    connection->timerArmed = true;
    connection->timer.expires_after(acknowledgementDelay);
    connection->timer.async_wait([connection](const error_code &cancelled) {
        if (cancelled) {
            return;
        }
        connection->timerArmed = false;
        acknowledge(connection);
        // A write that was in progress has postponed the acknowledgement.
        scheduleAcknowledgement(connection);
    });
}

void forgetOldLinks(incoming_links &links)
{
    if (links.links.size() < maxKnownLinks) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(links.links, [now](const auto &entry) {
        return entry.second.connection == nullptr && now > entry.second.closedAt + knownFor;
    });
}

/// Makes the connection the current one of its link. An earlier one is closed first, so that no packet of it can be
/// passed on after the welcome says which packets were.
void handleHello(const connection_ref &connection, const link_hello &hello)
{
    incoming_links &links = connection->links;
    forgetOldLinks(links);
    received_link &known = links.links[hello.link];
    if (known.connection != nullptr) {
        closeConnection(known.connection->shared_from_this());
    }
    known.connection = connection.get();
    connection->link = hello.link;
    connection->timer.cancel();
    connection->timerArmed = false;
    write(connection, encodeWelcome({links.self, known.delivered}));
    if (hello.afterSilence && links.onSilence) {
        links.onSilence(hello.from);
    }
}

void handlePacket(const connection_ref &connection, std::string_view packet)
{
    incoming_links &links = connection->links;
    received_link &known = links.links[*connection->link];
    const packet_number number = *connection->next;
    ++connection->next->value;
    if (number <= known.delivered) {
        return;
    }
    known.delivered = number;
    links.bytesReceived += packet.size();
    runContained("packet", {}, [&] { links.sink(packet); });
}

/// Handles the received bytes. Errors: InvalidInput if they break the protocol.
result<void> handleInput(const connection_ref &connection)
{
    std::string &input = connection->input;
    if (!connection->link) {
        const auto hello = takeHello(input);
        if (!hello) {
            return hello.error();
        }
        if (!hello.value()) {
            return boost::outcome_v2::success();
        }
        handleHello(connection, *hello.value());
    }
    if (!connection->next) {
        connection->next = takeFirstNumber(input);
        if (!connection->next) {
            return boost::outcome_v2::success();
        }
        connection->unacknowledged = input.size();
    }
    const auto taken = takeFrames(input, [&connection](std::string_view packet) { handlePacket(connection, packet); });
    if (!taken) {
        return taken.error();
    }
    return boost::outcome_v2::success();
}

void waitForInput(const connection_ref &connection);

void readInput(const connection_ref &connection)
{
    incoming_links &links = connection->links;
    error_code code;
    const std::size_t count = connection->socket.read_some(asio::buffer(links.buffer), code);
    if (code == asio::error::would_block) {
        waitForInput(connection);
        return;
    }
    if (code) {
        closeConnection(connection);
        return;
    }
    connection->input.append(links.buffer.data(), count);
    // Bytes of a frame that is not complete count as well: they show that the connection passes data.
    connection->unacknowledged += connection->next ? count : 0;
    const auto handled = handleInput(connection);
    if (connection->closed) {
        return;
    }
    if (!handled) {
        refuseConnection(connection, handled.error().message);
        return;
    }
    scheduleAcknowledgement(connection);
    waitForInput(connection);
}

void waitForInput(const connection_ref &connection)
{
    connection->socket.async_wait(tcp::socket::wait_read, [connection](const error_code &code) {
        if (!code && !connection->closed) {
            readInput(connection);
        } else {
            closeConnection(connection);
        }
    });
}

void startConnection(incoming_links &links, tcp::socket socket)
{
    const auto connection = std::make_shared<incoming_connection>(links, std::move(socket));
    links.connections.insert(connection);
    if (links.connections.size() > maxConnections) {
        refuseConnection(connection, "too many connections");
        return;
    }
    setLinkOptions(connection->socket);
    error_code ignored;
    connection->socket.non_blocking(true, ignored);
    connection->timerArmed = true;
    connection->timer.expires_after(helloLimit);
    connection->timer.async_wait([connection](const error_code &cancelled) {
        if (!cancelled && !connection->link) {
            refuseConnection(connection, "no hello in time");
        }
    });
    waitForInput(connection);
}

void acceptNext(incoming_links &links)
{
    links.acceptor.async_accept([&links](const error_code &code, tcp::socket socket) {
        if (code == asio::error::operation_aborted) {
            return;
        }
        if (!code) {
            acceptNext(links);
            startConnection(links, std::move(socket));
            return;
        }
        links.acceptTimer.expires_after(acceptPause);
        links.acceptTimer.async_wait([&links](const error_code &cancelled) {
            if (!cancelled) {
                acceptNext(links);
            }
        });
    });
}

} // namespace

result<address> listenForLinks(incoming_links &links, const address &listenAt)
{
    const auto parsed = parseHostPort(listenAt.value);
    error_code code;
    const auto host = asio::ip::make_address(parsed ? parsed->host : std::string(), code);
    if (!code) {
        const tcp::endpoint endpoint(host, parsed->port);
        links.acceptor.open(endpoint.protocol(), code);
        if (!code) {
            links.acceptor.set_option(tcp::acceptor::reuse_address(true), code);
            links.acceptor.bind(endpoint, code);
        }
        if (!code) {
            links.acceptor.listen(tcp::acceptor::max_listen_connections, code);
        }
    }
    if (code) {
        return makeError(error_kind::InvalidInput, "peer address " + listenAt.value + ": " + code.message());
    }
    links.buffer.resize(readBytes);
    acceptNext(links);
    const auto port = std::to_string(links.acceptor.local_endpoint().port());
    return address(listenAt.value.substr(0, listenAt.value.rfind(':') + 1) + port);
}

void closeIncomingLinks(incoming_links &links)
{
    error_code ignored;
    links.acceptor.close(ignored);
    while (!links.connections.empty()) {
        closeConnection(*links.connections.begin());
    }
}

} // namespace sesamespar
