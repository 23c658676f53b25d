// Reads typed values out of a YAML tree. Every fault becomes a finding with the place and path of its field,
// and reading goes on, so that one report holds them all.
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

/// Longest name of anything that a file declares, in bytes.
constexpr std::size_t maxDeclaredNameBytes = 128;

/// Where the findings of one file are collected.
struct yaml_report {
    std::string file;
    findings problems;
};

/// A node with its path and the report for findings about it. Lives as long as the tree and the report.
struct yaml_cursor {
    const yaml_node *node = nullptr;
    std::string path;
    yaml_report *report = nullptr;
};

/// Names that a map may and must have.
struct field_rules {
    std::vector<std::string_view> known;
    std::vector<std::string_view> required;
};

/// Adds a finding at a place.
void addFinding(yaml_report &report, yaml_place place, std::string path, std::string problem, std::string allowed);

/// Adds a finding about the node.
void addFinding(const yaml_cursor &at, std::string problem, std::string allowed);

/// Sorts the findings by place and ends them with a note if they were too many.
findings sortedFindings(yaml_report report);

/// Text in quotes, shortened and without control characters, for messages.
std::string quoteForMessage(std::string_view text);

/// The known name that is nearest to a mistyped one; empty if none is near.
std::string_view nearestName(std::string_view name, std::span<const std::string_view> known);

/// Reports unknown, doubled and missing fields. False if the node is no map.
bool checkFields(const yaml_cursor &map, const field_rules &rules);

/// The field of that name, or nothing if it is absent or stands for something that was reported before.
std::optional<yaml_cursor> findField(const yaml_cursor &map, std::string_view name);

/// Calls `visit` for each item of the list in a field, if there is one. Reports lists longer than `limit`.
void forEachItem(const yaml_cursor &map,
                 std::string_view name,
                 std::size_t limit,
                 const std::function<void(const yaml_cursor &)> &visit);

/// Text of a scalar, or nothing after a finding.
std::optional<std::string> scalarText(const yaml_cursor &at, const std::string &allowed);

/// True if the text is a name: [a-z0-9][a-z0-9-]*, at most 128 bytes.
bool isDeclaredName(std::string_view text);

/// The name that a scalar holds, or nothing after a finding.
std::optional<std::string> nameText(const yaml_cursor &at);

/// Each of these reads a field if it is present and valid, leaves `value` alone otherwise, and reports what is
/// wrong. Limits are inclusive.
void readWholeNumber(
    const yaml_cursor &map, std::string_view name, std::int64_t least, std::int64_t most, std::int64_t &value);
void readPercent(const yaml_cursor &map, std::string_view name, int least, int most, int &value);
void readDuration(
    const yaml_cursor &map, std::string_view name, milliseconds least, milliseconds most, milliseconds &value);
void readProcessors(
    const yaml_cursor &map, std::string_view name, millicores least, millicores most, millicores &value);
void readMemory(const yaml_cursor &map, std::string_view name, mebibytes least, mebibytes most, mebibytes &value);
void readBoolean(const yaml_cursor &map, std::string_view name, bool &value);

/// Reads a 32-bit whole number.
void readCount(
    const yaml_cursor &map, std::string_view name, std::uint32_t least, std::uint32_t most, std::uint32_t &value);

/// Reads a name into a strong id. True if it was read.
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

/// Index of the choice that a field names, or nothing after a finding or if it is absent.
std::optional<std::size_t>
readChoice(const yaml_cursor &map, std::string_view name, std::span<const std::string_view> choices);

} // namespace sesamespar
