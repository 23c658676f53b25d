#include "version/yaml_reader.h"

#include "version/unit_syntax.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace sesamespar {

namespace {

constexpr std::size_t maxQuotedBytes = 48;
constexpr std::size_t maxSuggestionDistance = 3;

std::string childPath(const yaml_cursor &map, std::string_view name)
{
    return map.path.empty() ? std::string(name) : map.path + '.' + std::string(name);
}

std::string printableName(std::string_view name)
{
    const std::string quoted = quoteForMessage(name);
    return isDeclaredName(name) || quoted.size() == name.size() + 2 ? std::string(name) : quoted;
}

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t change = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({change, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

std::string joinNames(std::span<const std::string_view> names)
{
    std::string text;
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (index > 0) {
            text += index + 1 == names.size() ? " or " : ", ";
        }
        text += names[index];
    }
    return text;
}

std::string unknownFieldHint(std::string_view name, const field_rules &rules)
{
    const std::string_view suggestion = nearestName(name, rules.known);
    if (!suggestion.empty()) {
        return "did you mean " + std::string(suggestion) + '?';
    }
    return "expected " + joinNames(rules.known);
}

std::string describeKind(const yaml_node &node)
{
    switch (node.kind) {
    case yaml_kind::Scalar:
        return "is a single value";
    case yaml_kind::Sequence:
        return "is a list";
    case yaml_kind::Map:
        return "is a map";
    default:
        return "has no value";
    }
}

/// Returns true if the node has the given kind. Otherwise reports it, unless it was reported before.
bool checkKind(const yaml_cursor &at, yaml_kind kind, const std::string &allowed)
{
    if (at.node->kind == kind) {
        return true;
    }
    if (at.node->kind != yaml_kind::Skipped) {
        addFinding(at, describeKind(*at.node), allowed);
    }
    return false;
}

/// Reads one field with the given parser and checks its range.
template<typename Value, typename Parser>
void readRanged(const yaml_cursor &map,
                std::string_view name,
                const std::string &allowed,
                const Parser &parse,
                const Value &minimum,
                const Value &maximum,
                Value &value)
{
    const auto field = findField(map, name);
    const auto text = field ? scalarText(*field, allowed) : std::nullopt;
    if (!text) {
        return;
    }
    const auto parsed = parse(*text);
    if (!parsed) {
        addFinding(*field, quoteForMessage(*text) + ' ' + parsed.error().message, allowed);
    } else if (parsed.value() < minimum || parsed.value() > maximum) {
        addFinding(
            *field, quoteForMessage(*text) + (parsed.value() < minimum ? " is too small" : " is too large"), allowed);
    } else {
        value = parsed.value();
    }
}

} // namespace

void addFinding(yaml_report &report, yaml_location location, std::string path, std::string problem, std::string allowed)
{
    // Keeps one finding above the limit, so that sortedFindings() can detect that there were more.
    if (report.problems.size() <= maxYamlFindings) {
        report.problems.push_back(
            {report.file, location.line, location.column, std::move(path), std::move(problem), std::move(allowed)});
    }
}

void addFinding(const yaml_cursor &at, std::string problem, std::string allowed)
{
    addFinding(*at.report, at.node->location, at.path, std::move(problem), std::move(allowed));
}

findings sortedFindings(yaml_report report)
{
    std::stable_sort(report.problems.begin(), report.problems.end(), [](const finding &left, const finding &right) {
        return std::pair(left.line, left.column) < std::pair(right.line, right.column);
    });
    if (report.problems.size() > maxYamlFindings) {
        report.problems.resize(maxYamlFindings);
        report.problems.push_back(
            {report.file, 0, 0, "", "there are more findings", "correct these and check the file again"});
    }
    return std::move(report.problems);
}

std::string quoteForMessage(std::string_view text)
{
    std::string quoted = "\"";
    for (const char c : text.substr(0, maxQuotedBytes)) {
        const auto byte = static_cast<unsigned char>(c);
        quoted += byte < ' ' || byte == 0x7F ? '?' : c;
    }
    // Drops the UTF-8 character at the cut, which may be incomplete.
    while (text.size() > maxQuotedBytes && (static_cast<unsigned char>(quoted.back()) & 0x80U) != 0) {
        quoted.pop_back();
    }
    return quoted + (text.size() > maxQuotedBytes ? "...\"" : "\"");
}

std::string_view nearestName(std::string_view name, std::span<const std::string_view> known)
{
    std::string_view nearest;
    std::size_t smallestDistance = maxSuggestionDistance + 1;
    for (const std::string_view candidate : known) {
        if (name.size() > candidate.size() + maxSuggestionDistance) {
            continue;
        }
        const std::size_t distance = editDistance(name, candidate);
        if (distance < smallestDistance && distance < candidate.size()) {
            smallestDistance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

bool checkFields(const yaml_cursor &map, const field_rules &rules)
{
    if (!checkKind(map, yaml_kind::Map, "expected a map of fields")) {
        return false;
    }
    std::set<std::string_view> seen;
    for (const yaml_entry &entry : map.node->entries) {
        const bool known = std::find(rules.known.begin(), rules.known.end(), entry.key) != rules.known.end();
        if (!known) {
            addFinding(*map.report,
                       entry.location,
                       childPath(map, printableName(entry.key)),
                       "unknown field",
                       unknownFieldHint(entry.key, rules));
        } else if (!seen.insert(entry.key).second) {
            addFinding(*map.report, entry.location, childPath(map, entry.key), "duplicate field", "expected it once");
        }
    }
    for (const std::string_view name : rules.required) {
        if (!seen.contains(name)) {
            addFinding(*map.report, map.node->location, childPath(map, name), "missing field", "it is required");
        }
    }
    return true;
}

std::optional<yaml_cursor> findField(const yaml_cursor &map, std::string_view name)
{
    for (const yaml_entry &entry : map.node->entries) {
        if (entry.key == name) {
            return yaml_cursor{&entry.value, childPath(map, name), map.report};
        }
    }
    return std::nullopt;
}

void forEachItem(const yaml_cursor &map,
                 std::string_view name,
                 std::size_t limit,
                 const std::function<void(const yaml_cursor &)> &visit)
{
    const auto field = findField(map, name);
    if (!field || !checkKind(*field, yaml_kind::Sequence, "expected a list")) {
        return;
    }
    const std::size_t count = field->node->items.size();
    if (count > limit) {
        addFinding(*field, "has " + std::to_string(count) + " entries", "expected at most " + std::to_string(limit));
    }
    for (std::size_t index = 0; index < std::min(count, limit); ++index) {
        visit({&field->node->items[index], field->path + '[' + std::to_string(index) + ']', field->report});
    }
}

std::optional<std::string> scalarText(const yaml_cursor &at, const std::string &allowed)
{
    if (!checkKind(at, yaml_kind::Scalar, allowed)) {
        return std::nullopt;
    }
    return at.node->text;
}

bool isDeclaredName(std::string_view text)
{
    const auto plain = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
    };
    return !text.empty() && text.size() <= maxDeclaredNameBytes && plain(text.front())
        && std::all_of(text.begin(), text.end(), [&](char c) { return plain(c) || c == '-'; });
}

std::optional<std::string> nameText(const yaml_cursor &at)
{
    const std::string allowed = "expected a-z, 0-9 and -, not first -, at most 128 characters";
    auto text = scalarText(at, allowed);
    if (text && !isDeclaredName(*text)) {
        addFinding(at, quoteForMessage(*text) + " is not a name", allowed);
        return std::nullopt;
    }
    return text;
}

void readWholeNumber(
    const yaml_cursor &map, std::string_view name, std::int64_t minimum, std::int64_t maximum, std::int64_t &value)
{
    const std::string allowed =
        "expected a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    readRanged(map, name, allowed, parseWholeNumber, minimum, maximum, value);
}

void readPercent(const yaml_cursor &map, std::string_view name, int minimum, int maximum, int &value)
{
    const std::string allowed = "expected " + std::to_string(minimum) + "% to " + std::to_string(maximum) + '%';
    std::int64_t wide = value;
    readRanged<std::int64_t>(map, name, allowed, parsePercent, minimum, maximum, wide);
    value = static_cast<int>(wide);
}

void readDuration(
    const yaml_cursor &map, std::string_view name, milliseconds minimum, milliseconds maximum, milliseconds &value)
{
    const std::string allowed = "expected a duration such as 500ms, 90s, 10m or 24h, from " + formatDuration(minimum)
        + " to " + formatDuration(maximum);
    readRanged(map, name, allowed, parseDuration, minimum, maximum, value);
}

void readProcessors(
    const yaml_cursor &map, std::string_view name, millicores minimum, millicores maximum, millicores &value)
{
    const std::string allowed = "expected processors such as 2, 0.5 or 500m, from " + formatProcessors(minimum) + " to "
        + formatProcessors(maximum);
    readRanged(map, name, allowed, parseProcessors, minimum, maximum, value);
}

void readMemory(const yaml_cursor &map, std::string_view name, mebibytes minimum, mebibytes maximum, mebibytes &value)
{
    const std::string allowed =
        "expected memory such as 512MiB or 4GiB, from " + formatMemory(minimum) + " to " + formatMemory(maximum);
    readRanged(map, name, allowed, parseMemory, minimum, maximum, value);
}

void readBoolean(const yaml_cursor &map, std::string_view name, bool &value)
{
    static constexpr std::array<std::string_view, 2> choices{"false", "true"};
    const auto index = readChoice(map, name, choices);
    if (index) {
        value = *index == 1;
    }
}

void readCount(
    const yaml_cursor &map, std::string_view name, std::uint32_t minimum, std::uint32_t maximum, std::uint32_t &value)
{
    std::int64_t wide = value;
    readWholeNumber(map, name, minimum, maximum, wide);
    value = static_cast<std::uint32_t>(wide);
}

std::optional<std::size_t>
readChoice(const yaml_cursor &map, std::string_view name, std::span<const std::string_view> choices)
{
    const auto field = findField(map, name);
    const std::string allowed = "expected " + joinNames(choices);
    const auto text = field ? scalarText(*field, allowed) : std::nullopt;
    if (!text) {
        return std::nullopt;
    }
    const auto found = std::find(choices.begin(), choices.end(), *text);
    if (found == choices.end()) {
        addFinding(*field, quoteForMessage(*text) + " is not allowed", allowed);
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - choices.begin());
}

} // namespace sesamespar
