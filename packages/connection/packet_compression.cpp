#include "connection/packet_compression.h"

#include <zlib.h>

#include <memory>

namespace sesamespar {

namespace {

constexpr char compressedMarker = '\x01';
/// Packets below this size are sent as they are.
constexpr std::size_t minCompressedBytes = 200;
/// Fastest level; a leader packs hundreds of packets a second.
constexpr int level = Z_BEST_SPEED;
/// A window of 4 KB and little state: a stream takes 30 KB in place of 260 KB, and clearing it is most of its cost.
constexpr int windowBits = 12;
constexpr int memoryLevel = 5;

/// A stream of zlib that is kept by each thread, since its set-up costs more than packing a packet.
struct deflate_stream {
    z_stream stream{};
    bool usable = false;

    deflate_stream()
    {
        usable = deflateInit2(&stream, level, Z_DEFLATED, windowBits, memoryLevel, Z_DEFAULT_STRATEGY) == Z_OK;
    }
    deflate_stream(const deflate_stream &) = delete;
    deflate_stream &operator=(const deflate_stream &) = delete;
    ~deflate_stream()
    {
        if (usable) {
            deflateEnd(&stream);
        }
    }
};

/// A stream for one packet.
struct inflate_stream {
    z_stream stream{};
    bool usable = false;

    inflate_stream()
    {
        usable = inflateInit2(&stream, windowBits) == Z_OK;
    }
    inflate_stream(const inflate_stream &) = delete;
    inflate_stream &operator=(const inflate_stream &) = delete;
    ~inflate_stream()
    {
        if (usable) {
            inflateEnd(&stream);
        }
    }
};

Bytef *bytesOf(std::string_view text)
{
    // zlib reads its input through a pointer to non-const bytes.
    return reinterpret_cast<Bytef *>(const_cast<char *>(text.data()));
}

} // namespace

std::string packText(std::string_view text)
{
    static thread_local deflate_stream packer;
    if (text.size() < minCompressedBytes || !packer.usable || deflateReset(&packer.stream) != Z_OK) {
        return std::string(text);
    }
    std::string packed(text.size(), compressedMarker);
    packer.stream.next_in = bytesOf(text);
    packer.stream.avail_in = static_cast<uInt>(text.size());
    packer.stream.next_out = bytesOf(packed) + 1;
    packer.stream.avail_out = static_cast<uInt>(packed.size() - 1);
    if (deflate(&packer.stream, Z_FINISH) != Z_STREAM_END) {
        return std::string(text);
    }
    packed.resize(packed.size() - packer.stream.avail_out);
    return packed;
}

result<std::string> unpackText(std::string_view packet)
{
    if (packet.empty() || packet.front() != compressedMarker) {
        return std::string(packet);
    }
    inflate_stream unpacker;
    if (!unpacker.usable) {
        return makeError(error_kind::Overloaded, "no memory to decompress a packet");
    }
    constexpr std::size_t growth = 4;
    std::string text(packet.size() * growth, '\0');
    unpacker.stream.next_in = bytesOf(packet) + 1;
    unpacker.stream.avail_in = static_cast<uInt>(packet.size() - 1);
    int status = Z_OK;
    while (status == Z_OK) {
        const std::size_t used = unpacker.stream.total_out;
        if (used == text.size()) {
            text.resize(text.size() * 2);
        }
        if (text.size() > maxUnpackedBytes) {
            return makeError(error_kind::InvalidInput, "compressed packet is too large");
        }
        unpacker.stream.next_out = bytesOf(text) + used;
        unpacker.stream.avail_out = static_cast<uInt>(text.size() - used);
        status = inflate(&unpacker.stream, Z_NO_FLUSH);
    }
    if (status != Z_STREAM_END) {
        return makeError(error_kind::InvalidInput, "compressed packet is malformed");
    }
    text.resize(unpacker.stream.total_out);
    return text;
}

} // namespace sesamespar
