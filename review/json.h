// Reads and writes JSON in the stand-ins.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <string>

namespace review {

/// A string member, or an empty string if it is absent or of another type.
inline std::string textOf(const rapidjson::Value &object, const char *name)
{
    const auto found = object.FindMember(name);
    return found != object.MemberEnd() && found->value.IsString()
        ? std::string(found->value.GetString(), found->value.GetStringLength())
        : std::string();
}

/// An integer member, or 0 if it is absent or of another type.
inline std::uint64_t integerOf(const rapidjson::Value &object, const char *name)
{
    const auto found = object.FindMember(name);
    return found != object.MemberEnd() && found->value.IsUint64() ? found->value.GetUint64() : 0;
}

/// The text as a JSON string.
std::string quoteJson(const std::string &text);

} // namespace review
