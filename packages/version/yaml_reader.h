// Reads typed values from a YAML tree. Every error becomes a finding with the location and path of its field, and
// reading continues, so that one report contains all errors.
#pragma once

#include "base/findings.h"
#include "base/time.h"
#include "base/units.h"
#include "version/yaml_document.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesamespar {

/// Longest name that a file may declare, in bytes.
constexpr std::size_t maxDeclaredNameBytes = 128;

/// Collects the findings of one file.
struct yaml_report {
    std::string file;
    findings problems;
};

/// A node, its path from the root, and the report for its findings. Must not outlive the tree and the report.
struct yaml_cursor {
    const yaml_node *node = nullptr;
    std::string path;
    yaml_report *report = nullptr;
};

/// Field names that a map may contain, and those that it must contain.
struct field_rules {
    std::vector<std::string_view> known;
    std::vector<std::string_view> required;
};

/// Adds a finding at a location.
void addFinding(
    yaml_report &report, yaml_location location, std::string path, std::string problem, std::string allowed);

/// Adds a finding about the node of the cursor.
void addFinding(const yaml_cursor &at, std::string problem, std::string allowed);

/// Returns the findings sorted by location. Truncates them to `maxYamlFindings` and appends a note if there are
/// more.
findings sortedFindings(yaml_report report);

/// Quotes a text for messages. Long texts are truncated, control characters are replaced by '?'.
std::string quoteForMessage(std::string_view text);

/// Returns the known name with the smallest edit distance to a mistyped one; empty if none is close enough.
std::string_view nearestName(std::string_view name, std::span<const std::string_view> known);

/// Reports unknown, duplicate and missing fields. Returns false after a finding that the node is not a map.
bool checkFields(const yaml_cursor &map, const field_rules &rules);

/// Returns the first field of that name, or nullopt if it is absent.
std::optional<yaml_cursor> findField(const yaml_cursor &map, std::string_view name);

/// Calls `visit` for each item of a list field, if the field is present. Reports lists longer than `limit` and visits
/// only their first `limit` items.
void forEachItem(const yaml_cursor &map,
                 std::string_view name,
                 std::size_t limit,
                 const std::function<void(const yaml_cursor &)> &visit);

/// Returns the text of a scalar, or nullopt after a finding.
std::optional<std::string> scalarText(const yaml_cursor &at, const std::string &allowed);

/// Returns true if the text is a valid name: [a-z0-9][a-z0-9-]*, at most 128 bytes.
bool isDeclaredName(std::string_view text);

/// Returns the name in a scalar, or nullopt after a finding.
std::optional<std::string> nameText(const yaml_cursor &at);

/// Each of these functions stores a field in `value` if it is present and valid. Otherwise `value` is unchanged, and
/// an invalid field is reported. Limits are inclusive.
void readWholeNumber(
    const yaml_cursor &map, std::string_view name, std::int64_t minimum, std::int64_t maximum, std::int64_t &value);
void readPercent(const yaml_cursor &map, std::string_view name, int minimum, int maximum, int &value);
void readDuration(
    const yaml_cursor &map, std::string_view name, milliseconds minimum, milliseconds maximum, milliseconds &value);
void readProcessors(
    const yaml_cursor &map, std::string_view name, millicores minimum, millicores maximum, millicores &value);
void readMemory(const yaml_cursor &map, std::string_view name, mebibytes minimum, mebibytes maximum, mebibytes &value);
void readBoolean(const yaml_cursor &map, std::string_view name, bool &value);

/// Reads a whole number of 32 bits.
void readCount(
    const yaml_cursor &map, std::string_view name, std::uint32_t minimum, std::uint32_t maximum, std::uint32_t &value);

/// Reads a name into a strong id. Returns true if `value` was set.
template<typename Id>
bool readName(const yaml_cursor &map, std::string_view name, Id &value)
{
    const auto field = findField(map, name);
    const auto text = field ? nameText(*field) : std::nullopt;
    if (text) {
        value = Id(*text);
    }
    return text.has_value();
}

/// Returns the index of the choice that a field names, or nullopt if the field is absent or invalid.
std::optional<std::size_t>
readChoice(const yaml_cursor &map, std::string_view name, std::span<const std::string_view> choices);

} // namespace sesamespar
