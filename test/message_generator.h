// Generates random messages within the limits of their field lists and compares messages, for property tests.
#pragma once

#include "connection/message_fields.h"

#include <rapidcheck.h>

#include <string>
#include <variant>
#include <vector>

namespace sesamespar {

/// Random UTF-8 text within the limits. Only text that is not a name has control characters.
inline std::string randomText(const value_limits &limits, bool name)
{
    static const std::vector<std::string> nameParts{"a", "Z", "0", ":", "-", "/", "\"", "\\", "%", " ", "é", "Ж", "😀"};
    static const std::vector<std::string> textParts{
        "a", "\"", "\\", "\n", "\r", "\t", std::string(1, '\0'), "\x1F", "\x7F", "é", "漢", "😀"};
    const auto length = *rc::gen::inRange<std::size_t>(limits.least, 1 + std::min<std::uint64_t>(limits.most / 4, 40));
    std::string text;
    for (std::size_t index = 0; index < length; ++index) {
        text += *rc::gen::elementOf(name ? nameParts : textParts);
    }
    return text;
}

inline std::uint64_t randomNumber(const value_limits &limits)
{
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return limits.least;
    case 1:
        return limits.most;
    default: {
        const std::uint64_t span = limits.most - limits.least;
        const auto number = *rc::gen::arbitrary<std::uint64_t>();
        return limits.least + (span == std::numeric_limits<std::uint64_t>::max() ? number : number % (span + 1));
    }
    }
}

inline void fillRandom(bool &plain, const value_limits &)
{
    plain = *rc::gen::arbitrary<bool>();
}

inline void fillRandom(std::uint64_t &plain, const value_limits &limits)
{
    plain = randomNumber(limits);
}

inline void fillRandom(std::uint32_t &plain, const value_limits &limits)
{
    plain = static_cast<std::uint32_t>(randomNumber(limits));
}

inline void fillRandom(std::int64_t &plain, const value_limits &limits)
{
    plain = static_cast<std::int64_t>(randomNumber(limits));
}

inline void fillRandom(milliseconds &duration, const value_limits &limits)
{
    duration = milliseconds(static_cast<milliseconds::rep>(randomNumber(limits)));
}

inline void fillRandom(std::string &plain, const value_limits &limits)
{
    plain = randomText(limits, false);
}

template<is_strong_value Strong>
void fillRandom(Strong &strong, const value_limits &limits)
{
    if constexpr (std::is_same_v<typename Strong::rep, std::string>) {
        strong.value = randomText(limits, true);
    } else {
        fillRandom(strong.value, limits);
    }
}

template<has_enum_names Enum>
void fillRandom(Enum &plain, const value_limits &)
{
    plain = static_cast<Enum>(*rc::gen::inRange<std::size_t>(0, enum_names<Enum>::count));
}

template<has_field_list Struct>
void fillRandom(Struct &message, const value_limits &);

template<typename... Alternatives>
void fillRandom(std::variant<Alternatives...> &message, const value_limits &);

template<typename Element>
void fillRandom(std::vector<Element> &list, const value_limits &limits)
{
    list.resize(*rc::gen::inRange<std::size_t>(0, 1 + std::min<std::uint64_t>(limits.most, 4)));
    for (Element &element : list) {
        fillRandom(element, elementLimits<Element>());
    }
}

template<typename Struct, typename Member>
void fillField(Struct &message, const field<Struct, Member> &single)
{
    fillRandom(message.*single.member, single.limits);
}

template<typename Struct, typename Member>
void fillField(Struct &message, const embedded<Struct, Member> &single)
{
    fillRandom(message.*single.member, value_limits{});
}

template<has_field_list Struct>
void fillRandom(Struct &message, const value_limits &)
{
    std::apply([&](const auto &...single) { (fillField(message, single), ...); }, field_list<Struct>::fields);
}

template<typename Variant, std::size_t Index = 0>
void fillAlternative(Variant &message, std::size_t index)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (index == Index) {
            fillRandom(message.template emplace<Index>(), value_limits{});
        } else {
            fillAlternative<Variant, Index + 1>(message, index);
        }
    }
}

template<typename... Alternatives>
void fillRandom(std::variant<Alternatives...> &message, const value_limits &)
{
    fillAlternative(message, *rc::gen::inRange<std::size_t>(0, sizeof...(Alternatives)));
}

/// A random message of that type.
template<typename Message>
Message randomMessage()
{
    Message message;
    fillRandom(message, anyList);
    return message;
}

template<typename Plain>
bool sameContent(const Plain &left, const Plain &right)
{
    return left == right;
}

template<has_field_list Struct>
bool sameContent(const Struct &left, const Struct &right);

template<typename... Alternatives>
bool sameContent(const std::variant<Alternatives...> &left, const std::variant<Alternatives...> &right);

template<typename Element>
bool sameContent(const std::vector<Element> &left, const std::vector<Element> &right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](const Element &one, const Element &other) {
            return sameContent(one, other);
        });
}

template<has_field_list Struct>
bool sameContent(const Struct &left, const Struct &right)
{
    return std::apply(
        [&](const auto &...single) { return (sameContent(left.*single.member, right.*single.member) && ...); },
        field_list<Struct>::fields);
}

template<typename... Alternatives>
bool sameContent(const std::variant<Alternatives...> &left, const std::variant<Alternatives...> &right)
{
    return left.index() == right.index()
        && std::visit(
               [&](const auto &single) { return sameContent(single, std::get<std::decay_t<decltype(single)>>(right)); },
               left);
}

} // namespace sesamespar
