#include "submit_description.h"

#include "base/rfc3339.h"
#include "version/unit_syntax.h"
#include "version/yaml_reader.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace sesamespar {

namespace {

constexpr milliseconds defaultLifetime{3600000};
const char *const expectedExpiry = "expected a time such as 2026-12-04T10:00:00Z or +1h";
const char *const expectedKey = "expected 1 to 128 printable characters without spaces";

const field_rules descriptionRules{{"team", "key", "work", "expires", "tasks", "payload", "wait"}, {"team", "work"}};

std::string randomKey()
{
    std::random_device source;
    std::string key;
    for (int part = 0; part < 4; ++part) {
        std::array<char, 9> buffer{};
        std::snprintf(buffer.data(), buffer.size(), "%08x", static_cast<unsigned>(source()));
        key += buffer.data();
    }
    return key;
}

void readKey(const yaml_cursor &root, const std::string &optionText, idempotency_key &key)
{
    const auto field = findField(root, "key");
    const auto text = field ? scalarText(*field, expectedKey) : std::nullopt;
    if (text && !isKey(*text)) {
        addFinding(*field, quoteForMessage(*text) + " is not a key", expectedKey);
    }
    if (!optionText.empty() && !isKey(optionText)) {
        addFinding(*root.report, {}, "--key", quoteForMessage(optionText) + " is not a key", expectedKey);
    }
    const std::string chosen = optionText.empty() ? text.value_or("") : optionText;
    key = idempotency_key(chosen.empty() ? randomKey() : chosen);
}

void readExpiry(const yaml_cursor &root, const std::string &optionText, utc_time now, utc_time &expires)
{
    expires = utc_time(now.value + defaultLifetime.count());
    const auto field = findField(root, "expires");
    const auto text = field ? scalarText(*field, expectedExpiry) : std::nullopt;
    const auto fieldExpiry = text ? parseExpiry(*text, now) : std::nullopt;
    if (text && !fieldExpiry) {
        addFinding(*field, quoteForMessage(*text) + " is not a time", expectedExpiry);
    }
    const auto chosenExpiry = optionText.empty() ? fieldExpiry : parseExpiry(optionText, now);
    if (!optionText.empty() && !chosenExpiry) {
        addFinding(*root.report, {}, "--expires", quoteForMessage(optionText) + " is not a time", expectedExpiry);
    }
    expires = chosenExpiry.value_or(expires);
}

void readPayload(const yaml_cursor &root, std::string &payload)
{
    const std::string allowed = "expected text of at most " + std::to_string(maxPayloadBytes) + " bytes";
    const auto field = findField(root, "payload");
    const auto text = field ? scalarText(*field, allowed) : std::nullopt;
    if (text && text->size() > maxPayloadBytes) {
        addFinding(*field, "has " + std::to_string(text->size()) + " bytes", allowed);
    }
    payload = text.value_or("");
}

void readDescription(const yaml_cursor &root,
                     const description_overrides &overrides,
                     utc_time now,
                     submit_request &request)
{
    if (!checkFields(root, descriptionRules)) {
        return;
    }
    readName(root, "team", request.job.id.team);
    readName(root, "work", request.job.work);
    readKey(root, overrides.key, request.job.id.key);
    readExpiry(root, overrides.expires, now, request.job.expires);
    readCount(root, "tasks", 1, 10000, request.job.tasks);
    readPayload(root, request.job.payload);
    readDuration(root, "wait", milliseconds(0), maxCallerWait, request.wait);
}

} // namespace

bool isKey(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameBytes
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7F; });
}

std::optional<utc_time> parseExpiry(const std::string &text, utc_time now)
{
    if (!text.empty() && text.front() == '+') {
        // 365 days, far above the longest retention; the limit keeps the sum from overflowing.
        constexpr milliseconds maxOffset{31536000000};
        const auto offset = parseDuration(std::string_view(text).substr(1));
        if (!offset || offset.value() > maxOffset) {
            return std::nullopt;
        }
        return utc_time(now.value + offset.value().count());
    }
    return parseRfc3339(text);
}

parsed_description
parseDescription(const std::string &text, const std::string &file, const description_overrides &overrides, utc_time now)
{
    yaml_document document = parseYaml(text, file);
    yaml_report report{file, std::move(document.problems)};
    submit_request request;
    if (document.readable) {
        readDescription({&document.root, "", &report}, overrides, now, request);
    }
    parsed_description parsed;
    parsed.problems = sortedFindings(std::move(report));
    if (parsed.problems.empty()) {
        parsed.request = std::move(request);
    }
    return parsed;
}

} // namespace sesamespar
