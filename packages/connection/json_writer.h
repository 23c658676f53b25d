// Writes JSON objects with RapidJSON; the counterpart of json_reader.h. Included only by the sources of encoders.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <concepts>
#include <string>

namespace sesamespar {

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// Writes a string member.
inline void writeText(json_writer &writer, const char *key, const std::string &value)
{
    writer.Key(key);
    writer.String(value);
}

/// Writes an integer member.
template<std::integral Number>
void writeNumber(json_writer &writer, const char *key, Number value)
{
    writer.Key(key);
    if constexpr (std::signed_integral<Number>) {
        writer.Int64(value);
    } else {
        writer.Uint64(value);
    }
}

/// Writes a Boolean member.
inline void writeFlag(json_writer &writer, const char *key, bool value)
{
    writer.Key(key);
    writer.Bool(value);
}

/// Text written so far.
inline std::string writtenText(const rapidjson::StringBuffer &buffer)
{
    return {buffer.GetString(), buffer.GetSize()};
}

} // namespace sesamespar
