#include "standins/task_directive.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <map>
#include <sstream>

namespace sesamespar::standins {

namespace {

using payload_fields = std::map<std::string, std::string>;

/// Parses with the YAML library, since YAML is a superset of JSON. A malformed payload has no fields.
payload_fields parseObject(const std::string &payload)
{
    payload_fields fields;
    try {
        const YAML::Node document = YAML::Load(payload);
        for (const auto &entry : document) {
            if (entry.second.IsScalar()) {
                fields[entry.first.Scalar()] = entry.second.Scalar();
            }
        }
    } catch (const YAML::Exception &) {
        return {};
    }
    return fields;
}

payload_fields parsePairs(const std::string &payload)
{
    payload_fields fields;
    std::istringstream stream(payload);
    std::string word;
    while (stream >> word) {
        const std::size_t separator = word.find('=');
        if (separator != std::string::npos) {
            fields[word.substr(0, separator)] = word.substr(separator + 1);
        }
    }
    return fields;
}

std::optional<std::int64_t> numberField(const payload_fields &fields, const std::string &key)
{
    const auto entry = fields.find(key);
    if (entry == fields.end()) {
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
    const payload_fields fields = payload.starts_with('{') ? parseObject(payload) : parsePairs(payload);
    task_directive directive;
    if (const auto runTime = numberField(fields, "run_ms")) {
        directive.runTime = milliseconds(*runTime);
    }
    if (const auto use = numberField(fields, "use_millicores")) {
        directive.use = millicores(*use);
    }
    const auto fail = fields.find("fail");
    directive.fails = fail != fields.end() && (fail->second == "1" || fail->second == "true");
    if (const auto text = fields.find("result"); text != fields.end()) {
        directive.result = text->second;
    }
    return directive;
}

} // namespace sesamespar::standins
