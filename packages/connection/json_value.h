// Converts messages to JSON values and back by their field lists. The only header that includes cpprestsdk; included
// only by the sources of the codecs.
#pragma once

#include "base/result.h"
#include "connection/codec_checks.h"
#include "connection/message_fields.h"

#include <cpprest/json.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sesamespar {

/// Fields of an object in the order in which they are written.
using json_fields = std::vector<std::pair<std::string, web::json::value>>;

inline web::json::value toJson(bool plain)
{
    return web::json::value::boolean(plain);
}

inline web::json::value toJson(std::uint64_t plain)
{
    return web::json::value::number(plain);
}

inline web::json::value toJson(std::int64_t plain)
{
    return web::json::value::number(plain);
}

inline web::json::value toJson(std::uint32_t plain)
{
    return web::json::value::number(plain);
}

inline web::json::value toJson(const std::string &plain)
{
    return web::json::value::string(plain);
}

inline web::json::value toJson(const milliseconds &duration)
{
    return web::json::value::number(static_cast<std::int64_t>(duration.count()));
}

template<is_strong_value Strong>
web::json::value toJson(const Strong &strong)
{
    return toJson(strong.value);
}

template<has_enum_names Enum>
web::json::value toJson(Enum plain)
{
    return web::json::value::string(std::string(enum_names<Enum>::name(plain)));
}

template<has_field_list Struct>
web::json::value toJson(const Struct &message);

template<typename Element>
web::json::value toJson(const std::vector<Element> &list)
{
    std::vector<web::json::value> elements;
    elements.reserve(list.size());
    for (const Element &element : list) {
        elements.push_back(toJson(element));
    }
    return web::json::value::array(std::move(elements));
}

template<typename Struct>
void appendFields(json_fields &fields, const Struct &message);

template<typename Struct, typename Member>
void appendField(json_fields &fields, const Struct &message, const field<Struct, Member> &descriptor)
{
    fields.emplace_back(std::string(descriptor.name), toJson(message.*descriptor.member));
}

template<typename Struct, typename Member>
void appendField(json_fields &fields, const Struct &message, const embedded<Struct, Member> &descriptor)
{
    appendFields(fields, message.*descriptor.member);
}

template<typename Struct>
void appendFields(json_fields &fields, const Struct &message)
{
    std::apply([&](const auto &...descriptor) { (appendField(fields, message, descriptor), ...); },
               field_list<Struct>::fields);
}

template<has_field_list Struct>
web::json::value toJson(const Struct &message)
{
    json_fields fields;
    appendFields(fields, message);
    return web::json::value::object(std::move(fields), true);
}

template<typename Struct>
std::string encodeJson(const Struct &message)
{
    return toJson(message).serialize();
}

inline bool fromJson(const web::json::value &json, bool &plain, const value_limits &, decode_fault &fault)
{
    if (!json.is_boolean()) {
        return reject(fault, "must be true or false");
    }
    plain = json.as_bool();
    return true;
}

inline bool
fromJson(const web::json::value &json, std::uint64_t &plain, const value_limits &limits, decode_fault &fault)
{
    if (!json.is_number() || !json.as_number().is_uint64()) {
        return reject(fault, "must be a whole number and not negative");
    }
    plain = json.as_number().to_uint64();
    return checkNumber(plain, limits, fault);
}

inline bool fromJson(const web::json::value &json, std::int64_t &plain, const value_limits &limits, decode_fault &fault)
{
    std::uint64_t number = 0;
    constexpr std::uint64_t largest = std::numeric_limits<std::int64_t>::max();
    const value_limits bounded{limits.least, std::min(limits.most, largest)};
    if (!fromJson(json, number, bounded, fault)) {
        return false;
    }
    plain = static_cast<std::int64_t>(number);
    return true;
}

inline bool
fromJson(const web::json::value &json, std::uint32_t &plain, const value_limits &limits, decode_fault &fault)
{
    std::uint64_t number = 0;
    if (!fromJson(json, number, value_limits{limits.least, std::min(limits.most, any32.most)}, fault)) {
        return false;
    }
    plain = static_cast<std::uint32_t>(number);
    return true;
}

inline bool
fromJson(const web::json::value &json, milliseconds &duration, const value_limits &limits, decode_fault &fault)
{
    std::int64_t number = 0;
    if (!fromJson(json, number, limits, fault)) {
        return false;
    }
    duration = milliseconds(number);
    return true;
}

inline bool fromJson(const web::json::value &json, std::string &plain, const value_limits &limits, decode_fault &fault)
{
    if (!json.is_string()) {
        return reject(fault, "must be a string");
    }
    const std::string &text = json.as_string();
    if (!checkLength(text.size(), limits, fault)) {
        return false;
    }
    // The parser accepts the escape of a lone low surrogate, whose encoding is not valid UTF-8.
    if (!isUtf8(text)) {
        return reject(fault, "is not valid UTF-8");
    }
    plain = text;
    return true;
}

template<is_strong_value Strong>
bool fromJson(const web::json::value &json, Strong &strong, const value_limits &limits, decode_fault &fault)
{
    if (!fromJson(json, strong.value, limits, fault)) {
        return false;
    }
    if constexpr (std::is_same_v<typename Strong::rep, std::string>) {
        return checkName(strong.value, fault);
    }
    return true;
}

template<has_enum_names Enum>
bool fromJson(const web::json::value &json, Enum &plain, const value_limits &, decode_fault &fault)
{
    if (json.is_string()) {
        for (std::size_t index = 0; index < enum_names<Enum>::count; ++index) {
            if (enum_names<Enum>::name(static_cast<Enum>(index)) == json.as_string()) {
                plain = static_cast<Enum>(index);
                return true;
            }
        }
    }
    return reject(fault, "must be one of the defined names");
}

template<has_field_list Struct>
bool fromJson(const web::json::value &json, Struct &message, const value_limits &, decode_fault &fault);

template<typename Element>
bool fromJson(const web::json::value &json, std::vector<Element> &list, const value_limits &limits, decode_fault &fault)
{
    if (!json.is_array()) {
        return reject(fault, "must be a list");
    }
    const web::json::array &elements = json.as_array();
    if (!checkCount(elements.size(), limits, fault)) {
        return false;
    }
    list.resize(elements.size());
    for (std::size_t index = 0; index < elements.size(); ++index) {
        if (!fromJson(elements.at(index), list[index], elementLimits<Element>(), fault)) {
            return rejectAt(fault, index);
        }
    }
    return true;
}

template<typename Struct>
bool readFields(const web::json::object &object, Struct &message, decode_fault &fault);

template<typename Struct, typename Member>
bool readField(const web::json::object &object,
               Struct &message,
               const field<Struct, Member> &descriptor,
               decode_fault &fault)
{
    const auto found = object.find(std::string(descriptor.name));
    if (found == object.end()) {
        if (descriptor.needed == presence::Optional) {
            return true;
        }
        reject(fault, "is missing");
        return rejectIn(fault, descriptor.name);
    }
    return fromJson(found->second, message.*descriptor.member, descriptor.limits, fault)
        || rejectIn(fault, descriptor.name);
}

template<typename Struct, typename Member>
bool readField(const web::json::object &object,
               Struct &message,
               const embedded<Struct, Member> &descriptor,
               decode_fault &fault)
{
    return readFields(object, message.*descriptor.member, fault);
}

template<typename Struct>
bool readFields(const web::json::object &object, Struct &message, decode_fault &fault)
{
    return std::apply([&](const auto &...descriptor) { return (readField(object, message, descriptor, fault) && ...); },
                      field_list<Struct>::fields);
}

/// Rejects a field that occurs twice, because two programs may read different occurrences.
inline bool checkDuplicates(const web::json::object &object, decode_fault &fault)
{
    std::vector<std::string_view> names;
    names.reserve(object.size());
    for (const auto &entry : object) {
        names.emplace_back(entry.first);
    }
    std::sort(names.begin(), names.end());
    const auto duplicate = std::adjacent_find(names.begin(), names.end());
    if (duplicate == names.end()) {
        return true;
    }
    reject(fault, "occurs twice");
    return rejectIn(fault, *duplicate);
}

template<has_field_list Struct>
bool fromJson(const web::json::value &json, Struct &message, const value_limits &, decode_fault &fault)
{
    if (!json.is_object()) {
        return reject(fault, "must be an object");
    }
    return checkDuplicates(json.as_object(), fault) && readFields(json.as_object(), message, fault);
}

template<typename Struct>
bool isField(std::string_view name);

template<typename Struct, typename Member>
bool hasName(const field<Struct, Member> &descriptor, std::string_view name)
{
    return descriptor.name == name;
}

template<typename Struct, typename Member>
bool hasName(const embedded<Struct, Member> &, std::string_view name)
{
    return isField<Member>(name);
}

template<typename Struct>
bool isField(std::string_view name)
{
    return std::apply([&](const auto &...descriptor) { return (hasName(descriptor, name) || ...); },
                      field_list<Struct>::fields);
}

/// Rejects a field that the struct does not have, so that a misspelt optional field is not silently ignored.
template<typename Struct>
bool checkUnknownFields(const web::json::value &json, decode_fault &fault)
{
    for (const auto &entry : json.as_object()) {
        if (!isField<Struct>(entry.first)) {
            reject(fault, "is not a known field");
            return rejectIn(fault, entry.first.substr(0, maxNameBytes));
        }
    }
    return true;
}

/// Parses JSON text. Errors: InvalidInput if it is not valid JSON or UTF-8.
result<web::json::value> parseJson(std::string_view text);

/// What a decoder does with a field that the struct does not have.
enum class unknown_fields {
    Ignore,
    Reject,
};

template<typename Struct>
result<Struct> decodeJson(std::string_view text, unknown_fields policy = unknown_fields::Ignore)
{
    const auto parsed = parseJson(text);
    if (!parsed) {
        return parsed.error();
    }
    Struct message;
    decode_fault fault;
    const bool accepted = fromJson(parsed.value(), message, value_limits{}, fault)
        && (policy == unknown_fields::Ignore || checkUnknownFields<Struct>(parsed.value(), fault));
    if (!accepted) {
        return makeError(error_kind::InvalidInput, formatFault(fault));
    }
    return message;
}

/// Decodes into one alternative of a variant.
template<typename Variant, typename Struct>
result<Variant> decodeJsonAs(std::string_view text)
{
    auto message = decodeJson<Struct>(text);
    if (!message) {
        return message.error();
    }
    return Variant(std::move(message.value()));
}

} // namespace sesamespar
