#include "connection/codec.h"
#include "connection/codec_checks.h"
#include "connection/message_fields.h"

#include <algorithm>
#include <msgpack.hpp>

namespace sesamespar {

namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

/// Limit of the parser. Arrays nest at most 7 deep in any message: message, payload, answer, tasks and their fields.
constexpr std::size_t maxNesting = 16;

void pack(packer &out, bool plain)
{
    out.pack(plain);
}

void pack(packer &out, std::uint64_t plain)
{
    out.pack_uint64(plain);
}

void pack(packer &out, std::int64_t plain)
{
    out.pack_int64(plain);
}

void pack(packer &out, std::uint32_t plain)
{
    out.pack_uint32(plain);
}

void pack(packer &out, const std::string &plain)
{
    out.pack(plain);
}

void pack(packer &out, const milliseconds &duration)
{
    out.pack_int64(duration.count());
}

template<is_strong_value Strong>
void pack(packer &out, const Strong &strong)
{
    pack(out, strong.value);
}

template<has_enum_names Enum>
void pack(packer &out, Enum plain)
{
    out.pack_uint8(static_cast<std::uint8_t>(plain));
}

template<has_field_list Struct>
void pack(packer &out, const Struct &message);

template<typename Element>
void pack(packer &out, const std::vector<Element> &list)
{
    out.pack_array(static_cast<std::uint32_t>(list.size()));
    for (const Element &element : list) {
        pack(out, element);
    }
}

template<typename... Alternatives>
void pack(packer &out, const std::variant<Alternatives...> &message)
{
    out.pack_array(2);
    out.pack_uint8(static_cast<std::uint8_t>(message.index()));
    std::visit([&](const auto &single) { pack(out, single); }, message);
}

template<typename Struct, typename Member>
void packField(packer &out, const Struct &message, const field<Struct, Member> &single)
{
    pack(out, message.*single.member);
}

template<typename Struct, typename Member>
void packField(packer &out, const Struct &message, const embedded<Struct, Member> &single)
{
    pack(out, message.*single.member);
}

template<has_field_list Struct>
void pack(packer &out, const Struct &message)
{
    constexpr auto count = std::tuple_size_v<std::remove_cvref_t<decltype(field_list<Struct>::fields)>>;
    out.pack_array(static_cast<std::uint32_t>(count));
    std::apply([&](const auto &...single) { (packField(out, message, single), ...); }, field_list<Struct>::fields);
}

bool unpack(const msgpack::object &packed, bool &plain, const value_limits &, decode_fault &fault)
{
    if (packed.type != msgpack::type::BOOLEAN) {
        return reject(fault, "must be true or false");
    }
    plain = packed.via.boolean;
    return true;
}

bool unpack(const msgpack::object &packed, std::uint64_t &plain, const value_limits &limits, decode_fault &fault)
{
    if (packed.type != msgpack::type::POSITIVE_INTEGER) {
        return reject(fault, "must be a whole number and not negative");
    }
    plain = packed.via.u64;
    return checkNumber(plain, limits, fault);
}

bool unpack(const msgpack::object &packed, std::int64_t &plain, const value_limits &limits, decode_fault &fault)
{
    std::uint64_t number = 0;
    constexpr std::uint64_t largest = std::numeric_limits<std::int64_t>::max();
    const value_limits bounded{limits.least, std::min(limits.most, largest)};
    if (!unpack(packed, number, bounded, fault)) {
        return false;
    }
    plain = static_cast<std::int64_t>(number);
    return true;
}

bool unpack(const msgpack::object &packed, std::uint32_t &plain, const value_limits &limits, decode_fault &fault)
{
    std::uint64_t number = 0;
    if (!unpack(packed, number, value_limits{limits.least, std::min(limits.most, any32.most)}, fault)) {
        return false;
    }
    plain = static_cast<std::uint32_t>(number);
    return true;
}

bool unpack(const msgpack::object &packed, milliseconds &duration, const value_limits &limits, decode_fault &fault)
{
    std::int64_t number = 0;
    if (!unpack(packed, number, limits, fault)) {
        return false;
    }
    duration = milliseconds(number);
    return true;
}

bool unpack(const msgpack::object &packed, std::string &plain, const value_limits &limits, decode_fault &fault)
{
    if (packed.type != msgpack::type::STR) {
        return reject(fault, "must be a string");
    }
    const std::string_view text(packed.via.str.ptr, packed.via.str.size);
    if (!checkLength(text.size(), limits, fault)) {
        return false;
    }
    // Strings from peers are later written as JSON, which must be UTF-8.
    if (!isUtf8(text)) {
        return reject(fault, "is not valid UTF-8");
    }
    plain = text;
    return true;
}

template<is_strong_value Strong>
bool unpack(const msgpack::object &packed, Strong &strong, const value_limits &limits, decode_fault &fault)
{
    if (!unpack(packed, strong.value, limits, fault)) {
        return false;
    }
    if constexpr (std::is_same_v<typename Strong::rep, std::string>) {
        return checkName(strong.value, fault);
    }
    return true;
}

template<has_enum_names Enum>
bool unpack(const msgpack::object &packed, Enum &plain, const value_limits &, decode_fault &fault)
{
    std::uint64_t index = 0;
    if (!unpack(packed, index, value_limits{0, enum_names<Enum>::count - 1}, fault)) {
        return false;
    }
    plain = static_cast<Enum>(index);
    return true;
}

template<has_field_list Struct>
bool unpack(const msgpack::object &packed, Struct &message, const value_limits &, decode_fault &fault);

template<typename... Alternatives>
bool unpack(const msgpack::object &packed,
            std::variant<Alternatives...> &message,
            const value_limits &,
            decode_fault &fault);

template<typename Element>
bool unpack(const msgpack::object &packed, std::vector<Element> &list, const value_limits &limits, decode_fault &fault)
{
    if (packed.type != msgpack::type::ARRAY) {
        return reject(fault, "must be a list");
    }
    const msgpack::object_array &elements = packed.via.array;
    if (!checkCount(elements.size, limits, fault)) {
        return false;
    }
    list.resize(elements.size);
    for (std::uint32_t index = 0; index < elements.size; ++index) {
        if (!unpack(elements.ptr[index], list[index], elementLimits<Element>(), fault)) {
            return rejectAt(fault, index);
        }
    }
    return true;
}

template<typename Struct, typename Member>
bool unpackField(const msgpack::object &packed,
                 Struct &message,
                 const field<Struct, Member> &single,
                 decode_fault &fault)
{
    return unpack(packed, message.*single.member, single.limits, fault) || rejectIn(fault, single.name);
}

template<typename Struct, typename Member>
bool unpackField(const msgpack::object &packed,
                 Struct &message,
                 const embedded<Struct, Member> &single,
                 decode_fault &fault)
{
    return unpack(packed, message.*single.member, value_limits{}, fault);
}

/// Rejects a value that is not an array of `count` elements.
bool checkArray(const msgpack::object &packed, std::size_t count, decode_fault &fault)
{
    if (packed.type != msgpack::type::ARRAY || packed.via.array.size != count) {
        return reject(fault, "must be a list of " + std::to_string(count) + " values");
    }
    return true;
}

template<has_field_list Struct>
bool unpack(const msgpack::object &packed, Struct &message, const value_limits &, decode_fault &fault)
{
    constexpr auto count = std::tuple_size_v<std::remove_cvref_t<decltype(field_list<Struct>::fields)>>;
    if (!checkArray(packed, count, fault)) {
        return false;
    }
    [[maybe_unused]] const msgpack::object *next = packed.via.array.ptr;
    return std::apply([&](const auto &...single) { return (unpackField(*next++, message, single, fault) && ...); },
                      field_list<Struct>::fields);
}

/// Decodes into the alternative with that index, which the caller has checked.
template<typename Variant, std::size_t Index = 0>
bool unpackAlternative(const msgpack::object &packed, std::size_t index, Variant &message, decode_fault &fault)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (index == Index) {
            return unpack(packed, message.template emplace<Index>(), value_limits{}, fault);
        }
        return unpackAlternative<Variant, Index + 1>(packed, index, message, fault);
    } else {
        return reject(fault, "is of no known type");
    }
}

template<typename... Alternatives>
bool unpack(const msgpack::object &packed,
            std::variant<Alternatives...> &message,
            const value_limits &,
            decode_fault &fault)
{
    std::uint32_t index = 0;
    constexpr value_limits alternatives{0, sizeof...(Alternatives) - 1};
    return checkArray(packed, 2, fault) && unpack(packed.via.array.ptr[0], index, alternatives, fault)
        && unpackAlternative(packed.via.array.ptr[1], index, message, fault);
}

/// Packs the protocol version and the content as a list of two.
template<typename Content>
std::string encodeVersioned(const Content &content)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(2);
    out.pack_uint32(peerProtocolVersion);
    pack(out, content);
    return {buffer.data(), buffer.size()};
}

template<typename Content>
bool unpackVersioned(const msgpack::object &packed, Content &content, const value_limits &limits, decode_fault &fault)
{
    std::uint32_t version = 0;
    if (!checkArray(packed, 2, fault) || !unpack(packed.via.array.ptr[0], version, any32, fault)) {
        return false;
    }
    if (version != peerProtocolVersion) {
        return reject(
            fault, "protocol version is " + std::to_string(version) + ", not " + std::to_string(peerProtocolVersion));
    }
    return unpack(packed.via.array.ptr[1], content, limits, fault);
}

template<typename Content>
result<Content> decodeVersioned(std::string_view bytes, const value_limits &limits)
{
    // The parser allocates a list as soon as it has read its length. The limit rejects a length above the size of
    // the input before that, since each element takes at least one byte.
    const std::size_t list = std::min(bytes.size(), maxListLength);
    const msgpack::unpack_limit unpackLimits(list, 0, bytes.size(), 0, 0, maxNesting);
    const auto refersToInput = [](msgpack::type::object_type, std::size_t, void *) {
        return true;
    };
    decode_fault fault;
    try {
        std::size_t end = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, refersToInput, nullptr, unpackLimits);
        Content content;
        if (end != bytes.size()) {
            reject(fault, "bytes follow after the message");
        } else if (unpackVersioned(handle.get(), content, limits, fault)) {
            return content;
        }
    } catch (const std::exception &) {
        reject(fault, "the message is malformed, truncated or beyond the limits");
    }
    return makeError(error_kind::InvalidInput, formatFault(fault));
}

} // namespace

std::string encodePeerMessage(const peer_message &message)
{
    return encodeVersioned(message);
}

result<peer_message> decodePeerMessage(std::string_view bytes)
{
    return decodeVersioned<peer_message>(bytes, value_limits{});
}

std::string encodeRecords(const std::vector<job_record> &records)
{
    return encodeVersioned(records);
}

result<std::vector<job_record>> decodeRecords(std::string_view bytes)
{
    return decodeVersioned<std::vector<job_record>>(bytes, anyList);
}

} // namespace sesamespar
