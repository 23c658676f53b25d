// Reads JSON objects whose fields may be absent or of another type, with RapidJSON. Included only by the sources of
// decoders.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sesamespar {

/// View of an object. A field that is absent or of another type reads as `fallback` or as an empty value.
class json_object
{
public:
    explicit json_object(const rapidjson::Value &value)
        : m_value(value)
    {
    }

    const rapidjson::Value *find(const char *name) const
    {
        const auto found = m_value.FindMember(name);
        return found == m_value.MemberEnd() ? nullptr : &found->value;
    }

    std::int64_t number(const char *name, std::int64_t fallback) const
    {
        const rapidjson::Value *field = find(name);
        return field != nullptr && field->IsInt64() ? field->GetInt64() : fallback;
    }

    /// The number, or nothing if it is absent, of another type or outside the range. Keeps arithmetic on numbers of
    /// other writers far from overflow.
    std::optional<std::int64_t> boundedNumber(const char *name, std::int64_t least, std::int64_t most) const
    {
        const rapidjson::Value *field = find(name);
        if (field == nullptr || !field->IsInt64() || field->GetInt64() < least || field->GetInt64() > most) {
            return std::nullopt;
        }
        return field->GetInt64();
    }

    double real(const char *name, double fallback) const
    {
        const rapidjson::Value *field = find(name);
        return field != nullptr && field->IsNumber() ? field->GetDouble() : fallback;
    }

    bool flag(const char *name) const
    {
        const rapidjson::Value *field = find(name);
        return field != nullptr && field->IsBool() && field->GetBool();
    }

    std::string text(const char *name) const
    {
        const rapidjson::Value *field = find(name);
        return field != nullptr && field->IsString() ? std::string(field->GetString(), field->GetStringLength())
                                                     : std::string();
    }

    std::span<const rapidjson::Value> list(const char *name) const
    {
        const rapidjson::Value *field = find(name);
        return field != nullptr && field->IsArray() ? std::span(field->Begin(), field->Size())
                                                    : std::span<const rapidjson::Value>();
    }

    std::optional<json_object> object(const char *name) const
    {
        const rapidjson::Value *field = find(name);
        return field != nullptr && field->IsObject() ? std::optional(json_object(*field)) : std::nullopt;
    }

    auto members() const
    {
        return m_value.GetObject();
    }

private:
    const rapidjson::Value &m_value;
};

/// A parsed JSON text.
class json_document
{
public:
    explicit json_document(std::string_view text)
    {
        // The iterative parser does not overflow the stack on deeply nested input.
        m_document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(text.data(),
                                                                                                 text.size());
    }

    /// The top-level object, or nothing if the text is malformed or another JSON value.
    std::optional<json_object> object() const
    {
        if (m_document.HasParseError() || !m_document.IsObject()) {
            return std::nullopt;
        }
        return json_object(m_document);
    }

private:
    rapidjson::Document m_document;
};

} // namespace sesamespar
