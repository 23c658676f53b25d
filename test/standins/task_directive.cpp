#include "standins/task_directive.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <map>
#include <sstream>

namespace sesamespar::standins {

namespace {

using words = std::map<std::string, std::string>;

/// YAML is a superset of JSON; a payload that is no object gives no words.
words parseObject(const std::string &payload)
{
    words found;
    try {
        const YAML::Node document = YAML::Load(payload);
        for (const auto &entry : document) {
            if (entry.second.IsScalar()) {
                found[entry.first.Scalar()] = entry.second.Scalar();
            }
        }
    } catch (const YAML::Exception &) {
        return {};
    }
    return found;
}

words parseWords(const std::string &payload)
{
    words found;
    std::istringstream stream(payload);
    std::string word;
    while (stream >> word) {
        const std::size_t separator = word.find('=');
        if (separator != std::string::npos) {
            found[word.substr(0, separator)] = word.substr(separator + 1);
        }
    }
    return found;
}

std::optional<std::int64_t> numberOf(const words &found, const std::string &key)
{
    const auto entry = found.find(key);
    if (entry == found.end()) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    const char *end = entry->second.data() + entry->second.size();
    const auto parsed = std::from_chars(entry->second.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end && number >= 0 ? std::optional(number) : std::nullopt;
}

} // namespace

task_directive parseTaskDirective(const std::string &payload)
{
    const words found = payload.starts_with('{') ? parseObject(payload) : parseWords(payload);
    task_directive directive;
    if (const auto runTime = numberOf(found, "run_ms")) {
        directive.runTime = milliseconds(*runTime);
    }
    if (const auto use = numberOf(found, "use_millicores")) {
        directive.use = millicores(*use);
    }
    const auto fail = found.find("fail");
    directive.fails = fail != found.end() && (fail->second == "1" || fail->second == "true");
    if (const auto text = found.find("result"); text != found.end()) {
        directive.result = text->second;
    }
    return directive;
}

} // namespace sesamespar::standins
