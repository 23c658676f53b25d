#include "connection/send_window.h"

#include <utility>

namespace sesamespar {

namespace {

/// Bytes that are sent before an acknowledgement must arrive. One packet may exceed it.
constexpr std::size_t maxInFlightBytes = std::size_t{1024} * 1024;
/// Bytes that are written at a time.
constexpr std::size_t maxWriteBytes = std::size_t{64} * 1024;
/// Age above which a packet is not sent on another connection. The senders of requests have given up by then.
constexpr milliseconds packetLifetime{3000};

std::size_t frameBytes(const window_packet &packet)
{
    return frameHeaderBytes + packet.bytes.size();
}

void removeFirst(send_window &window)
{
    const std::size_t bytes = frameBytes(window.packets.front());
    if (window.sentCount > 0) {
        --window.sentCount;
        window.inFlightBytes -= bytes;
    } else {
        window.unsentBytes -= bytes;
    }
    window.packets.pop_front();
}

/// Removes packets that are too old to be sent. Only without a connection, since its packets are numbered in series.
void removeExpired(send_window &window, time_point now)
{
    while (window.sentCount == 0 && !window.packets.empty() && now - window.packets.front().queuedAt > packetLifetime) {
        removeFirst(window);
        ++window.expired;
    }
}

} // namespace

void disconnectWindow(send_window &window)
{
    window.connected = false;
    window.unsentBytes += window.inFlightBytes;
    window.inFlightBytes = 0;
    window.sentCount = 0;
    window.acknowledgedBytes = 0;
}

bool enqueuePacket(send_window &window, std::string bytes, time_point now)
{
    if (!window.connected) {
        removeExpired(window, now);
    }
    const std::size_t unsent = window.packets.size() - window.sentCount;
    if (unsent >= maxUnsentPackets || (unsent > 0 && window.unsentBytes + bytes.size() > maxUnsentBytes)) {
        return false;
    }
    ++window.lastNumber.value;
    window.packets.push_back({window.lastNumber, now, std::move(bytes)});
    window.unsentBytes += frameBytes(window.packets.back());
    return true;
}

std::string takeUnsentFrames(send_window &window)
{
    std::string output;
    while (window.sentCount < window.packets.size() && output.size() < maxWriteBytes) {
        const window_packet &packet = window.packets[window.sentCount];
        const std::size_t bytes = frameBytes(packet);
        if (window.inFlightBytes > 0 && window.inFlightBytes + bytes > maxInFlightBytes) {
            break;
        }
        appendFrame(output, packet.bytes);
        window.unsentBytes -= bytes;
        window.inFlightBytes += bytes;
        window.highestSent = std::max(window.highestSent, packet.number);
        ++window.sentCount;
    }
    return output;
}

bool acknowledgeBytes(send_window &window, std::uint64_t acknowledged)
{
    if (acknowledged > window.inFlightBytes - window.acknowledgedBytes) {
        return false;
    }
    window.acknowledgedBytes += acknowledged;
    while (window.sentCount > 0 && window.acknowledgedBytes >= frameBytes(window.packets.front())) {
        window.acknowledgedBytes -= frameBytes(window.packets.front());
        removeFirst(window);
    }
    return true;
}

window_resumption resumeWindow(send_window &window, const link_welcome &welcome, time_point now)
{
    disconnectWindow(window);
    removeExpired(window, now);
    window_resumption resumption;
    resumption.dropped = std::exchange(window.expired, 0);
    const bool sameReceiver = welcome.receiver == window.receiver;
    while (!window.packets.empty()) {
        const window_packet &packet = window.packets.front();
        if (sameReceiver && packet.number <= welcome.delivered) {
            removeFirst(window);
        } else if (!sameReceiver && packet.number <= window.highestSent) {
            ++resumption.dropped;
            removeFirst(window);
        } else {
            break;
        }
    }
    window.connected = true;
    window.receiver = welcome.receiver;
    resumption.first =
        window.packets.empty() ? packet_number(window.lastNumber.value + 1) : window.packets.front().number;
    if (!window.packets.empty() && window.packets.front().number <= window.highestSent) {
        resumption.resent = window.highestSent.value + 1 - window.packets.front().number.value;
    }
    return resumption;
}

} // namespace sesamespar
