#include "connection/codec_checks.h"

#include <algorithm>

namespace sesamespar {

namespace {

/// Length of the first UTF-8 sequence in bytes, or 0 if it is malformed.
std::size_t sequenceLength(std::string_view bytes)
{
    const auto byteAt = [&](std::size_t index) {
        return static_cast<unsigned char>(bytes[index]);
    };
    const unsigned char lead = byteAt(0);
    if (lead < 0x80) {
        return 1;
    }
    const std::size_t length = lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3 : 2;
    if (lead < 0xC2 || lead > 0xF4 || bytes.size() < length) {
        return 0;
    }
    for (std::size_t index = 1; index < length; ++index) {
        if ((byteAt(index) & 0xC0U) != 0x80) {
            return 0;
        }
    }
    // Overlong forms, surrogates and code points above U+10FFFF.
    const unsigned char second = byteAt(1);
    const bool outside = (lead == 0xE0 && second < 0xA0) || (lead == 0xED && second > 0x9F)
        || (lead == 0xF0 && second < 0x90) || (lead == 0xF4 && second > 0x8F);
    return outside ? 0 : length;
}

} // namespace

bool reject(decode_fault &fault, std::string problem)
{
    fault.path.clear();
    fault.problem = std::move(problem);
    return false;
}

bool rejectIn(decode_fault &fault, std::string_view name)
{
    const bool joins = !fault.path.empty() && fault.path.front() != '[';
    fault.path = std::string(name) + (joins ? "." : "") + fault.path;
    return false;
}

bool rejectAt(decode_fault &fault, std::size_t index)
{
    return rejectIn(fault, '[' + std::to_string(index) + ']');
}

bool checkNumber(std::uint64_t value, const value_limits &limits, decode_fault &fault)
{
    if (value >= limits.least && value <= limits.most) {
        return true;
    }
    return reject(fault, "must be from " + std::to_string(limits.least) + " to " + std::to_string(limits.most));
}

bool checkLength(std::size_t bytes, const value_limits &limits, decode_fault &fault)
{
    if (bytes < limits.least) {
        return reject(fault, "must not be empty");
    }
    if (bytes > limits.most) {
        return reject(fault, "must have at most " + std::to_string(limits.most) + " bytes");
    }
    return true;
}

bool checkCount(std::size_t count, const value_limits &limits, decode_fault &fault)
{
    if (count > limits.most) {
        return reject(fault, "must have at most " + std::to_string(limits.most) + " entries");
    }
    return true;
}

bool checkName(std::string_view name, decode_fault &fault)
{
    const bool hasControl = std::any_of(
        name.begin(), name.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7F'; });
    return hasControl ? reject(fault, "must not have control characters") : true;
}

std::string formatFault(const decode_fault &fault)
{
    return fault.path.empty() ? fault.problem : fault.path + ": " + fault.problem;
}

bool isUtf8(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t length = sequenceLength(bytes);
        if (length == 0) {
            return false;
        }
        bytes.remove_prefix(length);
    }
    return true;
}

} // namespace sesamespar
