#include "connection/outgoing_link.h"

#include "base/log.h"
#include "connection/socket_options.h"
#include "version/host_port.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <random>
#include <utility>

namespace sesamespar {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Time without any acknowledgement of outstanding data after which a connection counts as silent. The receiver
/// acknowledges within 150 ms, and a VM with a usage cap may pause for 100 ms. Doubled after each failure but the
/// first.
constexpr milliseconds silenceLimit{500};
/// Time for a connection to be established. Doubled after each failure.
constexpr milliseconds dialLimit{250};
constexpr milliseconds longestLimit{2000};
/// Number of failures in a row from which a peer counts as unreachable. One failure is a connection that ended.
constexpr unsigned unreachableFailures = 2;
/// Pause before the second repetition; the first one is immediate. Doubled each time.
constexpr milliseconds firstPause{100};
/// Time after the last packet for which an unreachable address is dialled.
constexpr milliseconds dialledFor{60000};
/// A timer that fires later than this shows that the process was paused. Acknowledgements may then wait to be read.
constexpr milliseconds pauseSign{150};
/// A suspected connection with an acknowledgement in this time is kept.
constexpr milliseconds recentProgress{100};

using link_ref = std::shared_ptr<outgoing_link>;

time_point currentTime()
{
    return std::chrono::steady_clock::now();
}

milliseconds lengthened(milliseconds limit, unsigned failures)
{
    constexpr unsigned maxDoublings = 5;
    return std::min(limit * (1U << std::min(failures, maxDoublings)), longestLimit);
}

milliseconds currentSilenceLimit(const outgoing_link &link)
{
    return lengthened(silenceLimit, std::max(link.failures, 1U) - 1);
}

void dial(const link_ref &link);
void failConnection(const link_ref &link, const char *reason);
void sendFrames(const link_ref &link);

bool hasPackets(outgoing_link &link)
{
    const std::lock_guard lock(link.mutex);
    return !link.window.packets.empty();
}

bool awaitsAcknowledgement(outgoing_link &link)
{
    const std::lock_guard lock(link.mutex);
    return link.window.sentCount > 0;
}

void reportReachability(outgoing_link &link, bool reachable)
{
    if (link.reachable == reachable) {
        return;
    }
    link.reachable = reachable;
    log_event(reachable ? "peer_reachable" : "peer_unreachable", reachable ? log_level::Info : log_level::Warning)
        .with("peer", link.to);
    if (link.environment.onReachability) {
        link.environment.onReachability(link.to, reachable);
    }
}

/// Returns a completion handler that runs only while the connection of this moment is the current one.
template<typename Step>
auto onCurrentConnection(const link_ref &link, Step step)
{
    return [link, connection = link->connection, step = std::move(step)](const error_code &code, auto... rest) {
        if (link->connection == connection && code != asio::error::operation_aborted) {
            step(code, rest...);
        }
    };
}

void armDeadline(const link_ref &link, time_point due);

/// Checks the deadline of the phase. While the connection is open the deadline moves with each acknowledgement.
void onDeadline(const link_ref &link)
{
    link->deadlineArmed = false;
    const time_point now = currentTime();
    if (link->phase == link_phase::Pausing) {
        dial(link);
        return;
    }
    if (now > link->deadline.expiry() + pauseSign && !link->postponed) {
        link->postponed = true;
        link->progressAt = now;
        armDeadline(link, now + currentSilenceLimit(*link));
        return;
    }
    if (link->phase != link_phase::Open) {
        failConnection(link, link->phase == link_phase::Dialling ? "no connection in time" : "no welcome in time");
        return;
    }
    if (!awaitsAcknowledgement(*link)) {
        return;
    }
    const time_point due = link->progressAt + currentSilenceLimit(*link);
    if (now < due) {
        armDeadline(link, due);
        return;
    }
    link->afterSilence = true;
    ++link->environment.connectionsSilent;
    failConnection(link, "silent");
}

void armDeadline(const link_ref &link, time_point due)
{
    link->deadlineArmed = true;
    link->deadline.expires_at(due);
    link->deadline.async_wait([link, number = ++link->deadlineNumber](const error_code &cancelled) {
        if (!cancelled && number == link->deadlineNumber) {
            onDeadline(link);
        }
    });
}

/// Ends the current connection. Its completions are ignored from now on. Unsent data is discarded: what was not
/// received is sent again on the next connection.
void closeConnection(outgoing_link &link)
{
    ++link.deadlineNumber;
    link.deadline.cancel();
    link.deadlineArmed = false;
    link.postponed = false;
    if (link.connection) {
        error_code ignored;
        link.connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        link.connection->socket.close(ignored);
        link.connection.reset();
    }
    const std::lock_guard lock(link.mutex);
    disconnectWindow(link.window);
}

/// Dials again, at once after the first failure. Without a packet for a long time, the address is given up until the
/// next one.
void scheduleDial(const link_ref &link)
{
    if (link->failures >= unreachableFailures) {
        reportReachability(*link, false);
    }
    const bool needed = hasPackets(*link) || !link->reachable;
    if (!needed || currentTime() > link->usedAt + dialledFor) {
        link->phase = link_phase::Idle;
        reportReachability(*link, true);
        return;
    }
    if (link->failures < unreachableFailures) {
        dial(link);
        return;
    }
    link->phase = link_phase::Pausing;
    armDeadline(link, currentTime() + lengthened(firstPause, link->failures - unreachableFailures));
}

void failConnection(const link_ref &link, const char *reason)
{
    const milliseconds unacknowledged = unacknowledgedTime(*link);
    closeConnection(*link);
    ++link->failures;
    ++link->environment.connectionsLost;
    if (shouldLogOccurrence(link->failures)) {
        log_event("link_connection_lost", log_level::Warning)
            .with("peer", link->to)
            .with("reason", reason)
            .with("failures", link->failures)
            .with("unacknowledged_ms", unacknowledged.count());
    }
    scheduleDial(link);
}

void readMore(const link_ref &link);

/// Handles the receiver's answer to the hello.
void handleWelcome(const link_ref &link, const link_welcome &welcome)
{
    link->phase = link_phase::Open;
    link->afterSilence = false;
    link->progressAt = currentTime();
    window_resumption resumption;
    {
        const std::lock_guard lock(link->mutex);
        resumption = resumeWindow(link->window, welcome, currentTime());
    }
    link->environment.packetsResent += resumption.resent;
    link->environment.packetsDropped += resumption.dropped;
    if (resumption.resent + resumption.dropped > 0) {
        log_event("link_resumed")
            .with("peer", link->to)
            .with("resent", resumption.resent)
            .with("dropped", resumption.dropped);
    }
    if (!hasPackets(*link)) {
        link->failures = 0;
    }
    reportReachability(*link, true);
    link->connection->preamble = encodeFirstNumber(resumption.first);
    sendFrames(link);
}

/// Handles received bytes: the welcome, then acknowledgements. Returns false if the receiver breaks the protocol.
bool handleInput(const link_ref &link)
{
    if (link->phase == link_phase::Greeting) {
        const auto welcome = takeWelcome(link->connection->input);
        if (!welcome) {
            return true;
        }
        handleWelcome(link, *welcome);
    }
    const std::uint64_t acknowledged = takeAcknowledgements(link->connection->input);
    if (acknowledged == 0) {
        return true;
    }
    link->failures = 0;
    link->postponed = false;
    link->progressAt = currentTime();
    {
        const std::lock_guard lock(link->mutex);
        if (!acknowledgeBytes(link->window, acknowledged)) {
            return false;
        }
    }
    sendFrames(link);
    return true;
}

void readMore(const link_ref &link)
{
    link_connection &connection = *link->connection;
    connection.socket.async_read_some(
        asio::buffer(connection.buffer),
        onCurrentConnection(link, [link, &connection](const error_code &code, std::size_t count) {
            if (code) {
                failConnection(link, "closed by the peer");
                return;
            }
            connection.input.append(connection.buffer.data(), count);
            if (handleInput(link)) {
                readMore(link);
            } else {
                failConnection(link, "malformed acknowledgement");
            }
        }));
}

void writeOutput(const link_ref &link, std::string output)
{
    link_connection &connection = *link->connection;
    connection.writing = true;
    connection.output = std::move(output);
    asio::async_write(connection.socket,
                      asio::buffer(connection.output),
                      onCurrentConnection(link, [link, &connection](const error_code &code, std::size_t) {
                          connection.writing = false;
                          if (code) {
                              failConnection(link, "closed by the peer");
                          } else if (link->phase == link_phase::Open) {
                              sendFrames(link);
                          }
                      }));
}

/// Writes unsent packets, unless a write is in progress.
void sendFrames(const link_ref &link)
{
    if (link->connection->writing) {
        return;
    }
    bool first = false;
    std::string output = std::exchange(link->connection->preamble, {});
    {
        const std::lock_guard lock(link->mutex);
        first = link->window.sentCount == 0;
        output += takeUnsentFrames(link->window);
    }
    if (output.empty()) {
        return;
    }
    if (first) {
        link->progressAt = currentTime();
    }
    if (!link->deadlineArmed && awaitsAcknowledgement(*link)) {
        armDeadline(link, link->progressAt + currentSilenceLimit(*link));
    }
    writeOutput(link, std::move(output));
}

void greet(const link_ref &link)
{
    setLinkOptions(link->connection->socket);
    link->phase = link_phase::Greeting;
    armDeadline(link, currentTime() + currentSilenceLimit(*link));
    writeOutput(link, encodeHello({link->id, link->environment.from, link->afterSilence}));
    readMore(link);
}

void dial(const link_ref &link)
{
    closeConnection(*link);
    link->connection = std::make_shared<link_connection>(link->context);
    link->phase = link_phase::Dialling;
    armDeadline(link, currentTime() + lengthened(dialLimit, link->failures));
    link->connection->socket.async_connect(link->endpoint, onCurrentConnection(link, [link](const error_code &code) {
                                               if (code) {
                                                   failConnection(link, "refused");
                                               } else {
                                                   greet(link);
                                               }
                                           }));
}

/// Runs on the thread of the links after a packet was queued.
void handleWake(const link_ref &link)
{
    link->wakePending = false;
    link->usedAt = currentTime();
    if (link->phase == link_phase::Open) {
        sendFrames(link);
    } else if (link->phase == link_phase::Idle) {
        dial(link);
    }
}

} // namespace

result<std::shared_ptr<outgoing_link>>
makeOutgoingLink(asio::io_context &context, link_environment &environment, const address &to)
{
    const auto parsed = parseHostPort(to.value);
    error_code malformed;
    const auto host = asio::ip::make_address(parsed ? parsed->host : std::string(), malformed);
    if (malformed) {
        return makeError(error_kind::InvalidInput, "peer address " + to.value + " is not an IP address and a port");
    }
    auto link = std::make_shared<outgoing_link>(context, environment);
    link->to = to;
    link->endpoint = tcp::endpoint(host, parsed->port);
    std::random_device entropy;
    link->id.value = (std::uint64_t(entropy()) << 32U) | entropy();
    return link;
}

bool queuePacket(outgoing_link &link, std::string bytes)
{
    {
        const std::lock_guard lock(link.mutex);
        if (!enqueuePacket(link.window, std::move(bytes), currentTime())) {
            return false;
        }
    }
    dialLink(link);
    return true;
}

void dialLink(outgoing_link &link)
{
    if (!link.wakePending.exchange(true)) {
        asio::post(link.context, [self = link.shared_from_this()] { handleWake(self); });
    }
}

void suspectLink(outgoing_link &link)
{
    if (link.phase == link_phase::Open && currentTime() > link.progressAt + recentProgress) {
        dial(link.shared_from_this());
    }
}

void closeOutgoingLink(outgoing_link &link)
{
    closeConnection(link);
}

milliseconds unacknowledgedTime(outgoing_link &link)
{
    const std::lock_guard lock(link.mutex);
    if (link.window.packets.empty()) {
        return milliseconds(0);
    }
    return elapsedBetween(link.window.packets.front().queuedAt, currentTime());
}

} // namespace sesamespar
