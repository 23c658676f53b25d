#include "base/log_line.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>

namespace sesamespar {

namespace {

constexpr std::string_view timeKey = "time_ms=";
constexpr std::string_view levelKey = "level=";
constexpr std::string_view eventKey = "event=";

/// Consumes the rest of a quoted value, after its opening quote.
std::string consumeQuoted(std::string_view &rest)
{
    std::string value;
    while (!rest.empty()) {
        const char c = rest.front();
        rest.remove_prefix(1);
        if (c == '"') {
            break;
        }
        if (c == '\\' && !rest.empty()) {
            value += rest.front();
            rest.remove_prefix(1);
        } else {
            value += c;
        }
    }
    return value;
}

std::string consumePlain(std::string_view &rest)
{
    const std::size_t end = std::min(rest.find(' '), rest.size());
    std::string value(rest.substr(0, end));
    rest.remove_prefix(end);
    return value;
}

/// Consumes the next KEY=VALUE. Returns nothing at the end of the line.
std::optional<std::pair<std::string, std::string>> consumeField(std::string_view &rest)
{
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
        return std::nullopt;
    }
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    if (rest.starts_with('"')) {
        rest.remove_prefix(1);
        return std::pair(std::move(key), consumeQuoted(rest));
    }
    return std::pair(std::move(key), consumePlain(rest));
}

/// Last word of the prefix that a log collector added to the line, without brackets and separators.
std::string_view lastWord(std::string_view text)
{
    const std::size_t last = text.find_last_not_of(" \t]:|");
    if (last == std::string_view::npos) {
        return {};
    }
    text = text.substr(0, last + 1);
    const std::size_t space = text.find_last_of(" \t[");
    return space == std::string_view::npos ? text : text.substr(space + 1);
}

/// Offset of the first field that base/log.h writes: the time, the level or the event.
std::size_t findFirstField(std::string_view text)
{
    return std::min({text.find(timeKey), text.find(levelKey), text.find(eventKey)});
}

} // namespace

std::optional<log_line> parseLogLine(std::string_view text)
{
    while (text.ends_with('\n') || text.ends_with('\r')) {
        text.remove_suffix(1);
    }
    if (text.find(eventKey) == std::string_view::npos) {
        return std::nullopt;
    }
    const std::size_t begin = findFirstField(text);
    log_line line;
    line.source = lastWord(text.substr(0, begin));
    text.remove_prefix(begin);
    while (auto field = consumeField(text)) {
        auto &[key, value] = *field;
        if (key == "time_ms" && line.timeMs == 0) {
            std::from_chars(value.data(), value.data() + value.size(), line.timeMs);
        } else if (key == "event" && line.event.empty()) {
            line.event = std::move(value);
        } else {
            line.fields.push_back(std::move(*field));
        }
    }
    if (line.event.empty()) {
        return std::nullopt;
    }
    return line;
}

bool readLogFile(const std::string &path, const std::function<void(log_line)> &visit)
{
    std::ifstream stream(path);
    if (!stream) {
        return false;
    }
    for (std::string text; std::getline(stream, text);) {
        std::optional<log_line> line = parseLogLine(text);
        if (!line) {
            continue;
        }
        if (line->source.empty()) {
            line->source = std::filesystem::path(path).stem().string();
        }
        visit(std::move(*line));
    }
    return true;
}

std::string fieldOf(const log_line &line, std::string_view key)
{
    const auto found =
        std::find_if(line.fields.begin(), line.fields.end(), [key](const auto &field) { return field.first == key; });
    return found == line.fields.end() ? std::string() : found->second;
}

} // namespace sesamespar
