#include "connection/packet_links.h"

#include "base/error_boundary.h"
#include "base/log.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <mutex>
#include <string>
#include <unordered_map>

namespace sesamespar {

namespace {

/// Packets that are queued on one link while its peer is slow or unreachable.
constexpr int sendBufferPackets = 256;
constexpr nng_duration minReconnectMs = 100;
constexpr nng_duration maxReconnectMs = 2000;

} // namespace

struct packet_links {
    packet_sink sink;
    nng_socket pull = NNG_SOCKET_INITIALIZER;
    nng_aio *receive = nullptr;
    address bound;
    std::mutex mutex;
    std::unordered_map<address, nng_socket> push;
    std::atomic<bool> stopped = false;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> packetsSent = 0;
    std::atomic<std::uint64_t> packetsDropped = 0;

    packet_links() = default;
    packet_links(const packet_links &) = delete;
    packet_links &operator=(const packet_links &) = delete;
    ~packet_links()
    {
        stopPacketLinks(*this);
        nng_aio_free(receive);
    }
};

namespace {

void handlePacket(packet_links &links, nng_msg *packet)
{
    links.bytesReceived += nng_msg_len(packet);
    runContained("packet", {}, [&] {
        links.sink({static_cast<const char *>(nng_msg_body(packet)), nng_msg_len(packet)});
    });
    nng_msg_free(packet);
}

void handleReceive(void *context)
{
    auto &links = *static_cast<packet_links *>(context);
    const int failure = nng_aio_result(links.receive);
    if (failure == 0) {
        handlePacket(links, nng_aio_get_msg(links.receive));
    } else if (failure == NNG_ECLOSED || failure == NNG_ECANCELED || links.stopped) {
        return;
    }
    nng_recv_aio(links.pull, links.receive);
}

/// Keeps the first error of a sequence of nng calls.
struct nng_status {
    int failure = 0;

    nng_status &operator<<(int returned)
    {
        if (failure == 0) {
            failure = returned;
        }
        return *this;
    }
};

int listenOn(packet_links &links, const std::string &listenAddress)
{
    nng_status status;
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    const std::string url = "tcp://" + listenAddress;
    status << nng_pull0_open(&links.pull) << nng_socket_set_size(links.pull, NNG_OPT_RECVMAXSZ, maxPacketBytes)
           << nng_aio_alloc(&links.receive, handleReceive, &links);
    if (status.failure == 0) {
        status << nng_listen(links.pull, url.c_str(), &listener, 0);
    }
    int port = 0;
    if (status.failure == 0) {
        status << nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    }
    links.bound.value = listenAddress.substr(0, listenAddress.rfind(':') + 1) + std::to_string(port);
    return status.failure;
}

int dial(packet_links &links, const address &to)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    nng_status status;
    status << nng_push0_open(&socket);
    if (status.failure != 0) {
        return status.failure;
    }
    links.push.emplace(to, socket);
    const std::string url = "tcp://" + to.value;
    status << nng_socket_set_int(socket, NNG_OPT_SENDBUF, sendBufferPackets)
           << nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, minReconnectMs)
           << nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, maxReconnectMs);
    if (status.failure == 0) {
        status << nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    return status.failure;
}

error linkError(const address &where, int failure)
{
    return makeError(error_kind::InvalidInput, "peer address " + where.value + ": " + nng_strerror(failure));
}

bool dropPacket(packet_links &links, const address &to, const char *reason)
{
    const std::uint64_t dropped = ++links.packetsDropped;
    if (shouldLogOccurrence(dropped)) {
        log_event("packet_dropped", log_level::Warning).with("to", to).with("reason", reason).with("count", dropped);
    }
    return false;
}

} // namespace

result<std::shared_ptr<packet_links>> startPacketLinks(const address &listenAt, packet_sink sink)
{
    auto links = std::make_shared<packet_links>();
    links->sink = std::move(sink);
    const int failure = listenOn(*links, listenAt.value);
    if (failure != 0) {
        return linkError(listenAt, failure);
    }
    nng_recv_aio(links->pull, links->receive);
    return links;
}

address boundPacketAddress(const packet_links &links)
{
    return links.bound;
}

result<void> dialPackets(packet_links &links, const address &to)
{
    const std::lock_guard lock(links.mutex);
    if (links.push.contains(to)) {
        return boost::outcome_v2::success();
    }
    const int failure = dial(links, to);
    if (failure != 0) {
        return linkError(to, failure);
    }
    return boost::outcome_v2::success();
}

bool sendPacket(packet_links &links, const address &to, std::string_view bytes)
{
    if (bytes.size() > maxPacketBytes) {
        return dropPacket(links, to, "packet too large");
    }
    if (const auto dialled = dialPackets(links, to); !dialled) {
        return dropPacket(links, to, dialled.error().message.c_str());
    }
    const std::lock_guard lock(links.mutex);
    std::string copy(bytes);
    if (nng_send(links.push.at(to), copy.data(), copy.size(), NNG_FLAG_NONBLOCK) != 0) {
        return dropPacket(links, to, "link full or closed");
    }
    ++links.packetsSent;
    links.bytesSent += copy.size();
    return true;
}

packet_traffic packetTraffic(const packet_links &links)
{
    return {links.bytesSent, links.bytesReceived, links.packetsSent, links.packetsDropped};
}

void stopPacketLinks(packet_links &links)
{
    if (links.stopped.exchange(true)) {
        return;
    }
    for (const auto &link : links.push) {
        nng_close(link.second);
    }
    // nng_close of nng 1.5.2 hangs on the pull socket in about half of the runs with a message in transit; see
    // KNOWN-RED.txt. Neither stopping the aio first, nor closing the listener first, nor a blocking receive avoids it.
    if (links.receive != nullptr) {
        nng_aio_stop(links.receive);
    }
    nng_close(links.pull);
}

} // namespace sesamespar
