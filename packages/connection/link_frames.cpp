#include "connection/link_frames.h"

#include <climits>

namespace sesamespar {

namespace {

/// Name of the protocol and its version.
constexpr std::string_view helloMagic = "sesamespar-link/1";
constexpr std::size_t numberBytes = 8;
constexpr std::size_t lengthBytes = 2;
/// An address is HOST:PORT.
constexpr std::size_t maxAddressBytes = 300;

void appendNumber(std::string &output, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t shift = bytes; shift > 0; --shift) {
        output.push_back(static_cast<char>((number >> ((shift - 1) * CHAR_BIT)) & UCHAR_MAX));
    }
}

std::uint64_t numberAt(std::string_view input, std::size_t from, std::size_t bytes)
{
    std::uint64_t number = 0;
    for (const char byte : input.substr(from, bytes)) {
        number = (number << CHAR_BIT) | static_cast<unsigned char>(byte);
    }
    return number;
}

} // namespace

std::string encodeHello(const link_hello &hello)
{
    std::string output(helloMagic);
    output.push_back(hello.afterSilence ? 1 : 0);
    appendNumber(output, hello.link.value, numberBytes);
    const std::string_view from = std::string_view(hello.from.value).substr(0, maxAddressBytes);
    appendNumber(output, from.size(), lengthBytes);
    return output.append(from);
}

std::string encodeWelcome(const link_welcome &welcome)
{
    std::string output;
    appendNumber(output, welcome.receiver.value, numberBytes);
    appendNumber(output, welcome.delivered.value, numberBytes);
    return output;
}

std::string encodeFirstNumber(packet_number first)
{
    std::string output;
    appendNumber(output, first.value, numberBytes);
    return output;
}

void appendFrame(std::string &output, std::string_view packet)
{
    appendNumber(output, packet.size(), frameHeaderBytes);
    output.append(packet);
}

std::string encodeAcknowledgement(std::uint32_t frameBytes)
{
    std::string output;
    appendNumber(output, frameBytes, frameHeaderBytes);
    return output;
}

result<std::optional<link_hello>> takeHello(std::string &input)
{
    constexpr std::size_t fixedBytes = helloMagic.size() + 1 + numberBytes + lengthBytes;
    const std::size_t comparable = std::min(input.size(), helloMagic.size());
    if (input.compare(0, comparable, helloMagic, 0, comparable) != 0) {
        return makeError(error_kind::InvalidInput, "the connection does not begin with " + std::string(helloMagic));
    }
    if (input.size() < fixedBytes) {
        return std::optional<link_hello>();
    }
    const auto length = static_cast<std::size_t>(numberAt(input, fixedBytes - lengthBytes, lengthBytes));
    if (length > maxAddressBytes) {
        return makeError(error_kind::InvalidInput, "address of " + std::to_string(length) + " bytes in a hello");
    }
    if (input.size() < fixedBytes + length) {
        return std::optional<link_hello>();
    }
    link_hello hello;
    hello.afterSilence = input[helloMagic.size()] != 0;
    hello.link.value = numberAt(input, helloMagic.size() + 1, numberBytes);
    hello.from.value = input.substr(fixedBytes, length);
    input.erase(0, fixedBytes + length);
    return std::optional(hello);
}

std::optional<link_welcome> takeWelcome(std::string &input)
{
    if (input.size() < 2 * numberBytes) {
        return std::nullopt;
    }
    const link_welcome welcome{incarnation_id(numberAt(input, 0, numberBytes)),
                               packet_number(numberAt(input, numberBytes, numberBytes))};
    input.erase(0, 2 * numberBytes);
    return welcome;
}

std::optional<packet_number> takeFirstNumber(std::string &input)
{
    if (input.size() < numberBytes) {
        return std::nullopt;
    }
    const packet_number first(numberAt(input, 0, numberBytes));
    input.erase(0, numberBytes);
    return first;
}

std::uint64_t takeAcknowledgements(std::string &input)
{
    std::uint64_t sum = 0;
    std::size_t taken = 0;
    for (; taken + frameHeaderBytes <= input.size(); taken += frameHeaderBytes) {
        sum += numberAt(input, taken, frameHeaderBytes);
    }
    input.erase(0, taken);
    return sum;
}

result<std::size_t> takeFrames(std::string &input, const std::function<void(std::string_view packet)> &sink)
{
    std::size_t taken = 0;
    while (input.size() - taken >= frameHeaderBytes) {
        const auto length = static_cast<std::size_t>(numberAt(input, taken, frameHeaderBytes));
        if (length > maxPacketBytes) {
            return makeError(error_kind::InvalidInput, "packet of " + std::to_string(length) + " bytes");
        }
        if (input.size() - taken - frameHeaderBytes < length) {
            break;
        }
        sink(std::string_view(input).substr(taken + frameHeaderBytes, length));
        taken += frameHeaderBytes + length;
    }
    input.erase(0, taken);
    return taken;
}

} // namespace sesamespar
