// Fields of JSON objects and joined texts.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

inline const rapidjson::Value *field3(const rapidjson::Value &object, const char *name)
{
    if (!object.IsObject()) {
        return nullptr;
    }
    const auto found = object.FindMember(name);
    return found == object.MemberEnd() ? nullptr : &found->value;
}

inline bool has3(const rapidjson::Value &object, const char *name)
{
    return field3(object, name) != nullptr;
}

inline std::string text3(const rapidjson::Value &object, const char *name)
{
    const rapidjson::Value *field = field3(object, name);
    return field != nullptr && field->IsString() ? std::string(field->GetString(), field->GetStringLength())
                                                 : std::string();
}

/// 0 if the field is absent.
inline std::int64_t number3(const rapidjson::Value &object, const char *name)
{
    const rapidjson::Value *field = field3(object, name);
    return field != nullptr && field->IsInt64() ? field->GetInt64() : 0;
}

inline std::uint64_t count3(const rapidjson::Value &object, const char *name)
{
    return static_cast<std::uint64_t>(number3(object, name));
}

inline std::span<const rapidjson::Value> list3(const rapidjson::Value &object, const char *name)
{
    const rapidjson::Value *field = field3(object, name);
    return field != nullptr && field->IsArray() ? std::span(field->Begin(), field->Size())
                                                : std::span<const rapidjson::Value>();
}

inline std::string joined3(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text.append(part);
    }
    return text;
}
